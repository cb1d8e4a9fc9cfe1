package reserver

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSlotsAndMemoryAreFreed guards against slots or memory that are never freed, are freed twice or exceed what the
// endpoint has. It makes random calls and checks the load after each one. After the release of all owners, everything
// must be free.
func TestSlotsAndMemoryAreFreed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const slots, pieces, startTimeout = 4, 10, time.Second
		r := New(slots, pieces, startTimeout)
		now := time.Duration(0)
		key := func() Key {
			return Key{
				Owner:   rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner"),
				Request: rapid.Uint64Range(1, 4).Draw(rt, "request"),
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(*rapid.T) { r.Reserve(key(), rapid.IntRange(1, 5).Draw(rt, "pieces"), now) },
			"start":   func(*rapid.T) { r.Start(key(), now) },
			"release": func(*rapid.T) { r.Release(key()) },
			"drop":    func(*rapid.T) { r.ReleaseOwner("a") },
			"expire":  func(*rapid.T) { now += startTimeout / 2; r.Expire(now) },
			"": func(rt *rapid.T) {
				l := r.Load()
				if l.UsedSlots > slots || l.FreePieces < 0 || l.FreePieces > pieces {
					rt.Fatalf("got load %+v, want at most 4 used slots and 0 to 10 free pieces", l)
				}
			},
		})
		r.ReleaseOwner("a")
		r.ReleaseOwner("b")
		if l := r.Load(); l.UsedSlots != 0 || l.FreePieces != pieces {
			rt.Fatalf("got load %+v after the release of all owners, want 0 used slots and 10 free pieces", l)
		}
	})
}

// TestOnlyStartedReservationsOutliveTheTimeout guards against started work that loses its slot at the timeout, and
// against reservations that are never started and never expire.
func TestOnlyStartedReservationsOutliveTheTimeout(t *testing.T) {
	r := New(2, 10, time.Second)
	started, unstarted := Key{Request: 1}, Key{Request: 2}
	r.Reserve(started, 1, 0)
	r.Reserve(unstarted, 1, 0)
	if !r.Start(started, time.Second/2) {
		t.Fatal("reservation did not start before its timeout")
	}
	if expired := r.Expire(time.Second); len(expired) != 1 || expired[0] != unstarted {
		t.Errorf("got expired reservations %v, want only %v", expired, unstarted)
	}
	if r.Start(unstarted, time.Second) {
		t.Error("started a reservation after it had expired")
	}
}
