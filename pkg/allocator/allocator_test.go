package allocator

import (
	"fmt"
	"testing"
	"time"
)

const (
	lag   = 3 * time.Second
	pause = time.Second
)

func half(v View, _ string) float64 { return 1 / float64(len(v.Members)) }

func newHolder(name string, incarnation uint64) *Allocator {
	return New(Member{Name: name, Incarnation: incarnation}, Options{MaxListLag: lag, MaxUnnoticedPause: pause})
}

func wantShare(t *testing.T, a *Allocator, want float64) {
	t.Helper()
	if got := a.Share(half); got != want {
		t.Errorf("share %v, want %v", got, want)
	}
}

// TestRestartedHolderIgnoresStaleList is the schedule of seed 22911 of the model: a holder that starts again
// hears of an old list, on which it stood alone, from a late message.
func TestRestartedHolderIgnoresStaleList(t *testing.T) {
	a := newHolder("g2", 7)
	a.ApplyView(View{Version: 3, Members: []string{"g2"}}, 0)
	a.DetectPause(0, 0)
	for now := time.Duration(0); now <= 10*time.Second; now += pause / 2 {
		a.DetectPause(now, now)
		a.Tick(now)
	}
	wantShare(t, a, 0)
}

// TestWokenHolderReadsTheListLate is the schedule of seed 38922 of the model: a suspended holder wakes after its VM
// was taken off, and the others that answer it know no better.
func TestWokenHolderReadsTheListLate(t *testing.T) {
	a := newHolder("g0", 1)
	v := View{Version: 1, Members: []string{"g0", "g1"}}
	a.ApplyView(v, 0)
	a.DetectPause(0, 0)
	woke := 10 * time.Second
	a.DetectPause(woke, woke)
	a.RecordListRead(woke, woke)
	answer := Message{From: Member{Name: "g1", Incarnation: 1}, IsReply: true, Version: v.Version, RequestedAt: woke, RequesterIncarnation: 1}
	a.HandleMessage(answer, woke)
	for now := woke; now <= woke+10*time.Second; now += pause / 2 {
		a.DetectPause(now, now)
		a.Tick(now)
	}
	wantShare(t, a, 0)
	later := woke + 10*time.Second
	a.RecordListRead(later, later)
	wantShare(t, a, 0.5)
}

// TestShrinksAtOnce shows that a newer list shrinks the share without any answer.
func TestShrinksAtOnce(t *testing.T) {
	a := newHolder("g0", 1)
	a.ApplyView(View{Version: 1, Members: []string{"g0"}}, 0)
	a.DetectPause(0, 0)
	for now := time.Duration(0); now <= 5*time.Second; now += pause / 2 {
		a.DetectPause(now, now)
		a.RecordListRead(now, now)
	}
	wantShare(t, a, 1)
	a.ApplyView(View{Version: 2, Members: []string{"g0", "g1"}}, 5*time.Second)
	wantShare(t, a, 0.5)
	a.ApplyView(View{Version: 1, Members: []string{"g0"}}, 6*time.Second)
	wantShare(t, a, 0.5)
}

// Example shows two holders that come to share a limit.
func Example() {
	a, b := newHolder("a", 1), newHolder("b", 1)
	view := View{Version: 1, Members: []string{"a", "b"}}
	for now := time.Duration(0); now <= lag+2*pause; now += pause / 2 {
		for _, pair := range [][2]*Allocator{{a, b}, {b, a}} {
			self, other := pair[0], pair[1]
			self.DetectPause(now, now)
			self.ApplyView(view, now)
			self.RecordListRead(now, now)
			if answer, ok := other.HandleMessage(self.Query(now), now); ok {
				self.HandleMessage(answer, now)
			}
			self.Tick(now)
		}
	}
	equal := func(v View, _ string) float64 { return 1 / float64(len(v.Members)) }
	fmt.Println(a.Share(equal), b.Share(equal))
	// Output: 0.5 0.5
}
