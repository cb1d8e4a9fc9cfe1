package launcher_test

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/launcher"
)

// TestStartedProcessRunsUntilTerminated guards against a process that is started twice, loses its output, ends when
// it is paused or counts as an unexpected exit after SIGTERM.
func TestStartedProcessRunsUntilTerminated(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	l := launcher.New(launcher.Program{
		Path: "/bin/sh", Arguments: []string{"-c", "echo $WORD; exec sleep 60"}, Environment: []string{"WORD=hello"},
		LogPath: log,
	})
	for range 2 {
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, func() bool {
		b, err := os.ReadFile(log)
		return err == nil && strings.Contains(string(b), "hello")
	}, "the log contains the output of the process")
	l.Signal(syscall.SIGSTOP)
	l.Signal(syscall.SIGCONT)
	if !l.Terminate(5 * time.Second) {
		t.Error("the process still ran 5 s after SIGTERM, want it to exit")
	}
	if starts, unexpectedExits := l.Starts(); starts != 1 || unexpectedExits != 0 {
		t.Errorf("got %d starts and %d unexpected exits, want 1 and 0", starts, unexpectedExits)
	}
}

// TestNoStartAfterClose guards against processes that outlive the soak: a fault was still in progress when the soak
// was terminated and restarted a gateway, which then kept running and occupied its addresses.
func TestNoStartAfterClose(t *testing.T) {
	l := launcher.New(launcher.Program{
		Path: "/bin/sleep", Arguments: []string{"60"}, LogPath: filepath.Join(t.TempDir(), "log"),
	})
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	if starts, _ := l.Starts(); starts != 1 {
		t.Errorf("got %d starts, want 1", starts)
	}
}

// TestUnexpectedExitIsCounted guards against crashes that go unnoticed: a process that exits without a signal must
// count.
func TestUnexpectedExitIsCounted(t *testing.T) {
	l := launcher.New(launcher.Program{
		Path: "/bin/sh", Arguments: []string{"-c", "exit 3"}, LogPath: filepath.Join(t.TempDir(), "log"),
	})
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		_, unexpectedExits := l.Starts()
		return unexpectedExits == 1
	}, "one unexpected exit is counted")
}

// eventually polls a condition for 5 s and fails the test when it is still false.
func eventually(t *testing.T, ok func() bool, condition string) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition is still false after 5 s: %s", condition)
}
