package lister_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
)

func TestNewestRevisionCountsWhereverItComesFrom(t *testing.T) {
	l := lister.New()
	if !l.Apply(lister.Entry{Key: "a", Revision: 5, Endpoint: lister.Endpoint{ID: "a"}}, 0) {
		t.Fatal("a new endpoint changed nothing")
	}
	if !l.Apply(lister.Entry{Key: "a", Revision: 7, Gone: true}, 0) {
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
	if got := l.Recent(500*time.Millisecond, time.Minute, time.Second); len(got) != 0 {
		t.Errorf("%v is told to others, want nothing", got)
	}
}
