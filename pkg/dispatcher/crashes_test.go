package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
)

// crashDecode submits a request with a shared feature and crashes its decode endpoint. It returns false if the request was
// refused.
func crashDecode(t *testing.T, d *Dispatcher, id uint64, now time.Duration) bool {
	t.Helper()
	r := request(id)
	r.Features = []attributor.Feature{attributor.NewFeature(1, "shared"), attributor.NewFeature(1, fmt.Sprint(id))}
	commands := d.Submit(r, now)
	if len(commands) == 1 && commands[0].Kind == Fail {
		if commands[0].Reason != ReasonCrashesEndpoints || !commands[0].NotRun {
			t.Fatalf("got command %+v, want a refusal because of crashes before the request ran", commands[0])
		}
		return false
	}
	c := wantOneCommand(t, commands, Reserve)
	c = wantOneCommand(t, d.HandleEvent(newEvent(c, Reserved), now), StartPrefill)
	c = wantOneCommand(t, d.HandleEvent(newEvent(c, Prefilled), now), StartDecode)
	d.HandleEvent(newEvent(c, EndpointCrashed), now+10*time.Millisecond)
	d.Cancel(id, now+20*time.Millisecond)
	return true
}

// Requests that share a feature, no two alike, crashed endpoint after endpoint: each was the cause of one crash only.
func TestRequestsWithFeatureThatCrashesEndpointsAreSentOn(t *testing.T) {
	d := newDispatcher(t, 3)
	crashed := 0
	for i := range 30 {
		if crashDecode(t, d, uint64(i+1), time.Duration(i)*10*time.Second) { //nolint:gosec // not negative
			crashed++
		}
	}
	if crashed < 4 || crashed > 8 {
		t.Errorf("got %d endpoints ended, want 4 to 8", crashed)
	}
	sound := request(100)
	sound.Features = []attributor.Feature{attributor.NewFeature(1, "another")}
	wantOneCommand(t, d.Submit(sound, 300*time.Second), Reserve)
}
