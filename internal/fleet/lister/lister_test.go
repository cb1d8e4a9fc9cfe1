package lister_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

var options = lister.Options{AbsentGrace: 2 * time.Second, RestoredGrace: 5 * time.Second}

// rev returns a revision of the first era.
func rev(number uint64) revision.Revision {
	return revision.New(1, number)
}

// Entries from the store and from peers arrive in any order. An older entry must not restore a removed endpoint.
func TestOlderRevisionRestoresRemovedEndpoint(t *testing.T) {
	l := lister.New(options)
	if !l.Apply(lister.Entry{Key: "a", Revision: rev(5), Endpoint: lister.Endpoint{ID: "a"}}, 0) {
		t.Fatal("got no change for a new endpoint, want one")
	}
	if !l.Apply(lister.Entry{Key: "a", Revision: rev(7), Removed: true}, 0) {
		t.Fatal("got no change for a removal, want one")
	}
	if l.Apply(lister.Entry{Key: "a", Revision: rev(6), Endpoint: lister.Endpoint{ID: "a", Leaving: true}}, 0) {
		t.Error("got a change for an entry older than the removal, want none")
	}
	if len(l.Endpoints()) != 0 {
		t.Error("got a removed endpoint in the list, want none")
	}
}

// Each heartbeat writes the entry of an endpoint with a new revision. Sending heartbeats to the peers as changes would
// fill the messages.
func TestHeartbeatCountsAsChange(t *testing.T) {
	l := lister.New(options)
	l.Apply(lister.Entry{Key: "a", Revision: rev(5), Endpoint: lister.Endpoint{ID: "a"}}, 0)
	if l.Apply(lister.Entry{Key: "a", Revision: rev(6), Endpoint: lister.Endpoint{ID: "a"}}, time.Second) {
		t.Error("got a change for a heartbeat, want none")
	}
	if got := l.NextChanges(10); len(got) != 0 {
		t.Errorf("got changes %v, want none", got)
	}
}

// applyRange applies entries with the keys from, from+1 up to to-1, which are new.
func applyRange(l *lister.Lister, from, to int, at time.Duration) {
	for i := from; i < to; i++ {
		key := strconv.Itoa(i)
		l.Apply(lister.Entry{Key: key, Revision: rev(uint64(i + 1)), Endpoint: lister.Endpoint{ID: key}}, at) //nolint:gosec // i >= 0
	}
}

// A list of thousands of entries does not fit into a message to the peers. Only changes that are to be sent must be in
// messages, the latest first, and none of the first read.
func TestWholeListIsSentToPeers(t *testing.T) {
	l := lister.New(options)
	applyRange(l, 0, 3000, 0)
	if got := l.NextChanges(32); len(got) != 0 {
		t.Errorf("got %d changes after the first read, want none", len(got))
	}
	applyRange(l, 3000, 3100, time.Millisecond)
	applyRange(l, 3100, 3101, 2*time.Millisecond)
	for i := 3000; i < 3101; i++ {
		l.Send(strconv.Itoa(i), 3)
	}
	got := l.NextChanges(32)
	if len(got) != 32 || got[0].Key != "3100" {
		t.Errorf("got %d changes, the first with key %q; want 32 with the latest, 3100, first", len(got), got[0].Key)
	}
}

// When many endpoints crash at once, every gateway repeated every change for four seconds: 3 of 4.4 kB of each message,
// which filled the links of small gateways in a fleet of 25.
func TestChangesAreRepeatedInEveryMessage(t *testing.T) {
	l := lister.New(options)
	applyRange(l, 0, 100, 0)
	for i := range 100 {
		l.Send(strconv.Itoa(i), 3)
	}
	sent := map[string]int{}
	for message := range 40 {
		for _, e := range l.NextChanges(32) {
			sent[e.Key]++
		}
		if message == 3 && len(sent) != 100 {
			t.Errorf("got %d changes in the first four messages, want each of 100 once", len(sent))
		}
	}
	for key, n := range sent {
		if n != 3 {
			t.Errorf("change %s: got it %d times, want 3", key, n)
		}
	}
}

