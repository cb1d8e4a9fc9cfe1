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

// The gateway whose request ends knows first that a slot is free. If it got the slot each time, a gateway with few slots
// would keep few, and its callers would wait while those of others are served.
func TestOwnerWithFewSlotsStaysRefused(t *testing.T) {
	const slots = 4
	r := New(slots, slots, time.Minute)
	for i := range uint64(slots) {
		r.Reserve(Key{Owner: "near", Request: i}, 1, 0)
	}
	if r.Reserve(Key{Owner: "far", Request: 0}, 1, time.Millisecond) {
		t.Fatal("got a fifth reservation of four slots, want a refusal")
	}
	r.Release(Key{Owner: "near", Request: 0})
	if r.Reserve(Key{Owner: "near", Request: 9}, 1, 2*time.Millisecond) {
		t.Error("got the free slot reserved by the owner of three, want it held for the one without")
	}
	if !r.Reserve(Key{Owner: "far", Request: 0}, 1, 100*time.Millisecond) {
		t.Error("got the held slot refused to the owner that it is held for, want it reserved")
	}
}

// An owner that does not come back must not keep a slot idle.
func TestHeldSlotStaysIdle(t *testing.T) {
	r := New(2, 2, time.Minute)
	r.Reserve(Key{Owner: "near", Request: 0}, 1, 0)
	r.Reserve(Key{Owner: "near", Request: 1}, 1, 0)
	r.Reserve(Key{Owner: "far", Request: 0}, 1, 0)
	r.Release(Key{Owner: "near", Request: 0})
	r.Reserve(Key{Owner: "near", Request: 2}, 1, 0)
	if !r.Reserve(Key{Owner: "near", Request: 2}, 1, ownerHoldTime+time.Millisecond) {
		t.Error("got a slot held longer than ownerHoldTime, want it reserved")
	}
}
