package lister_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
)

// Entries from the store and from peers arrive in any order. An older entry must not restore a removed endpoint.
func TestOlderRevisionRestoresRemovedEndpoint(t *testing.T) {
	l := lister.New()
	if !l.Apply(lister.Entry{Key: "a", Revision: 5, Endpoint: lister.Endpoint{ID: "a"}}, 0) {
		t.Fatal("got no change for a new endpoint, want one")
	}
	if !l.Apply(lister.Entry{Key: "a", Revision: 7, Removed: true}, 0) {
		t.Fatal("got no change for a removal, want one")
	}
	if l.Apply(lister.Entry{Key: "a", Revision: 6, Endpoint: lister.Endpoint{ID: "a", Leaving: true}}, 0) {
		t.Error("got a change for an entry older than the removal, want none")
	}
	if len(l.Endpoints()) != 0 {
		t.Error("got a removed endpoint in the list, want none")
	}
}

// Each heartbeat writes the entry of an endpoint with a new revision. Sending heartbeats to the peers as changes would
// fill the messages.
func TestHeartbeatCountsAsChange(t *testing.T) {
	l := lister.New()
	l.Apply(lister.Entry{Key: "a", Revision: 5, Endpoint: lister.Endpoint{ID: "a"}}, 0)
	if l.Apply(lister.Entry{Key: "a", Revision: 6, Endpoint: lister.Endpoint{ID: "a"}}, time.Second) {
		t.Error("got a change for a heartbeat, want none")
	}
	if got := l.RecentChanges(500*time.Millisecond, time.Minute, time.Second, 10); len(got) != 0 {
		t.Errorf("got recent changes %v, want none", got)
	}
}

// A list of thousands of entries does not fit into a message to the peers. Only the latest changes must be sent, and
// none of the first read.
func TestWholeListIsSentToPeers(t *testing.T) {
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
		t.Errorf("got %d recent changes after the first read, want none", len(got))
	}
	apply(3000, 3100, time.Millisecond)
	apply(3100, 3101, 2*time.Millisecond)
	got := l.RecentChanges(time.Second, time.Minute, 2*time.Millisecond, 32)
	if len(got) != 32 || got[0].Key != "3100" {
		t.Errorf("got %d recent changes, the first with key %q; want 32 with the latest, 3100, first", len(got), got[0].Key)
	}
}
