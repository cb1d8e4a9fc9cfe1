package follower_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/ci/skipper"
	"github.com/pistachiovane/pistachiovane/internal/fleet/deferrer"
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
var readerPace = pace{wait: 1500 * time.Millisecond, interval: 500 * time.Millisecond}

// slowReaderPace is the pace of readers at the time of the incident.
var slowReaderPace = pace{wait: 1500 * time.Millisecond, interval: 900 * time.Millisecond}

// listOptions are those of the endpoint list.
var listOptions = follower.Options{Removals: deferrer.Options{Grace: 2 * time.Second, HeartbeatInterval: heartbeat}}

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
	for _, kind := range []outageKind{outageRefused, outageSilent, outageHeld} {
		t.Run(string(kind), func(t *testing.T) {
			for leavesAt := outageEnd + settleTime; leavesAt < outageEnd+8*time.Second; leavesAt += 50 * time.Millisecond {
				v := follow(t, []string{"leaving", "running"}, []change{{at: leavesAt, key: "leaving", removed: true}},
					[]outage{{kind, outageStart, outageEnd}}, listOptions, slowReaderPace, 30*time.Second)
				gone, ok := v.absentSince("leaving")
				if !ok || gone > leavesAt+removalBound {
					t.Errorf("got the removal at %v applied at %v (%v), want it applied within %v", leavesAt, gone, ok, removalBound)
				}
			}
		})
	}
}

// nonReaderPace is the pace of a gateway that learns of most changes from its peers.
var nonReaderPace = pace{wait: 12 * time.Second, interval: 5 * time.Second}

// An entry that expires during an outage although its endpoint runs must be kept, also by a watch that survives the
// outage.
func TestRunningEndpointIsRemovedAfterOutage(t *testing.T) {
	const outageStart, outageEnd = 10 * time.Second, 15 * time.Second
	for _, kind := range []outageKind{outageRefused, outageSilent, outageHeld} {
		for name, p := range map[string]pace{"reader": readerPace, "non-reader": nonReaderPace} {
			t.Run(string(kind)+" "+name, func(t *testing.T) {
				for returnsAfter := 100 * time.Millisecond; returnsAfter <= returnTime; returnsAfter += 50 * time.Millisecond {
					changes := []change{
						{at: outageEnd - time.Second, key: "running", removed: true}, {at: outageEnd + returnsAfter, key: "running"},
					}
					v := follow(t, []string{"running"}, changes, []outage{{kind, outageStart, outageEnd}}, listOptions, p, 30*time.Second)
					if v.everAbsent("running") {
						t.Errorf("got an endpoint removed that was listed again %v after the outage, want it kept", returnsAfter)
					}
				}
			})
		}
	}
}

// An entry that expires during an outage and is not written again must be removed.
func TestStoppedEndpointIsKeptAfterOutage(t *testing.T) {
	const outageStart, outageEnd = 10 * time.Second, 15 * time.Second
	for _, kind := range []outageKind{outageRefused, outageSilent, outageHeld} {
		v := follow(t, []string{"stopped"}, []change{{at: outageEnd - time.Second, key: "stopped", removed: true}},
			[]outage{{kind, outageStart, outageEnd}}, listOptions, readerPace, 30*time.Second)
		if gone, ok := v.absentSince("stopped"); !ok || gone > outageEnd+settleTime+removalBound {
			t.Errorf("%s: got a stopped endpoint removed at %v (%v), want it removed by %v", kind, gone, ok,
				outageEnd+settleTime+removalBound)
		}
	}
}

// A watch that is cut is no outage: the removal of an endpoint that leaves then must not be deferred.
func TestRemovalIsDeferredAfterWatchWasCut(t *testing.T) {
	const cutAt = 12 * time.Second
	for leavesAt := cutAt - 2*time.Second; leavesAt < cutAt+3*time.Second; leavesAt += 50 * time.Millisecond {
		v := follow(t, []string{"leaving", "running"}, []change{{at: leavesAt, key: "leaving", removed: true}},
			[]outage{{outageCut, cutAt, cutAt + time.Millisecond}}, listOptions, readerPace, 20*time.Second)
		if gone, ok := v.absentSince("leaving"); !ok || gone > leavesAt+removalBound {
			t.Errorf("got the removal at %v applied at %v (%v), want it applied within %v", leavesAt, gone, ok, removalBound)
		}
	}
}

// Endpoints that run must not be dropped if the store is lost again before they could write their entries.
func TestRunningEndpointIsRemovedInSecondOutage(t *testing.T) {
	const firstStart, firstEnd = 10 * time.Second, 15 * time.Second
	for secondStart := firstEnd + 50*time.Millisecond; secondStart < firstEnd+returnTime; secondStart += 50 * time.Millisecond {
		secondEnd := secondStart + 5*time.Second
		changes := []change{
			{at: firstEnd - time.Second, key: "running", removed: true}, {at: secondEnd + returnTime, key: "running"},
		}
		outages := []outage{{outageRefused, firstStart, firstEnd}, {outageRefused, secondStart, secondEnd}}
		if follow(t, []string{"running"}, changes, outages, listOptions, readerPace, 30*time.Second).everAbsent("running") {
			t.Errorf("got an endpoint removed after a second outage at %v, want it kept", secondStart)
		}
	}
}

// A gateway that pauses because others read the list must read it itself soon after those have gone.
func TestPauseOutlastsReaders(t *testing.T) {
	const (
		firstChangeAt = 10 * time.Second
		lastChangeAt  = 10050 * time.Millisecond
		leavesAt      = 10100 * time.Millisecond
		readersGone   = 11500 * time.Millisecond
	)
	startedAt := time.Now()
	o := listOptions
	o.Pace = func() (time.Duration, time.Duration) {
		if time.Since(startedAt) >= readersGone {
			return readerPace.wait, readerPace.interval
		}
		return nonReaderPace.wait, nonReaderPace.interval
	}
	var v view
	synctest.Test(t, func(t *testing.T) {
		startedAt = time.Now()
		changes := []change{
			{at: firstChangeAt, key: "new-0"}, {at: lastChangeAt, key: "new-1"}, {at: leavesAt, key: "leaving", removed: true},
		}
		v = followInBubble(t, newTimedStore([]string{"leaving"}, changes, nil), o, readerPace, 20*time.Second)
	})
	if gone, ok := v.absentSince("leaving"); !ok || gone > leavesAt+removalBound {
		t.Errorf("got the removal at %v applied at %v (%v), want it applied within %v", leavesAt, gone, ok, removalBound)
	}
}
