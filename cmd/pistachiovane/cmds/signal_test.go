package cmds

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// A second SIGTERM ended a process that was finishing its requests, and cut them off (soak, seeds 5 and 20). Where that
// comes back, this test's own process ends.
func TestSecondTermSignalDoesNotEndTheProcess(t *testing.T) {
	ctx, stop := untilSignal()
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