// Gateways compare digests to find out whether they missed a change. Equal lists must have equal digests, whatever came
// before, and a missed change must show.
func TestDigestHidesMissedChange(t *testing.T) {
	a, b := lister.New(options), lister.New(options)
	applyRange(a, 0, 10, 0)
	applyRange(b, 0, 9, 0)
	if a.Digest() == b.Digest() {
		t.Error("got equal digests although an endpoint is missing")
	}
	b.Apply(lister.Entry{Key: "9", Revision: rev(40), Endpoint: lister.Endpoint{ID: "9", Leaving: true}}, 0)
	if a.Digest() == b.Digest() {
		t.Error("got equal digests although an endpoint is leaving in one list")
	}
	b.Apply(lister.Entry{Key: "9", Revision: rev(41), Endpoint: lister.Endpoint{ID: "9"}}, 0)
	if a.Digest() != b.Digest() {
		t.Error("got different digests of equal lists")
	}
	for _, l := range []*lister.Lister{a, b} {
		for i := range 10 {
			l.Apply(lister.Entry{Key: strconv.Itoa(i), Revision: rev(50), Removed: true}, time.Second)
		}
		l.DropRemoved(time.Second, time.Minute)
		if l.Digest() != lister.New(options).Digest() {
			t.Error("got a digest of a list whose endpoints were all removed, want that of an empty list")
		}
	}
}

// A store that was restored counts on from an older copy. The removal of an endpoint, with a number lower than that of the
// endpoint's entry in the old era, was dropped, and requests went on to it (review/8).
func TestRemovalOfLaterEraIsDroppedForItsLowerNumber(t *testing.T) {
	running := lister.Endpoint{ID: "a"}
	l := lister.New(options)
	l.Replace([]lister.Entry{{Key: "a", Revision: revision.New(1, 40), Endpoint: running}}, revision.New(1, 42), 0)
	l.Replace([]lister.Entry{{Key: "a", Revision: revision.New(2, 21), Endpoint: running}}, revision.New(2, 24), 0)
	if !l.Apply(lister.Entry{Key: "a", Revision: revision.New(2, 30), Removed: true}, 0) || len(l.Endpoints()) != 0 {
		t.Errorf("got %v after the removal in the later era, want no endpoint", l.Endpoints())
	}
}

// A peer that has not read the restored store yet sends what it knows of the old era, with higher numbers. It must not bring back
// what the restored store does not hold, nor replace what it holds.
func TestPeerBringsBackEntryOfEarlierEra(t *testing.T) {
	l := lister.New(options)
	l.Replace(nil, revision.New(2, 24), 0)
	l.Apply(lister.Entry{Key: "b", Revision: revision.New(2, 25), Endpoint: lister.Endpoint{ID: "b"}}, 0)
	for _, key := range []string{"a", "b"} {
		if l.Apply(lister.Entry{Key: key, Revision: revision.New(1, 90), Endpoint: lister.Endpoint{ID: "old"}}, 0) {
			t.Errorf("got entry %q of the old era taken over: %v", key, l.Endpoints())
		}
	}
}

// A peer that has read the restored store first tells the others: its entries, with lower numbers, are newer.
func TestPeerOfLaterEraIsIgnoredForItsLowerNumber(t *testing.T) {
	l := lister.New(options)
	l.Replace([]lister.Entry{{Key: "a", Revision: revision.New(1, 40), Endpoint: lister.Endpoint{ID: "a"}}}, revision.New(1, 42), 0)
	if !l.Apply(lister.Entry{Key: "a", Revision: revision.New(2, 25), Endpoint: lister.Endpoint{ID: "a", Leaving: true}}, 0) {
		t.Error("got no change for an entry of the later era, want one")
	}
}
