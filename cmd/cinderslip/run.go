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
	// exitFailed is a failure that has no exit code of its own.
	exitFailed = 1
	// exitUsage is an invalid command line, or a token or table file that cannot be read.
	exitUsage = 2
	// exitRefused is a refused edit or a file with findings; nothing was changed.
	exitRefused = 3
	// exitUndecided is an edit that may or may not have been accepted.
	exitUndecided = 4
	// exitUnavailable is a server or platform service that could not be reached; nothing was changed.
	exitUnavailable = 5
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func withCode(code int, err error) error { return &exitError{code, err} }

// environment holds the context, the standard streams and the API client of a command.
type environment struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	client *client
}

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Server    string        `long:"server" env:"CINDERSLIP_SERVER" value-name:"ADDRESS" description:"operators' address of an entry box"`
	TokenFile string        `long:"token-file" env:"CINDERSLIP_TOKEN_FILE" value-name:"FILE" description:"file with the operators' token"`
	Timeout   time.Duration `long:"timeout" value-name:"TIME" default:"10s" description:"time for one call"`
}

// command is one subcommand. Run receives the arguments that are not options.
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

// execute parses the arguments and runs the command that they select.
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

// adapter registers a command with go-flags, which needs an Execute method.
type adapter struct{ command }

// Execute does nothing: the parser calls its CommandHandler instead, which calls Run.
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
		{"apply", "Replace the table by the contents of a CSV file", &tableApply{}},
		{"check", "Check a CSV file without a server", &tableCheck{}},
		{"history", "Show the last edits", &tableHistory{}},
		{"settle", "Show whether an edit was accepted", &tableSettle{}},
	})
	if err != nil {
		return err
	}
	quarantine, err := parser.AddCommand("quarantine", "Show and lift quarantined requests", "Shows the requests that are sent to no backend server because servers that started them exited, and lifts their quarantine. --server is the metrics address of an entry box.", &struct{}{})
	if err != nil {
		return err
	}
	err = addSubcommands(quarantine, []subcommand{
		{"list", "Show the quarantined requests", &quarantineList{}},
		{"lift", "Lift the quarantine of one request, on all boxes", &quarantineLift{}},
	})
	if err != nil {
		return err
	}
	return addSubcommands(parser.Command, []subcommand{
		{"status", "Show the current table and plan", &status{}},
		{"boxes", "Show the boxes", &boxes{}},
		{"rollout", "Show the progress of versions on their boxes", &rollout{}},
		{"servers", "Show the backend servers that boxes list, and compare the lists; --server is the metrics address of a box", &servers{}},
		{"limits", "Show the backend servers with a rate limit; --server is the metrics address of an entry box", &limits{}},
		{"resolve", "Show the entry boxes that the directory returns to a caller", &resolve{}},
		{"explain", "Explain from collected logs how a request ended", &explain{}},
		{"burn", "Show from collected logs how fast error budgets were used up", &burn{}},
		{"losses", "Show from collected logs which requests failed or were late, and why", &losses{}},
		{"copies", "Show from collected logs how agents rolled out new weights", &copies{}},
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

// version prints the version of the command.
type version struct{}

func (*version) Run(env *environment, _ []string) error {
	_, err := fmt.Fprintln(env.stdout, "cinderslip", buildinfo.String())
	return err
}

// completion prints a shell completion script.
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
		return withCode(exitUsage, errors.New("expected one shell: bash or zsh"))
	}
	_, err := io.WriteString(env.stdout, scripts[args[0]])
	return err
}
