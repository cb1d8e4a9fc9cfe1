package tracker_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
)

func version(v uint64) *matcher.Matcher {
	return matcher.New(matcher.Config{Version: v})
}

func TestVersionsNeverFall(t *testing.T) {
	tr := tracker.New(func() time.Duration { return time.Second })
	if !tr.Accept(version(7), 0) {
		t.Fatal("the first configuration was not accepted")
	}
	if tr.Accept(version(6), time.Second) {
		t.Error("an older version was accepted")
	}
	if m, _ := tr.Active(); m.Version() != 7 {
		t.Errorf("version %d is in force, want 7", m.Version())
	}
}

func TestVouchingForAnotherVersionProvesNothing(t *testing.T) {
	tr := tracker.New(func() time.Duration { return 5 * time.Second })
	tr.Accept(version(7), time.Second)
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
		gateways = 11
		way      = 3 * time.Millisecond
		step     = 5 * time.Millisecond
	)
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	all := make([]*tracker.Tracker, gateways)
	for i := range all {
		all[i] = tracker.New(clock)
		all[i].Accept(version(7), 0)
	}
	for i := 0; now < 6*time.Second; i++ {
		from, to := all[i%gateways], all[(i+1)%gateways]
		v, age := from.StoreConfirmed()
		now += way
		to.ConfirmFromPeer(v, now-age)
		now += step - way
	}
	for i, tr := range all {
		if _, age := tr.Active(); age < now-100*time.Millisecond {
			t.Errorf("gateway %d believes its configuration to be %v old, but it is %v", i, age, now)
		}
	}
}
