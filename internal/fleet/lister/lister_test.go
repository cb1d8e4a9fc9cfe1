package lister_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
)

func TestNewestRevisionCountsWhereverItComesFrom(t *testing.T) {
	l := lister.New()
	if !l.Apply(lister.Entry{Key: "a", Revision: 5, Endpoint: lister.Endpoint{ID: "a"}}, 0) {
		t.Fatal("a new endpoint changed nothing")
	}
	if !l.Apply(lister.Entry{Key: "a", Revision: 7, Removed: true}, 0) {
		t.Fatal("a removal changed nothing")
	}
	if l.Apply(lister.Entry{Key: "a", Revision: 6, Endpoint: lister.Endpoint{ID: "a", Leaving: true}}, 0) {
		t.Error("an older entry brought an endpoint back")
	}
	if len(l.Endpoints()) != 0 {
		t.Error("a removed endpoint is listed")
	}
}

func TestHeartbeatsAreNoChange(t *testing.T) {
	l := lister.New()
	l.Apply(lister.Entry{Key: "a", Revision: 5, Endpoint: lister.Endpoint{ID: "a"}}, 0)
	if l.Apply(lister.Entry{Key: "a", Revision: 6, Endpoint: lister.Endpoint{ID: "a"}}, time.Second) {
		t.Error("a heartbeat counted as a change")
	}
	if got := l.RecentChanges(500*time.Millisecond, time.Minute, time.Second, 10); len(got) != 0 {
		t.Errorf("%v is told to others, want nothing", got)
	}
}

// A list of thousands must not be told whole: it would not fit into a message.
func TestOnlyTheLatestChangesAreTold(t *testing.T) {
	l := lister.New()
	apply := func(from, to int, at time.Duration) {
		for i := from; i < to; i++ {
			key := strconv.Itoa(i)
			l.Apply(lister.Entry{Key: key, Revision: uint64(i + 1), Endpoint: lister.Endpoint{ID: key}}, at)
		}
	}
	apply(0, 3000, 0)
	l.ForgetChanges()
	if got := l.RecentChanges(time.Second, time.Minute, 0, 32); len(got) != 0 {
		t.Errorf("%d entries of the first reading are told, want none", len(got))
	}
	apply(3000, 3100, time.Millisecond)
	apply(3100, 3101, 2*time.Millisecond)
	got := l.RecentChanges(time.Second, time.Minute, 2*time.Millisecond, 32)
	if len(got) != 32 || got[0].Key != "3100" {
		t.Errorf("%d entries are told, the first is %q; want 32 with the latest first", len(got), got[0].Key)
	}
}
