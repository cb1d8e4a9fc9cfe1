package forwarder

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
)

// contact is what an attempt has shown about its endpoint.
type contact struct {
	endpointID  string
	address     string
	attemptedAt time.Duration
	// err is the error of the exchange or of reading the response.
	err error
	// response is nil if there was none.
	response *Response
	// ending is how the body of the response ended.
	ending ending
}

// reportContact tells the crash tracker what an attempt of a request at an endpoint has shown. If the connection broke,
// the request becomes a suspect, and reportContact probes whether the endpoint is down before anything is sent again. It
// returns true if a probe has found that.
func (f *Forwarder) reportContact(j *job, c contact) (down bool) {
	switch {
	case c.ending == endedByCrash:
		down = f.suspect(j, c.endpointID)
		f.recordDown(c.endpointID)
		return down
	case isConnectionLost(c.err), c.ending == endedInsideEvent, c.ending == endedEmpty:
		return f.suspect(j, c.endpointID) && f.probe(c.endpointID, c.address)
	case c.ending == endedUnconfirmed:
		// What comes next shows whether the endpoint has crashed.
		f.suspect(j, c.endpointID)
	case isRefusedConnection(c.err), c.response != nil && c.response.Misdirected:
		f.recordDown(c.endpointID)
	case c.err != nil:
	default:
		f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
			t.RecordEndpointUp(c.endpointID, c.attemptedAt, now)
		})
	}
	return false
}

// recordDown tells the crash tracker that an endpoint accepts no connections any more.
func (f *Forwarder) recordDown(endpointID string) {
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		t.RecordEndpointDown(endpointID, now)
	})
}

// suspect records that the connection to an endpoint broke while it ran a request. It returns false if that can't count
// against the request.
func (f *Forwarder) suspect(j *job, endpointID string) (recorded bool) {
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		recorded = t.RecordBrokenConnection(endpointID, j.fingerprint, now)
	})
	f.log.Info().Str("id", j.ID).Str("endpoint", endpointID).Str("fingerprint", j.fingerprint.String()).
		Msg("crash: suspected")
	return recorded
}

// probe tells the crash tracker whether an endpoint refuses or accepts a connection. It returns true if it refuses it. An
// endpoint that has asked for a pause is not probed.
func (f *Forwarder) probe(endpointID, address string) (down bool) {
	if f.controller.IsPaused(endpointID) {
		return false
	}
	err := f.prober.Probe(address)
	down = isRefusedConnection(err)
	f.log.Info().Str("endpoint", endpointID).Str("address", address).Bool("down", down).Err(err).Msg("crash: probed")
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		switch {
		case err == nil:
			t.RecordEndpointReachable(endpointID)
		case down:
			t.RecordEndpointDown(endpointID, now)
		}
	})
	return down
}

// reportServed tells the crash tracker that a request completed, unless the end of the response can't be told from a
// crash.
func (f *Forwarder) reportServed(j *job, r *Response) {
	if j.contact.ending > endedUnmarked || r.Status >= http.StatusMultipleChoices {
		return
	}
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		t.RecordServed(j.fingerprint, now)
	})
}

// checkSend must be called right before a request is sent to an endpoint, whose ID is empty if it is not chosen yet. It
// returns outcomeAnswered if the request may be sent, outcomeSuspended if the endpoint wants no requests any more,
// outcomeQuarantined if the request crashes endpoints, and outcomeAbandoned if the context has ended. If another request
// is suspected of the same crashes, it waits until the turn of this one.
func (f *Forwarder) checkSend(ctx context.Context, j *job, endpointID string) outcome {
	for {
		v, wanted := f.controller.DecideSend(j.fingerprint, endpointID, j.receivedAt)
		j.quarantineTime = v.RetryAfter
		switch {
		case v.Refused:
			return outcomeQuarantined
		case v.RetryAfter == 0 && !wanted:
			return outcomeSuspended
		case v.RetryAfter == 0:
			return outcomeAnswered
		case v.RetryAfter > f.timeLeft(j):
			return outcomeQuarantined
		}
		select {
		case <-ctx.Done():
			return outcomeAbandoned
		case <-time.After(v.RetryAfter):
		}
	}
}

// refuseQuarantined answers a request that must not be sent because it crashes endpoints. The status is 502 if an
// endpoint may have run it, else 503. It always returns false, like refuse.
func (f *Forwarder) refuseQuarantined(j *job) bool {
	if j.maybeExecuted {
		return f.refuse(j, http.StatusBadGateway, 0, reasonCrashes)
	}
	return f.refuse(j, http.StatusServiceUnavailable, max(retryAfterShort, j.quarantineTime), reasonCrashes)
}

// isConnectionLost reports whether an error means that the endpoint ended the connection before its response was
// complete.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// isRefusedConnection reports whether an error means that no process accepts connections at the address.
func isRefusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// errorRecorder keeps the error of a reader, to tell it from that of the writer to which its bytes are copied.
type errorRecorder struct {
	io.Reader
	err error
}

// Read reads from the reader. It keeps an error other than io.EOF.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
		r.err = err
	}
	return n, err
}
