package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// newDispatcher returns a dispatcher over one prefill endpoint and the given number of decode endpoints of one slot.
func newDispatcher(t testing.TB, decodeEndpoints int) *Dispatcher {
	t.Helper()
	policy, ok := router.PolicyByName("probe")
	if !ok {
		t.Fatal("policy probe not found")
	}
	r := router.New(policy, "a", rand.New(rand.NewPCG(1, 1)))
	r.Set(endpoint.Endpoint{ID: "p", Domain: "a", Model: "m", Role: endpoint.Prefill}, 100)
	for i := range decodeEndpoints {
		r.Set(endpoint.Endpoint{ID: fmt.Sprint("d", i), Domain: "a", Model: "m", Role: endpoint.Decode, Slots: 1}, 100)
	}
	return New(DefaultOptions(), r, quarantiner.New(time.Minute, 100), attributor.New(time.Minute, 100), budgeter.New(0.1, 10))
}

// request returns a draft with the given ID and a fingerprint of its own.
func request(id uint64) Request {
	return Request{
		ID: id, Account: "a", Weight: 1, Class: scheduler.Draft, Model: "m", PromptTokens: 100, MaxOutputTokens: 10,
		Fingerprint: quarantiner.Fingerprint(id),
	}
}

// wantOneCommand returns the only command, and fails the test unless there is exactly one and it is of the given kind.
func wantOneCommand(t testing.TB, commands []Command, kind CommandKind) Command {
	t.Helper()
	if len(commands) != 1 || commands[0].Kind != kind {
		t.Fatalf("got commands %+v, want one of kind %d", commands, kind)
	}
	return commands[0]
}

// newEvent returns an event of the given kind that answers c.
func newEvent(c Command, kind EventKind) Event {
	return Event{Kind: kind, Request: c.Request, Attempt: c.Attempt}
}

// TestCrashedRequestResumesAndLateEventsAreDropped guards against a request that starts from the beginning, or is ended
// by a late event of its first attempt, after its decode endpoint crashed in the middle of the stream. The second
// attempt must use another endpoint, prefill the tokens already sent as part of the prompt and ask for the remaining
// ones only.
func TestCrashedRequestResumesAndLateEventsAreDropped(t *testing.T) {
	d := newDispatcher(t, 2)
	first := wantOneCommand(t, d.Submit(request(1), 0), Reserve)
	prefill := wantOneCommand(t, d.HandleEvent(newEvent(first, Reserved), 0), StartPrefill)
	decode := wantOneCommand(t, d.HandleEvent(newEvent(prefill, Prefilled), 0), StartDecode)
	d.HandleEvent(Event{Kind: TokensSent, Request: 1, Attempt: decode.Attempt, Tokens: 4}, 0)
	commands := d.HandleEvent(newEvent(decode, EndpointCrashed), 0)
	second := commands[len(commands)-1]
	if second.Kind != Reserve || second.Endpoint == first.Endpoint {
		t.Fatalf("got command %+v after the crash, want a reservation at another endpoint", second)
	}
	if lateCommands := d.HandleEvent(newEvent(decode, StreamEnded), 0); lateCommands != nil {
		t.Fatalf("got commands %+v for a late event, want none", lateCommands)
	}
	resumed := wantOneCommand(t, d.HandleEvent(newEvent(second, Reserved), 0), StartPrefill)
	want := Command{
		Kind: StartPrefill, Request: 1, Attempt: second.Attempt, Endpoint: "p",
		PromptTokens: 104, MaxOutputTokens: 6, SentTokens: 4,
	}
	if diff := cmp.Diff(want, resumed); diff != "" {
		t.Errorf("command to prefill the resumed request (-want +got):\n%s", diff)
	}
}

