package cmds

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// A second SIGTERM ended a process that was finishing its requests, and cut them off (soak, seeds 5 and 20). Where that
// comes back, this test's own process ends.
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
			t.Fatal("the first signal did not end the context")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// SIGHUP right after the start ended a gateway that did not listen for it yet (soak, seed 5).
func TestSIGHUPDuringStartupDoesNotEndProcess(t *testing.T) {
	defer signal.Reset(syscall.SIGHUP)
	if code := Run([]string{"edge", "--settings", "/does/not/exist"}, io.Discard, io.Discard); code == exitOK {
		t.Fatal("the command succeeded without settings")
	}
	if !signal.Ignored(syscall.SIGHUP) {
		t.Error("SIGHUP would have ended the process")
	}
}
