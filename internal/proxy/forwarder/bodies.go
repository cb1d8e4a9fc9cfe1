package forwarder

import (
	"context"
	"net/http"
	"time"
)

const (
	// smallBodyBytes is the size of a request body up to which it does not wait behind larger ones.
	smallBodyBytes = 64 << 10
	// smallBodyRatio is the part of the memory for bodies that is kept for small ones.
	smallBodyRatio = 0.25
	// maxBodyWait is the longest time for which a body waits for memory. Callers give up a request that is not read.
	maxBodyWait = 500 * time.Millisecond
)

// ReserveBody waits until there is memory for n bytes of a request body, which must not be read before. release must be called
// once the body is not needed any more. ok is false if there is none in time; the request must be refused then, by RefuseBody.
func (f *Forwarder) ReserveBody(ctx context.Context, n int64) (release func(), ok bool) {
	if n <= 0 {
		return func() {}, true
	}
	budget := f.largeBodies
	if n <= smallBodyBytes {
		budget = f.smallBodies
		if f.largeBodies.TryTake(n) {
			return func() { f.largeBodies.Return(n) }, true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, maxBodyWait)
	defer cancel()
	if !budget.Take(ctx, n) {
		return nil, false
	}
	return func() { budget.Return(n) }, true
}

// RefuseBody refuses a request whose body was not read because there is no memory for it. n is its size in bytes, or less if that
// is not known.
func (f *Forwarder) RefuseBody(w http.ResponseWriter, id string, n int64) {
	f.Stats.Refused.Add(1)
	f.log.Info().Str("id", id).Int64("bytes", n).Int64("free", f.largeBodies.Free()).Int("status", http.StatusServiceUnavailable).
		Msg("forward: no memory for body")
	setRetryAfter(w.Header(), retryAfterLong)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
