package tracker_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
)

func configOfVersion(v uint64) *matcher.Matcher {
	return matcher.New(matcher.Config{Version: v})
}

func TestVersionsNeverFall(t *testing.T) {
	tr := tracker.New(func() time.Duration { return time.Second })
	if !tr.Accept(configOfVersion(7), 0) {
		t.Fatal("the first configuration was not accepted")
	}
	if tr.Accept(configOfVersion(6), time.Second) {
		t.Error("an older version was accepted")
	}
	if m, _ := tr.Active(); m.Version() != 7 {
		t.Errorf("version %d is in force, want 7", m.Version())
	}
}

func TestVouchingForAnotherVersionProvesNothing(t *testing.T) {
	tr := tracker.New(func() time.Duration { return 5 * time.Second })
	tr.Accept(configOfVersion(7), time.Second)
	tr.ConfirmFromPeer(6, 5*time.Second)
	tr.ConfirmFromPeer(8, 5*time.Second)
	if _, age := tr.Active(); age != 4*time.Second {
		t.Errorf("age %v, want 4s", age)
	}
}

// Gateways that can't reach the store once kept each other's configuration young: each way of a message took its time
// off the age, and many gateways make a chain of such ways (bench: grown Clay Circle, day scale-2, a withdrawn key ran
// 5.8 s after its withdrawal).
func TestVouchingInACircleDoesNotKeepAConfigurationYoung(t *testing.T) {
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
		trackers[i].Accept(configOfVersion(7), 0)
	}
	for i := 0; now < 6*time.Second; i++ {
		from, to := trackers[i%gateways], trackers[(i+1)%gateways]
		v, age := from.StoreConfirmed()
		now += messageDelay
		to.ConfirmFromPeer(v, now-age)
		now += messageInterval - messageDelay
	}
	for i, tr := range trackers {
		if _, age := tr.Active(); age < now-100*time.Millisecond {
			t.Errorf("gateway %d believes its configuration to be %v old, but it is %v", i, age, now)
		}
	}
}
