package tracker_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
)

// configOfVersion returns an empty configuration with a version.
func configOfVersion(v uint64) *matcher.Matcher {
	return matcher.New(matcher.Config{Version: v})
}

// An older version that is received late must not replace a newer one.
func TestOlderVersionReplacesNewer(t *testing.T) {
	tr := tracker.New(func() time.Duration { return time.Second })
	if !tr.Accept(configOfVersion(7), 0, 1) {
		t.Fatal("got no change for the first configuration, want one")
	}
	if tr.Accept(configOfVersion(6), time.Second, 1) {
		t.Error("got a change for version 6 after version 7, want none")
	}
	if m, _ := tr.Active(); m.Version() != 7 {
		t.Errorf("got active version %d, want 7", m.Version())
	}
}

// The confirmation of a peer that has another version must not count for the active version.
func TestPeerConfirmsActiveVersionWithAnother(t *testing.T) {
	tr := tracker.New(func() time.Duration { return 5 * time.Second })
	tr.Accept(configOfVersion(7), time.Second, 1)
	tr.ConfirmFromPeer(tracker.Report{Version: 6}, 5*time.Second)
	tr.ConfirmFromPeer(tracker.Report{Version: 8}, 5*time.Second)
	if _, age := tr.Active(); age != 4*time.Second {
		t.Errorf("got age %v, want 4s", age)
	}
}

// If gateways passed on the confirmations of their peers, gateways that cannot reach the store would keep confirming
// each other's outdated configuration: each message takes its transit time off the age, and many gateways form a chain
// (benchmark grown Clay Circle, day scale-2: a key was still accepted 5.8 s after its withdrawal). Here 11 gateways
// send in a ring without a store.
func TestPeersConfirmOutdatedConfigurationInARing(t *testing.T) {
	const (
		gateways        = 11
		messageDelay    = 3 * time.Millisecond
		messageInterval = 5 * time.Millisecond
	)
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	trackers := make([]*tracker.Tracker, gateways)
	for i := range trackers {
		trackers[i] = tracker.New(clock)
		trackers[i].Accept(configOfVersion(7), 0, 1)
	}
	for i := 0; now < 6*time.Second; i++ {
		from, to := trackers[i%gateways], trackers[(i+1)%gateways]
		report := from.Report()
		now += messageDelay
		to.ConfirmFromPeer(report, now-report.Age)
		now += messageInterval - messageDelay
	}
	for i, tr := range trackers {
		if _, age := tr.Active(); age < now-100*time.Millisecond {
			t.Errorf("gateway %d: got configuration age %v, want at most 100ms less than %v", i, age, now)
		}
	}
}
