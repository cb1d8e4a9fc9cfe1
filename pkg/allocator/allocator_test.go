package allocator

import (
	"fmt"
	"testing"
	"time"
)

const (
	maxListLag        = 3 * time.Second
	maxUnnoticedPause = time.Second
)

// equalShare gives each member the same share.
func equalShare(v View, _ string) float64 { return 1 / float64(len(v.Members)) }

// newHolder returns an allocator with the time limits of this test.
func newHolder(name string, incarnation uint64) *Allocator {
	return New(Member{Name: name, Incarnation: incarnation},
		Options{MaxListLag: maxListLag, MaxUnnoticedPause: maxUnnoticedPause})
}

// wantShare reports an error unless the share of a is exactly want.
func wantShare(t *testing.T, a *Allocator, want float64) {
	t.Helper()
	if got := a.Share(equalShare); got != want {
		t.Errorf("got share %v, want %v", got, want)
	}
}

// TestRestartedHolderGetsNoShareFromStaleList guards against a restarted holder that takes the whole limit because a
// late message contains an old list in which it is the only member. The share must not grow without a read of the
// platform's list. Found by the model test of the limiter with seed 22911.
func TestRestartedHolderGetsNoShareFromStaleList(t *testing.T) {
	a := newHolder("g2", 7)
	a.ApplyView(View{Version: 3, Members: []string{"g2"}}, 0)
	a.DetectPause(0, 0)
	for now := time.Duration(0); now <= 10*time.Second; now += maxUnnoticedPause / 2 {
		a.DetectPause(now, now)
		a.Tick(now)
	}
	wantShare(t, a, 0)
}

// TestResumedHolderNeedsLaterListRead guards against a suspended holder that uses its share again after its VM was
// removed from the list. The list that it reads on resuming may be outdated, and the other holder that replies may not
// know of the removal either. The share must stay zero until a read of the list that began later. Found by the model
// test of the limiter with seed 38922.
func TestResumedHolderNeedsLaterListRead(t *testing.T) {
	a := newHolder("g0", 1)
	v := View{Version: 1, Members: []string{"g0", "g1"}}
	a.ApplyView(v, 0)
	a.DetectPause(0, 0)
	resumedAt := 10 * time.Second
	a.DetectPause(resumedAt, resumedAt)
	a.RecordListRead(resumedAt, resumedAt)
	reply := Message{
		From: Member{Name: "g1", Incarnation: 1}, IsReply: true, Version: v.Version,
		RequestedAt: resumedAt, RequesterIncarnation: 1,
	}
	a.HandleMessage(reply, resumedAt)
	for now := resumedAt; now <= resumedAt+10*time.Second; now += maxUnnoticedPause / 2 {
		a.DetectPause(now, now)
		a.Tick(now)
	}
	wantShare(t, a, 0)
	later := resumedAt + 10*time.Second
	a.RecordListRead(later, later)
	wantShare(t, a, 0.5)
}

// TestNewerListShrinksShareWithoutReplies guards against a holder that keeps its whole share after a second holder was
// added, or grows again when it receives the older list once more.
func TestNewerListShrinksShareWithoutReplies(t *testing.T) {
	a := newHolder("g0", 1)
	a.ApplyView(View{Version: 1, Members: []string{"g0"}}, 0)
	a.DetectPause(0, 0)
	for now := time.Duration(0); now <= 5*time.Second; now += maxUnnoticedPause / 2 {
		a.DetectPause(now, now)
		a.RecordListRead(now, now)
	}
	wantShare(t, a, 1)
	a.ApplyView(View{Version: 2, Members: []string{"g0", "g1"}}, 5*time.Second)
	wantShare(t, a, 0.5)
	a.ApplyView(View{Version: 1, Members: []string{"g0"}}, 6*time.Second)
	wantShare(t, a, 0.5)
}

// Example shows two holders that exchange messages until each may use half of a limit.
func Example() {
	a, b := newHolder("a", 1), newHolder("b", 1)
	view := View{Version: 1, Members: []string{"a", "b"}}
	for now := time.Duration(0); now <= maxListLag+2*maxUnnoticedPause; now += maxUnnoticedPause / 2 {
		for _, pair := range [][2]*Allocator{{a, b}, {b, a}} {
			self, other := pair[0], pair[1]
			self.DetectPause(now, now)
			self.ApplyView(view, now)
			self.RecordListRead(now, now)
			if reply, ok := other.HandleMessage(self.Query(now), now); ok {
				self.HandleMessage(reply, now)
			}
			self.Tick(now)
		}
	}
	equal := func(v View, _ string) float64 { return 1 / float64(len(v.Members)) }
	fmt.Println(a.Share(equal), b.Share(equal))
	// Output: 0.5 0.5
}
