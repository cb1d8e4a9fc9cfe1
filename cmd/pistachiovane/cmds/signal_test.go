package cmds

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// A second SIGTERM ended a process that was draining and aborted its requests (soak test, seeds 5 and 20). If that
// happens again, the process of this test ends.
func TestSecondSIGTERMDoesNotEndProcess(t *testing.T) {
	ctx, stop := contextUntilSignal()
	defer stop()
	for range 3 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
			t.Fatal("the context is not cancelled 5 s after the first SIGTERM")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// SIGHUP right after the start ended a gateway that had not installed its handler yet (soak test, seed 5).
func TestSIGHUPDuringStartupDoesNotEndProcess(t *testing.T) {
	defer signal.Reset(syscall.SIGHUP)
	if code := Run([]string{"edge", "--settings", "/does/not/exist"}, io.Discard, io.Discard); code == exitOK {
		t.Fatal("the command succeeded without a settings file, want a failure")
	}
	if !signal.Ignored(syscall.SIGHUP) {
		t.Error("SIGHUP is not ignored and would end the process")
	}
}
