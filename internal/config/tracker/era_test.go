package tracker_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
)

// confirmedAge is the age of a configuration right after its confirmation in these tests.
const confirmedAge = 10 * time.Millisecond

// testTracker is a Tracker and its clock.
type testTracker struct {
	*tracker.Tracker
	now time.Duration
}

func newTestTracker() *testTracker {
	t := &testTracker{now: time.Minute}
	t.Tracker = tracker.New(func() time.Duration { return t.now })
	return t
}

// accept accepts a version that was read a moment ago.
func (t *testTracker) accept(version, era uint64) {
	t.Accept(configOfVersion(version), t.now-confirmedAge, era)
}

// expect fails the test if the active configuration has not the version and the age.
func (t *testTracker) expect(tb testing.TB, when string, version uint64, want time.Duration) {
	tb.Helper()
	if m, age := t.Active(); m.Version() != version || age != want {
		tb.Errorf("%s: got version %d of age %v, want version %d of age %v", when, m.Version(), age, version, want)
	}
}

// A store that is restored from before the newest version was written shows the one before. A gateway that started then, or that was
// cut off meanwhile, took it for the newest, although its peers told it of the newer one, and accepted keys that it had withdrawn.
func TestRestoredStoreConfirmsVersionThatPeersKnowToBeOld(t *testing.T) {
	tr := newTestTracker()
	tr.accept(3, 2)
	tr.expect(t, "read", 3, confirmedAge)
	if !tr.RecordPeer(tracker.Report{Version: 4, ReadEra: 1, ConfirmedEra: 2, ErasKnown: true}) {
		t.Error("got valid confirmations of version 3 by a store that has lost version 4, want them void")
	}
	tr.expect(t, "told of version 4", 3, tracker.Unconfirmed)
	tr.Confirm(tr.now, 2)
	tr.accept(3, 2)
	tr.ConfirmFromPeer(tracker.Report{Version: 3, ReadEra: 2, ConfirmedEra: 2, ErasKnown: true}, tr.now)
	tr.expect(t, "confirmed by the store and by a peer that does not know", 3, tracker.Unconfirmed)
	if r := tr.Report(); r.Age != tracker.Unconfirmed {
		t.Errorf("got age %v told to peers, want that nothing confirms it", r.Age)
	}
	tr.accept(4, 2)
	tr.expect(t, "written again", 4, confirmedAge)
}

// The same for a gateway that has the confirmation from a peer which read the restored store.
func TestPeerConfirmsVersionThatOthersKnowToBeOld(t *testing.T) {
	tr := newTestTracker()
	tr.accept(3, 1)
	tr.now += 3 * time.Second
	tr.ConfirmFromPeer(tracker.Report{Version: 3, ReadEra: 2, ConfirmedEra: 2, ErasKnown: true}, tr.now)
	tr.expect(t, "confirmed by a peer", 3, 0)
	tr.RecordPeer(tracker.Report{Version: 4, ReadEra: 1, ConfirmedEra: 1, ErasKnown: true})
	tr.expect(t, "told of version 4", 3, tracker.Unconfirmed)
}

// Gateways that have the version which the store has lost must go on: nothing newer has been written. Otherwise all of them
// would cease to be ready until the operator has written it again.
func TestRestoredStoreMakesNewestVersionOld(t *testing.T) {
	for name, confirm := range map[string]func(tr *testTracker){
		"older version": func(tr *testTracker) { tr.accept(3, 2) },
		"none":          func(tr *testTracker) { tr.ConfirmMissing(tr.now-confirmedAge, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTracker()
			tr.accept(4, 1)
			tr.now += 3 * time.Second
			confirm(tr)
			tr.expect(t, "restored", 4, confirmedAge)
			tr.now += 3 * time.Second
			tr.Confirm(tr.now, 2)
			tr.expect(t, "watched", 4, 0)
		})
	}
}

// Within an era no version is lost: an answer with an older one is odd and must confirm nothing.
func TestOlderVersionOfSameEraConfirmsNewer(t *testing.T) {
	tr := newTestTracker()
	tr.accept(4, 1)
	tr.now += 3 * time.Second
	tr.accept(3, 1)
	tr.ConfirmMissing(tr.now, 1)
	tr.expect(t, "older version", 4, 3*time.Second+confirmedAge)
}

// A peer may have read a newer version a moment earlier. The active one was the newest until then; it must stay usable, but no
// answer of the store that was on its way may confirm it.
func TestNewerVersionOfPeerVoidsConfirmations(t *testing.T) {
	for name, peer := range map[string]tracker.Report{
		"same era":    {Version: 5, ReadEra: 2, ConfirmedEra: 2, ErasKnown: true},
		"later era":   {Version: 5, ReadEra: 3, ConfirmedEra: 3, ErasKnown: true},
		"older build": {Version: 5},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTracker()
			tr.accept(4, 2)
			if tr.RecordPeer(peer) {
				t.Error("got void confirmations, want them kept")
			}
			tr.now += time.Second
			tr.Confirm(tr.now, 2)
			tr.expect(t, "told of a newer version", 4, time.Second+confirmedAge)
		})
	}
}

// A process that starts may hear of its peers before it has read the store. What they said must count once it has.
func TestVersionOfPeerHeardBeforeFirstReadIsForgotten(t *testing.T) {
	tr := newTestTracker()
	tr.Listen()
	tr.RecordPeer(tracker.Report{Version: 4, ReadEra: 1, ConfirmedEra: 2, ErasKnown: true})
	tr.accept(3, 2)
	tr.expect(t, "read", 3, tracker.Unconfirmed)
	tr.accept(4, 2)
	tr.expect(t, "written again", 4, confirmedAge)
}

// One message with an impossible version must not stop a gateway for good.
func TestVersionOfSilentPeerIsKeptForEver(t *testing.T) {
	tr := newTestTracker()
	tr.accept(4, 2)
	tr.RecordPeer(tracker.Report{Version: 1 << 60, ErasKnown: true})
	tr.expect(t, "told of the version", 4, tracker.Unconfirmed)
	tr.now += 31 * time.Second
	tr.Confirm(tr.now, 2)
	tr.expect(t, "half a minute later", 4, 0)
}

// A process that starts reads the store before it hears of its peers, which may know a newer version than a restored store.
func TestStartedProcessUsesConfigurationBeforePeersAreHeard(t *testing.T) {
	tr := newTestTracker()
	tr.Listen()
	tr.accept(3, 2)
	tr.expect(t, "read", 3, tracker.Unconfirmed)
	tr.RecordPeer(tracker.Report{Version: 3, Age: tr.Report().Age})
	tr.expect(t, "heard of another process that listens", 3, tracker.Unconfirmed)
	tr.RecordPeer(tracker.Report{Version: 3, Age: time.Second})
	tr.expect(t, "heard of a peer", 3, confirmedAge)
	tr.Listen()
	if !tr.StopListening() || tr.StopListening() {
		t.Error("want that listening ends once")
	}
	tr.expect(t, "no peer", 3, confirmedAge)
}
