// Package registrar keeps the requests that are in progress. They are counted, and those that are still in progress when
// the process ends can be named in its log.
package registrar

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Request is a request in progress.
type Request struct {
	// ID is the request ID that the caller sent. It may be empty, and callers may use one twice.
	ID string
	// ReceivedAt is when the request was received, on the clock of the process.
	ReceivedAt time.Duration
}

// Registrar holds the requests in progress. It is safe for concurrent use; mu guards the fields below it.
type Registrar struct {
	mu sync.Mutex
	// requests holds the requests in progress by number. The numbers rise in the order in which they were added.
	requests   map[uint64]Request
	lastNumber uint64
}

// New returns a Registrar without requests.
func New() *Registrar {
	return &Registrar{requests: map[uint64]Request{}}
}

// Add adds a request that is in progress until the returned function is called.
func (r *Registrar) Add(q Request) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	number := r.lastNumber
	r.requests[number] = q
	return func() { r.remove(number) }
}

// remove removes the request with the given number.
func (r *Registrar) remove(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, number)
}

// Len returns the number of requests in progress.
func (r *Registrar) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// Requests returns the requests in progress, those received first in front.
func (r *Registrar) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Request, 0, len(r.requests))
	for _, q := range r.requests {
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.ReceivedAt, b.ReceivedAt), cmp.Compare(a.ID, b.ID))
	})
	return out
}
