package follower

import (
	"context"

	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

// answer is the result of a call to the store.
type answer struct {
	items    []Item
	revision revision.Revision
	err      error
}

// call is a call to the store in a goroutine of its own, so that deferred removals are applied in time while it lasts.
type call struct {
	do func(ctx context.Context) answer
	// answer receives the result. It is buffered.
	answer chan answer
}

// run makes the call and sends its answer.
func (c call) run(ctx context.Context) {
	c.answer <- c.do(ctx)
}

// await runs a call to the store and returns its answer. A value from refresh interrupts the call; its error is
// errRefreshRequested then, and the next watch does not wait.
func (f *Follower) await(ctx context.Context, do func(ctx context.Context) answer, refresh <-chan struct{}) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := call{do: do, answer: make(chan answer, 1)}
	go c.run(ctx)
	for {
		select {
		case a := <-c.answer:
			return a
		case <-refresh:
			cancel()
			<-c.answer
			f.refreshing = true
			return answer{err: errRefreshRequested}
		case <-f.removalsDue():
			f.applyDueRemovals()
		}
	}
}
