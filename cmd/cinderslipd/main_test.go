package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// runMainEnv is the environment variable that makes the test binary run main instead of the tests.
const runMainEnv = "CINDERSLIPD_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a hangup signal that ends a process during start-up. If the process registers for the signal only
// after reading its settings, an entry box that is signalled right after a restart ends without a log line, as seen in
// a soak test with 24 entry boxes and 40 agents.
func TestHangupWhileReadingSettingsDoesNotEndProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	program := exec.CommandContext(t.Context(), os.Args[0], "--config", path) //nolint:gosec // this very program
	program.Env = append(os.Environ(), runMainEnv+"=1")
	require.NoError(t, program.Start())
	// Opening the FIFO for writing blocks until the program opens its settings for reading.
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, program.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString(`mode = "no such mode"`)
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	var exitErr *exec.ExitError
	require.True(t, errors.As(program.Wait(), &exitErr))
	require.Equal(t, exitFindings, exitErr.ExitCode(), "the program should survive the hangup, read its settings and report their findings: %v", exitErr)
}
