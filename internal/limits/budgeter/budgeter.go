// Package budgeter bounds the memory that the requests in progress hold together. What one of them holds has bounds of its own,
// but times the number of requests these may exceed the memory of the process.
package budgeter

import (
	"context"
	"slices"
	"sync"
)

// Budgeter is a number of bytes that buffers share. It is safe for concurrent use; mu guards the fields below it.
type Budgeter struct {
	capacity int64

	mu sync.Mutex
	// free is never negative and never above the capacity.
	free int64
	// waiting holds the callers of Take that wait, in the order in which they came.
	waiting []*waiter
}

// waiter waits for bytes.
type waiter struct {
	n int64
	// taken is closed once the bytes have been taken.
	taken chan struct{}
}

// New returns a Budgeter of the given number of bytes.
func New(capacity int64) *Budgeter {
	capacity = max(0, capacity)
	return &Budgeter{capacity: capacity, free: capacity}
}

// TryTake takes bytes from the budget. It returns false, and takes none, if fewer are free or if others wait for some.
func (b *Budgeter) TryTake(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryTake(n)
}

// Take is TryTake, but waits for its turn until the context ends. It returns false at once if there are never as many bytes.
func (b *Budgeter) Take(ctx context.Context, n int64) bool {
	b.mu.Lock()
	if n > b.capacity {
		b.mu.Unlock()
		return false
	}
	if b.tryTake(n) {
		b.mu.Unlock()
		return true
	}
	w := &waiter{n: n, taken: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.taken:
		return true
	case <-ctx.Done():
		return !b.leave(w)
	}
}

// leave ends the wait of a waiter. It returns false if its bytes have been taken meanwhile.
func (b *Budgeter) leave(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, w)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.serveWaiting()
	return true
}

// tryTake is TryTake while the lock is held.
func (b *Budgeter) tryTake(n int64) bool {
	if n > b.free || len(b.waiting) > 0 {
		return false
	}
	b.free -= n
	return true
}

// serveWaiting takes bytes for those that wait, in their order, as long as there are enough. The lock must be held.
func (b *Budgeter) serveWaiting() {
	for len(b.waiting) > 0 && b.waiting[0].n <= b.free {
		b.free -= b.waiting[0].n
		close(b.waiting[0].taken)
		b.waiting = b.waiting[1:]
	}
}

// Return gives bytes back that were taken.
func (b *Budgeter) Return(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += n
	b.serveWaiting()
}

// Free returns the number of bytes that are not taken.
func (b *Budgeter) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}
