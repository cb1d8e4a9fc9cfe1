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

func TestProcessLives(t *testing.T) {
	log := filepath.Join(t.TempDir(), "log")
	l := launcher.New(launcher.Program{Path: "/bin/sh", Arguments: []string{"-c", "echo $WORD; exec sleep 60"}, Environment: []string{"WORD=hello"}, LogPath: log})
	for range 2 {
		if err := l.Start(); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, func() bool {
		b, err := os.ReadFile(log)
		return err == nil && strings.Contains(string(b), "hello")
	}, "the log holds what the process prints")
	l.Signal(syscall.SIGSTOP)
	l.Signal(syscall.SIGCONT)
	if !l.Terminate(5 * time.Second) {
		t.Error("the process did not end when it was asked to")
	}
	if starts, surprises := l.Starts(); starts != 1 || surprises != 0 {
		t.Errorf("%d starts and %d surprises, want 1 and 0", starts, surprises)
	}
}

// A fault that went on while the soak was told to end started a gateway that outlived it and kept its addresses.
func TestNothingStartsAfterTheEnd(t *testing.T) {
	l := launcher.New(launcher.Program{Path: "/bin/sleep", Arguments: []string{"60"}, LogPath: filepath.Join(t.TempDir(), "log")})
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	if starts, _ := l.Starts(); starts != 1 {
		t.Errorf("%d starts, want 1", starts)
	}
}

func TestProcessThatEndsByItselfIsASurprise(t *testing.T) {
	l := launcher.New(launcher.Program{Path: "/bin/sh", Arguments: []string{"-c", "exit 3"}, LogPath: filepath.Join(t.TempDir(), "log")})
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool {
		_, surprises := l.Starts()
		return surprises == 1
	}, "the end was noticed")
}

func eventually(t *testing.T, ok func() bool, what string) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("after 5 s it does not hold that %s", what)
}
