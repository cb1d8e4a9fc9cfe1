package forwarder

import (
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
)

// refuseWithoutRoom refuses a request that no endpoint has run, because none has room or wants it. retryAfter is sent if
// the reason is not a pause.
func (f *Forwarder) refuseWithoutRoom(j *job, retryAfter time.Duration) {
	if p, ok := f.controller.ServicePause(j.service); ok {
		f.refuseSuspended(j, p)
		return
	}
	f.refuse(j, http.StatusServiceUnavailable, retryAfter, "no endpoint with room")
}

// refuseSuspended refuses a request because all endpoints of its service are paused or leave. The caller is told when the
// first pause ends. It always returns false, like refuse.
func (f *Forwarder) refuseSuspended(j *job, p controller.Pause) bool {
	if p.EndpointID == "" {
		return f.refuse(j, http.StatusServiceUnavailable, controller.LeavingRetryAfter, reasonLeaving)
	}
	j.record.paused = p.EndpointID
	return f.refuse(j, http.StatusServiceUnavailable, max(retryAfterShort, p.Rest), reasonPaused)
}
