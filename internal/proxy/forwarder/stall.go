package forwarder

import (
	"context"
	"time"
)

const (
	// firstEventTimeoutFactor times the latency target is how long a caller is assumed to wait for the first event.
	firstEventTimeoutFactor = 4
	// stallTimeoutRatio times the pause after which callers abandon a stream is the longest time without a complete event.
	// The rest is for the prefill at another endpoint.
	stallTimeoutRatio = 0.65
)

// stallWatch cancels an attempt that delivers no complete event for too long: bytes of an event that is never completed
// are no progress. Only streams that may be resumed are watched, because another endpoint can continue them. For others,
// silence is no reason to end an answer before its deadline.
type stallWatch struct {
	timeout time.Duration
	// timer is nil if the stream is not watched.
	timer *time.Timer
}

// newStallWatch starts to watch an attempt of a generation. cancel ends the attempt.
func (f *Forwarder) newStallWatch(g *generation, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{timeout: time.Duration(stallTimeoutRatio * float64(f.callerPatience(g.job)))}
	if g.route.Resumable {
		w.timer = time.AfterFunc(w.timeout, cancel)
	}
	return w
}

// progress records that a complete event has arrived.
func (w *stallWatch) progress() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the watch.
func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// callerPatience returns how long a caller is assumed to wait for the first event of a stream.
func (f *Forwarder) callerPatience(j *job) time.Duration {
	return max(f.options.MinFirstEventTimeout, firstEventTimeoutFactor*j.route.TargetLatency)
}
