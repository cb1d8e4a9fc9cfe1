package forwarder

import (
	"context"
	"net/http"
	"time"
)

// reasonStopping is the logged reason of a request that has not run and may take longer than a stopping process lasts.
const reasonStopping = "process is stopping"

// reasonProcessEnds is the logged reason of a request that was in progress when the process had to end.
const reasonProcessEnds = "process ends"

// StopAt sets the time on the clock at which the process ends. From now on, requests whose deadline is later are refused,
// also those that wait, unless an endpoint has begun to work on them.
func (f *Forwarder) StopAt(t time.Duration) {
	f.drainer.Stop(f.clock(), t)
}

// begun reports whether an endpoint has begun to work on the request: it has processed the prompt or may have run the request.
func (j *job) begun() bool {
	return j.prefilled || j.maybeExecuted
}

// mayStart reports whether an endpoint may begin to work on a request although the process may be stopping. It logs the first
// decision of a stopping process to accept the request.
func (f *Forwarder) mayStart(j *job) bool {
	v := f.drainer.Decide(j.deadline, f.clock())
	first := v.Stopping && !j.record.stopping
	j.record.stopping, j.record.timeUntilStop = v.Stopping, v.TimeLeft
	if v.Accepted && first {
		addStop(f.log.Info().Str("id", j.ID), j).Msg("forward: accepted while stopping")
	}
	return v.Accepted
}

// waitContext returns the context in which a request waits. Unless an endpoint has begun to work on the request, it also ends
// when the process is told to stop, if the request may not end before the process does. cancel must be called.
func (f *Forwarder) waitContext(ctx context.Context, j *job) (waitCtx context.Context, cancel context.CancelFunc) {
	waitCtx, end := context.WithCancel(ctx)
	if j.begun() {
		return waitCtx, end
	}
	unregister := f.drainer.AfterStop(func() {
		if !f.drainer.Decide(j.deadline, f.clock()).Accepted {
			end()
		}
	})
	return waitCtx, func() {
		unregister()
		end()
	}
}

// refuseStopping refuses a request that has not run because it may take longer than the process lasts. It always returns
// false, like refuse.
func (f *Forwarder) refuseStopping(j *job) bool {
	otherNearby := f.options.HasGatewayNearby != nil && f.options.HasGatewayNearby()
	return f.refuse(j, http.StatusServiceUnavailable, f.drainer.RetryAfter(otherNearby, f.clock()), reasonStopping)
}