// TestRequestThatCrashesTwoEndpointsIsRefused guards against a request that may crash one endpoint after another. It
// must fail after its second crash, also when the caller sends it again, and other requests must not be affected. The
// failure may say that nothing ran only for the request that was sent again.
func TestRequestThatCrashesTwoEndpointsIsRefused(t *testing.T) {
	d := newDispatcher(t, 3)
	commands := d.Submit(request(1), 0)
	now := time.Duration(0)
	for range 2 {
		c := commands[len(commands)-1]
		if c.Kind != Reserve {
			t.Fatalf("got commands %+v, want the last to be a reservation", commands)
		}
		prefill := wantOneCommand(t, d.HandleEvent(newEvent(c, Reserved), now), StartPrefill)
		decode := wantOneCommand(t, d.HandleEvent(newEvent(prefill, Prefilled), now), StartDecode)
		commands = d.HandleEvent(newEvent(decode, EndpointCrashed), now)
	}
	last := commands[len(commands)-1]
	if last.Kind != Fail || last.Reason != ReasonCrashesEndpoints || last.NotRun {
		t.Errorf("got command %+v after two crashes, want a failure with reason poison and NotRun false", last)
	}
	if again := wantOneCommand(t, d.Submit(request(1), now), Fail); again.Reason != ReasonCrashesEndpoints ||
		!again.NotRun {
		t.Errorf("got command %+v for the repeated request, want reason poison and NotRun true", again)
	}
	wantOneCommand(t, d.Submit(request(2), now), Reserve)
}

// TestCancelReleasesDecodeSlotInEveryPhase guards against a cancelled request that keeps its decode slot. It cancels a
// request while it reserves, prefills and decodes, and after its first token; the only slot must then be usable again.
func TestCancelReleasesDecodeSlotInEveryPhase(t *testing.T) {
	for eventCount := range 4 {
		d := newDispatcher(t, 1)
		c := wantOneCommand(t, d.Submit(request(1), 0), Reserve)
		for i, kind := range []EventKind{Reserved, Prefilled, TokensSent} {
			if i < eventCount {
				if next := d.HandleEvent(newEvent(c, kind), 0); len(next) > 0 {
					c = next[0]
				}
			}
		}
		released := false
		for _, r := range d.Cancel(1, 0) {
			released = released || (r.Kind == Release && r.Endpoint == "d0")
		}
		if !released || d.OpenRequests() != 0 {
			t.Errorf("cancelled after %d events: got released %v and %d open requests, want true and 0",
				eventCount, released, d.OpenRequests())
		}
		wantOneCommand(t, d.Submit(request(2), 0), Reserve)
	}
}

// TestRequestThatMissesItsDeadlineIsNotStarted guards against prefill work for a request that can't meet its deadline
// even on an idle endpoint. The prompt takes 5 s, the deadline is after 1 s.
func TestRequestThatMissesItsDeadlineIsNotStarted(t *testing.T) {
	d := newDispatcher(t, 1)
	r := request(1)
	r.Class, r.PromptTokens, r.FirstTokenDeadline = scheduler.Interactive, 100000, time.Second
	if c := wantOneCommand(t, d.Submit(r, 0), Fail); c.Reason != ReasonDeadline || !c.NotRun {
		t.Errorf("got command %+v, want reason deadline and NotRun true", c)
	}
}

// Example prints the commands that carry one request from its reservation to its end.
func Example() {
	policy, _ := router.PolicyByName("leastloaded")
	r := router.New(policy, "a", rand.New(rand.NewPCG(1, 1)))
	r.Set(endpoint.Endpoint{ID: "prefill-1", Model: "m", Role: endpoint.Prefill}, 100)
	r.Set(endpoint.Endpoint{ID: "decode-1", Model: "m", Role: endpoint.Decode, Slots: 20}, 100)
	d := New(DefaultOptions(), r, quarantiner.New(time.Minute, 100), attributor.New(time.Minute, 100), budgeter.New(0.1, 10))
	commands := d.Submit(Request{
		ID: 1, Account: "a", Weight: 1, Model: "m", PromptTokens: 100, MaxOutputTokens: 10, FirstTokenDeadline: time.Second,
	}, 0)
	for _, kind := range []EventKind{Reserved, Prefilled, StreamEnded} {
		c := commands[0]
		fmt.Println(c.Kind, c.Endpoint)
		commands = d.HandleEvent(Event{Kind: kind, Request: 1, Attempt: c.Attempt}, 0)
	}
	fmt.Println(commands[0].Kind == Finish)
	// Output:
	// 1 decode-1
	// 2 prefill-1
	// 3 decode-1
	// true
}
