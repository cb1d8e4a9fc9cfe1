package follower_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/ci/skipper"
	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
)

const (
	// removalBound is the time after its removal from the store by which an endpoint must get no more requests. It binds
	// once the store has been without an outage for settleTime.
	removalBound = 2 * time.Second
	settleTime   = 3 * time.Second
	// returnTime is the time after an outage by which entries are written again that expired in it.
	returnTime = 1900 * time.Millisecond
)

// readerPace is the pace of a gateway that reads the endpoint list for the others.
var readerPace = pace{wait: 1500 * time.Millisecond, interval: 900 * time.Millisecond}

// skipKnownRed skips a test that KNOWN-RED.txt lists.
func skipKnownRed(t *testing.T) {
	t.Helper()
	if skipper.New(t, "../../../KNOWN-RED.txt").Lists(t) {
		t.Skip("listed in KNOWN-RED.txt")
	}
}

// An endpoint that leaves after an outage of the store must be removed in time, whatever the outage looked like.
func TestRemovalSoonAfterOutageIsAppliedLate(t *testing.T) {
	skipKnownRed(t)
	const outageStart, outageEnd = 10 * time.Second, 15 * time.Second
	o := follower.Options{RemovalGrace: 2 * time.Second, MinOutage: time.Second}
	for _, kind := range []outageKind{outageRefused, outageSilent, outageHeld} {
		t.Run(string(kind), func(t *testing.T) {
			for leavesAt := outageEnd + settleTime; leavesAt < outageEnd+8*time.Second; leavesAt += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					s := newTimedStore([]string{"leaving", "running"},
						[]change{{at: leavesAt, key: "leaving", removed: true}}, []outage{{kind, outageStart, outageEnd}})
					gone, ok := follow(t, s, o, readerPace, 30*time.Second).absentSince("leaving")
					if !ok || gone > leavesAt+removalBound {
						t.Errorf("got the removal at %v applied at %v (%v), want it applied within %v", leavesAt, gone, ok, removalBound)
					}
				})
			}
		})
	}
}
