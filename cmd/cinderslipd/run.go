package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/cinderslip/cinderslip/internal/boottime"
	"github.com/cinderslip/cinderslip/internal/buildinfo"
	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/dev"
	"github.com/cinderslip/cinderslip/internal/settings"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitFindings = 3
)

type arguments struct {
	Config       string `long:"config" value-name:"FILE" description:"settings of one role, in TOML"`
	Check        bool   `long:"check" description:"report every finding about the settings, then exit"`
	Dev          bool   `long:"dev" description:"run every role and stand-ins of the platform on 127.0.0.1"`
	DevWeights   string `long:"dev-weights" value-name:"DIR" description:"with --dev: publish the files of a directory as a model version"`
	DevListen    string `long:"dev-listen" value-name:"127.0.0.1:PORT" description:"with --dev: the first entry's address for callers"`
	DevOperators string `long:"dev-operators" value-name:"127.0.0.1:PORT" description:"with --dev: the first entry's address for operators"`
	LogLevel     string `long:"log-level" value-name:"LEVEL" description:"with --dev: debug, info, warn or error" default:"info"`
	Version      bool   `long:"version" description:"print the version, then exit"`
}

// run parses the arguments, runs the daemon until it is stopped and returns the exit code. In direct mode, each signal
// from reload makes the daemon reload its settings; in the other modes SIGHUP keeps its default action.
func run(args []string, stdout, stderr io.Writer, reload <-chan os.Signal) int {
	var options arguments
	parser := flags.NewNamedParser("cinderslipd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	rest, err := parser.ParseArgs(args)
	var problem *flags.Error
	if errors.As(err, &problem) && problem.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, problem.Message)
		return exitDone
	}
	if err == nil {
		err = options.check(rest)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "cinderslipd:", err)
		return exitUsage
	}
	switch {
	case options.Version:
		_, _ = fmt.Fprintln(stdout, "cinderslipd", buildinfo.String())
		return exitDone
	case options.Dev:
		signal.Reset(syscall.SIGHUP)
		return runDev(options, stdout, stderr)
	}
	return runRole(options, stdout, stderr, reload)
}

func (a *arguments) check(rest []string) error {
	if len(rest) > 0 {
		return fmt.Errorf("unexpected argument %q", rest[0])
	}
	if a.Version {
		return nil
	}
	if a.Dev == (a.Config != "") {
		return errors.New("expected either --dev or --config FILE; see --help")
	}
	if !a.Dev && (a.DevWeights != "" || a.DevListen != "" || a.DevOperators != "") {
		return errors.New("--dev-weights, --dev-listen and --dev-operators require --dev")
	}
	if a.Dev && a.Check {
		return errors.New("--check requires --config FILE")
	}
	for _, address := range []string{a.DevListen, a.DevOperators} {
		if parsed, err := netip.ParseAddrPort(address); address != "" && (err != nil || !parsed.Addr().IsLoopback()) {
			return fmt.Errorf("expected a loopback address, for example 127.0.0.1:8080, got %q", address)
		}
	}
	return nil
}

func runRole(options arguments, stdout, stderr io.Writer, reload <-chan os.Signal) int {
	loaded, findings := settings.Load(options.Config)
	for _, finding := range findings {
		_, _ = fmt.Fprintln(stderr, finding)
	}
	if len(findings) > 0 {
		return exitFindings
	}
	if options.Check {
		_, _ = fmt.Fprintf(stdout, "%s: no findings\n", options.Config)
		return exitDone
	}
	if loaded.Mode == settings.ModeDirect {
		return runDirect(options.Config, loaded, stdout, reload)
	}
	signal.Reset(syscall.SIGHUP)
	clock := boottime.NewClock()
	log := daemon.NewLogger(stderr, loaded.Log.Level, clock)
	stop := stopContext()
	process, err := daemon.Start(loaded, daemon.Options{Clock: clock, Log: log})
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return exitFailed
	}
	log.Info().Str("role", string(loaded.Role)).Str("box", loaded.Box).Str("callers", process.CallersAddress()).
		Str("operators", process.OperatorsAddress()).Str("peers", process.PeersAddress()).Msg("started")
	<-stop.Done()
	if err := process.Stop(abortContext()); err != nil {
		log.Error().Err(err).Msg("planned stop failed; exiting")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitDone
}

func runDev(options arguments, stdout, stderr io.Writer) int {
	clock := boottime.NewClock()
	log := daemon.NewLogger(stderr, options.LogLevel, clock)
	stop := stopContext()
	if options.DevWeights != "" {
		if info, err := os.Stat(options.DevWeights); err != nil || !info.IsDir() {
			_, _ = fmt.Fprintf(stderr, "cinderslipd: --dev-weights: expected a directory, got %q\n", options.DevWeights)
			return exitUsage
		}
	}
	cluster, err := dev.Start(dev.Options{
		Clock: clock, Log: log, WeightsDir: options.DevWeights, Callers: options.DevListen, Operators: options.DevOperators,
	})
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return exitFailed
	}
	_, _ = fmt.Fprintf(stdout, "ready entry=%s operators=%s\n",
		strings.Join(cluster.Entries(), ","), strings.Join(cluster.Operators(), ","))
	_, _ = fmt.Fprintln(stdout, cluster.Curl())
	<-stop.Done()
	if err := cluster.Stop(abortContext()); err != nil {
		log.Error().Err(err).Msg("planned stop failed; exiting")
		return exitFailed
	}
	return exitDone
}

// stopContext returns a context that is canceled at the next SIGINT or SIGTERM.
func stopContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}

// abortContext returns the context of a planned stop. A second SIGINT or SIGTERM cancels it and so aborts the stop.
func abortContext() context.Context { return stopContext() }
