package main

import (
	"context"
	"io"
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
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/platform"
)

// bytesPerMegabyte converts the memory limit, which is set in megabytes, to bytes.
const bytesPerMegabyte = 1e6

// heapFraction is the fraction of the memory limit that is set as the Go runtime's memory limit. The rest is left for
// kernel buffers and stacks.
const heapFraction = 0.6

// runDirect runs one role in direct mode until SIGINT or SIGTERM and returns the exit code. It reloads the settings at
// path at each signal from reload.
func runDirect(path string, loaded *settings.Settings, stdout io.Writer, reload <-chan os.Signal) int {
	debug.SetMemoryLimit(int64(heapFraction * bytesPerMegabyte * loaded.Direct.MemoryLimitMegabytes))
	clock := boottime.NewClock()
	queue := daemon.NewLogQueue(stdout, clock)
	defer closeLog(queue)
	log := daemon.NewLogger(queue, loaded.Log.Level, clock)
	stop := stopContext()
	addresses := platform.Addresses{
		Store: member.Address(loaded.Direct.Store), StoreValueSize: loaded.Direct.StoreValueBytes, Server: member.Address(loaded.Direct.Server),
	}
	process, err := direct.Start(loaded, direct.Options{
		Clock: clock, Log: log, Platform: platform.New(addresses, platform.NewHTTPClient()), LogQueue: queue,
	})
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
	// Ignore replaces the registration of SIGHUP in one step. Removing the registration first would leave a moment in
	// which a hangup ends the process.
	signal.Ignore(syscall.SIGHUP)
	exitBefore(clock, time.Duration(loaded.Stop.Grace), log, func() {
		closeLog(queue)
		os.Exit(exitFailed)
	})
	if err := process.Stop(context.Background()); err != nil {
		log.Warn().Err(err).Msg("planned stop failed; exiting")
		return exitFailed
	}
	log.Info().Msg("stopped")
	return exitDone
}

// forcedExitMargin is how long before the end of the grace period a process that is still stopping exits. It would be
// killed at the end of the grace period and lose its last log lines; writing them takes up to logFlushTimeout.
const forcedExitMargin = 300 * time.Millisecond

// exitBefore calls exit forcedExitMargin before the grace period ends. The process still runs then only if its planned
// stop takes too long.
func exitBefore(clock clockwork.Clock, grace time.Duration, log zerolog.Logger, exit func()) {
	clock.AfterFunc(grace-forcedExitMargin, func() {
		log.Error().Dur("grace_ms", grace).Msg("stop takes too long, ending at once")
		exit()
	})
}

// logFlushTimeout is the maximum time for writing the last log lines.
const logFlushTimeout = 200 * time.Millisecond

func closeLog(queue *daemon.LogQueue) {
	ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	queue.Close(ctx)
}

// reloadSettings loads the settings and applies them to the process. Settings with findings are logged and not applied.
func reloadSettings(path string, process *direct.Process, log zerolog.Logger) {
	changed, findings := settings.Load(path)
	if len(findings) > 0 {
		log.Error().Err(findings).Msg("settings are invalid; keeping the previous settings")
		return
	}
	process.Reload(changed)
}
