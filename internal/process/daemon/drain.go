package daemon

import (
	"context"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

// Drain makes the process not ready for new callers and returns when their requests have ended, just before the process must
// end, or when the context ends. open returns the number of requests that have begun to arrive and are not answered. Requests
// are accepted for minDrainTime at least, and from then on until there are none.
func (d *Daemon) Drain(ctx context.Context, open func() int) {
	d.draining.Store(true)
	d.log.Info().Int("busy", open()).Msg("gateway: draining")
	startedAt := clock.SinceBoot()
	endsAt := startedAt + d.options.DrainGrace - drainMargin
	d.forwarder.StopAt(endsAt)
	d.awaitIdle(ctx, open, startedAt+minDrainTime, endsAt)
	// What arrives from now on is refused: it would not be waited for.
	d.forwarder.StopAt(clock.SinceBoot())
	d.awaitIdle(ctx, open, startedAt, endsAt)
	d.log.Info().Int("busy", open()).Msg("gateway: drained")
}

// awaitIdle returns when no request is open, but not before notBefore, at endsAt, or when the context ends.
func (d *Daemon) awaitIdle(ctx context.Context, open func() int, notBefore, endsAt time.Duration) {
	for ctx.Err() == nil {
		now := clock.SinceBoot()
		if now > endsAt || (now > notBefore && open() == 0) {
			return
		}
		supervision.Sleep(ctx, drainPollInterval)
	}
}

// LogOpenRequests logs each request in progress, when the process ends before they do.
func (d *Daemon) LogOpenRequests() {
	now := clock.SinceBoot()
	for _, r := range d.controller.Requests().Requests() {
		d.log.Warn().Str("id", r.ID).Int64("age_ms", (now - r.ReceivedAt).Milliseconds()).Msg("process: request cut off")
	}
}
