package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cinderslip/cinderslip/internal/buildinfo"
)

// The exit codes.
const (
	exitDone = 0
	// exitFailed is any failure that has no code of its own.
	exitFailed = 1
	// exitUsage is a command line that makes no sense.
	exitUsage = 2
	// exitRefused is an edit that was refused, or a file with findings: nothing
	// was changed.
	exitRefused = 3
	// exitUndecided is an edit of which it is not known whether it was accepted.
	exitUndecided = 4
	// exitUnavailable is a server or platform that could not be reached: nothing
	// was changed.
	exitUnavailable = 5
)

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func withCode(code int, err error) error { return &exitError{code, err} }

// environment is what a command works with.
type environment struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	client *client
}

// globalOptions go with every command.
type globalOptions struct {
	Server    string        `long:"server" env:"CINDERSLIP_SERVER" value-name:"ADDRESS" description:"operators' address of an entry box"`
	TokenFile string        `long:"token-file" env:"CINDERSLIP_TOKEN_FILE" value-name:"FILE" description:"file with the operators' token"`
	Timeout   time.Duration `long:"timeout" value-name:"TIME" default:"10s" description:"time for one call"`
}

// command is one subcommand. Run gets the words that are left.
type command interface {
	Run(env *environment, args []string) error
}

func run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &environment{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	err := execute(env, args)
	var problem *flags.Error
	var coded *exitError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &problem) && problem.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, problem.Message)
		return exitDone
	case errors.As(err, &problem):
		_, _ = fmt.Fprintln(stderr, "cinderslip:", problem.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "cinderslip:", err)
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitFailed
}

// execute parses the words and runs the command that they name.
func execute(env *environment, args []string) error {
	global := &globalOptions{}
	parser := flags.NewNamedParser("cinderslip", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Shows and edits the table of a cinderslip system, and shows what it does.\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 undecided, 5 unavailable."
	if _, err := parser.AddGroup("Global options", "", global); err != nil {
		return err
	}
	if err := addCommands(parser); err != nil {
		return err
	}
	parser.CommandHandler = func(selected flags.Commander, rest []string) error {
		chosen, ok := selected.(*adapter)
		if !ok {
			return nil
		}
		client, err := newClient(global)
		if err != nil {
			return err
		}
		env.client = client
		return chosen.Run(env, rest)
	}
	_, err := parser.ParseArgs(args)
	return err
}

// adapter lets go-flags parse a command's own options.
type adapter struct{ command }

// Execute is never called: the parser's handler runs the command.
func (*adapter) Execute([]string) error { return nil }

// subcommand describes one subcommand.
type subcommand struct {
	name, short string
	command     command
}

func addCommands(parser *flags.Parser) error {
	tables, err := parser.AddCommand("table", "Show and edit the table", "Shows and edits the table of groups and models.", &struct{}{})
	if err != nil {
		return err
	}
	err = addSubcommands(tables, []subcommand{
		{"show", "Show the table in force", &tableShow{}},
		{"set", "Set cells of one row", &tableSet{}},
		{"apply", "Make the table what a CSV file says", &tableApply{}},
		{"check", "Check a CSV file without a server", &tableCheck{}},
		{"history", "Show the last edits", &tableHistory{}},
		{"settle", "Tell what became of an edit", &tableSettle{}},
	})
	if err != nil {
		return err
	}
	held, err := parser.AddCommand("quarantine", "Show and lift what is barred", "Shows the requests that are sent to no backend server, as those that began to run them have ended, and lifts bars. --server is the metrics address of an entry box.", &struct{}{})
	if err != nil {
		return err
	}
	err = addSubcommands(held, []subcommand{
		{"list", "Show the requests that are barred", &quarantineList{}},
		{"lift", "Lift the bar of one request, on all boxes", &quarantineLift{}},
	})
	if err != nil {
		return err
	}
	return addSubcommands(parser.Command, []subcommand{
		{"status", "Show what is in force", &status{}},
		{"boxes", "Show the boxes", &boxes{}},
		{"rollout", "Show how far versions have come", &rollout{}},
		{"limits", "Show the backend servers with a rate limit; --server is the metrics address of an entry box", &limits{}},
		{"resolve", "Show the entry boxes that a caller would be told", &resolve{}},
		{"explain", "Tell from collected logs what became of a request", &explain{}},
		{"burn", "Tell from collected logs how fast service levels were used up", &burn{}},
		{"losses", "Tell from collected logs where requests were lost, and why", &losses{}},
		{"copies", "Tell from collected logs how agents came to newer weights", &copies{}},
		{"completion", "Print a script for shell completion", &completion{}},
		{"version", "Print the version", &version{}},
	})
}

func addSubcommands(parent *flags.Command, entries []subcommand) error {
	for _, entry := range entries {
		added, err := parent.AddCommand(entry.name, entry.short, entry.short+".", &adapter{entry.command})
		if err != nil {
			return err
		}
		if _, err := added.AddGroup(entry.name+" options", "", entry.command); err != nil {
			return err
		}
	}
	return nil
}

// version prints the version.
type version struct{}

func (*version) Run(env *environment, _ []string) error {
	_, err := fmt.Fprintln(env.stdout, "cinderslip", buildinfo.String())
	return err
}

// completion prints a script for shell completion.
type completion struct{}

const bashCompletion = `_cinderslip() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _cinderslip cinderslip
`

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

func (*completion) Run(env *environment, args []string) error {
	scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion}
	if len(args) != 1 || scripts[args[0]] == "" {
		return withCode(exitUsage, errors.New("want one shell: bash or zsh"))
	}
	_, err := io.WriteString(env.stdout, scripts[args[0]])
	return err
}
