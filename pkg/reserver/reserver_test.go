package reserver

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNothingLeaks makes random steps and checks that memory and slots are held exactly for live keys.
func TestNothingLeaks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const slots, pieces, life = 4, 10, time.Second
		r := New(slots, pieces, life)
		now := time.Duration(0)
		key := func() Key {
			return Key{Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "owner"), Request: rapid.Uint64Range(1, 4).Draw(rt, "request")}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(*rapid.T) { r.Reserve(key(), rapid.IntRange(1, 5).Draw(rt, "pieces"), now) },
			"start":   func(*rapid.T) { r.Start(key(), now) },
			"release": func(*rapid.T) { r.Release(key()) },
			"drop":    func(*rapid.T) { r.ReleaseOwner("a") },
			"expire":  func(*rapid.T) { now += life / 2; r.Expire(now) },
			"": func(rt *rapid.T) {
				l := r.Load()
				if l.UsedSlots > slots || l.FreePieces < 0 || l.FreePieces > pieces {
					rt.Fatalf("load %+v is out of bounds", l)
				}
			},
		})
		r.ReleaseOwner("a")
		r.ReleaseOwner("b")
		if l := r.Load(); l.UsedSlots != 0 || l.FreePieces != pieces {
			rt.Fatalf("load %+v after all owners have gone", l)
		}
	})
}

// TestReservationsExpire shows that only started work outlives the time limit.
func TestReservationsExpire(t *testing.T) {
	r := New(2, 10, time.Second)
	kept, lost := Key{Request: 1}, Key{Request: 2}
	r.Reserve(kept, 1, 0)
	r.Reserve(lost, 1, 0)
	if !r.Start(kept, time.Second/2) {
		t.Fatal("a fresh reservation did not start")
	}
	if gone := r.Expire(time.Second); len(gone) != 1 || gone[0] != lost {
		t.Errorf("expired %v, want only %v", gone, lost)
	}
	if r.Start(lost, time.Second) {
		t.Error("an expired reservation started")
	}
}
