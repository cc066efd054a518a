package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/boottime"
	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/internal/direct"
	"github.com/cinderslip/cinderslip/internal/settings"
	"github.com/cinderslip/cinderslip/internal/upstream"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/platform"
)

// bytesPerMegabyte converts the memory limit.
const bytesPerMegabyte = 1e6

// heapFraction is the part of the memory limit that the Go runtime keeps to; the
// rest is for the kernel's buffers and for stacks.
const heapFraction = 0.6

// runDirect runs one role in direct mode until a signal, and reads its settings again at each of reload.
func runDirect(path string, loaded *settings.Settings, stdout io.Writer, reload <-chan os.Signal) int {
	debug.SetMemoryLimit(int64(heapFraction * bytesPerMegabyte * loaded.Direct.MemoryLimitMegabytes))
	clock := boottime.NewClock()
	queue := daemon.NewLogQueue(stdout, clock)
	defer closeLog(queue)
	log := daemon.NewLogger(queue, loaded.Log.Level, clock)
	stop := stopContext()
	addresses := platform.Addresses{Store: member.Address(loaded.Direct.Store), Server: member.Address(loaded.Direct.Server)}
	process, err := direct.Start(loaded, direct.Options{Clock: clock, Log: log, Platform: platform.New(addresses, platformClient()), LogQueue: queue})
	if err != nil {
		log.Error().Err(err).Msg("cannot start")
		return exitFailed
	}
	log.Info().Str("role", string(loaded.Role)).Str("box", loaded.Box).Str("region", loaded.Region).Msg("started")
	for stop.Err() == nil {
		select {
		case <-stop.Done():
		case <-reload:
			reloadSettings(path, process, log)
		}
	}
	// At once, as a hangup between the end of one and the beginning of the other would end the process.
	signal.Ignore(syscall.SIGHUP)
	exitBefore(clock, time.Duration(loaded.Stop.Grace), log, func() {
		closeLog(queue)
		os.Exit(exitFailed)
	})
	if err := process.Stop(context.Background()); err != nil {
		log.Warn().Err(err).Msg("stop was not clean")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitDone
}

// forcedExitMargin is how long before the end of its grace a process that is still stopping ends at
// once: it would be killed then, and whatever holds it up would take its last lines with it.
// Writing these takes up to logFlushTimeout.
const forcedExitMargin = 300 * time.Millisecond

// exitBefore ends a process whose planned stop takes longer than its grace allows.
func exitBefore(clock clockwork.Clock, grace time.Duration, log zerolog.Logger, exit func()) {
	clock.AfterFunc(grace-forcedExitMargin, func() {
		log.Error().Dur("grace_ms", grace).Msg("stop takes too long, ending at once")
		exit()
	})
}

// logFlushTimeout bounds the time to write the last lines of the log.
const logFlushTimeout = 200 * time.Millisecond

func closeLog(queue *daemon.LogQueue) {
	ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	queue.Close(ctx)
}

// reloadSettings reads the settings again. Wrong ones change nothing.
func reloadSettings(path string, process *direct.Process, log zerolog.Logger) {
	changed, findings := settings.Load(path)
	if len(findings) > 0 {
		log.Error().Err(findings).Msg("changed settings not taken")
		return
	}
	process.Reload(changed)
}

const (
	// platformDialTimeout bounds connecting to a service of the platform.
	platformDialTimeout = 500 * time.Millisecond
	// platformIdleConns bounds the unused connections kept to one service.
	platformIdleConns = 4
	// platformIdleTimeout is how long they are kept.
	platformIdleTimeout = 10 * time.Second
)

// platformClient returns the client for the platform's services.
func platformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: upstream.NewDialer(platformDialTimeout).DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: platformIdleConns, IdleConnTimeout: platformIdleTimeout,
	}}
}
