package deferrer_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/deferrer"
)

// options are those of an endpoint list.
var options = deferrer.Options{Grace: 2 * time.Second, HeartbeatInterval: 1200 * time.Millisecond}

// afterOutage returns a Deferrer whose store answered at 10 s and, after an outage, at 20 s.
func afterOutage() *deferrer.Deferrer {
	d := deferrer.New(options, 0)
	d.RecordAnswer(10*time.Second, 0)
	d.RecordAnswer(20*time.Second, 5)
	return d
}

// A removal long after an outage must not be deferred.
func TestRemovalIsDeferredAfterGrace(t *testing.T) {
	if deferred, _ := afterOutage().Defer("a", 22*time.Second); deferred {
		t.Error("got a removal deferred at the end of the grace time, want it applied")
	}
}

// The removal of an entry that expired in the outage must wait for an answer of the store after the grace time.
func TestExpiredEntryIsRemovedWithoutAnswer(t *testing.T) {
	d := afterOutage()
	d.Defer("a", 20*time.Second)
	if keys, _ := d.TakeDue(23 * time.Second); len(keys) != 0 {
		t.Errorf("got %v removed before the store answered, want none", keys)
	}
	d.RecordAnswer(23*time.Second, 0)
	if keys, _ := d.TakeDue(23 * time.Second); len(keys) != 1 {
		t.Errorf("got %v removed after the store answered, want a", keys)
	}
}

// The removal of an endpoint that had time for a heartbeat after the outage must not wait for an answer.
func TestLeavingEndpointIsKeptWithoutAnswer(t *testing.T) {
	d := afterOutage()
	d.Defer("a", 21500*time.Millisecond)
	if at, ok := d.NextDue(); !ok || at != 22*time.Second {
		t.Errorf("got a removal due at %v (%v), want 22s", at, ok)
	}
	if keys, deferredFor := d.TakeDue(22 * time.Second); len(keys) != 1 || deferredFor != 500*time.Millisecond {
		t.Errorf("got %v removed after %v, want a after 500ms", keys, deferredFor)
	}
}

// An entry that was written again must not be removed.
func TestWrittenEntryIsRemoved(t *testing.T) {
	d := afterOutage()
	d.Defer("a", 20*time.Second)
	d.Cancel("a")
	d.RecordAnswer(23*time.Second, 0)
	if keys, _ := d.TakeDue(23 * time.Second); len(keys) != 0 {
		t.Errorf("got %v removed, want none", keys)
	}
}

// If the store is lost again in the grace time, owners could not write their entries: the grace time must begin anew.
func TestSecondOutageDoesNotExtendGrace(t *testing.T) {
	d := afterOutage()
	d.Defer("a", 20*time.Second)
	d.RecordAnswer(21900*time.Millisecond, 2)
	if at, ok := d.NextCall(); !ok || at != 23900*time.Millisecond {
		t.Errorf("got the removal due at %v (%v), want 23.9s", at, ok)
	}
	if deferred, _ := d.Defer("b", 23*time.Second); !deferred {
		t.Error("got a removal right after the second outage applied, want it deferred")
	}
}
