package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

func newDispatcher(t testing.TB, decodeEndpoints int) *Dispatcher {
	t.Helper()
	policy, ok := router.PolicyByName("probe")
	if !ok {
		t.Fatal("no policy")
	}
	r := router.New(policy, "a", rand.New(rand.NewPCG(1, 1)))
	r.Set(endpoint.Endpoint{ID: "p", Domain: "a", Model: "m", Role: endpoint.Prefill}, 100)
	for i := range decodeEndpoints {
		r.Set(endpoint.Endpoint{ID: fmt.Sprint("d", i), Domain: "a", Model: "m", Role: endpoint.Decode, Slots: 1}, 100)
	}
	return New(DefaultOptions(), r, quarantiner.New(time.Minute, 100), budgeter.New(0.1, 10))
}

func request(id uint64) Request {
	return Request{ID: id, Account: "a", Weight: 1, Class: scheduler.Draft, Model: "m", PromptTokens: 100, MaxOutputTokens: 10, Fingerprint: quarantiner.Fingerprint(id)}
}

// wantOneCommand returns the one command, or fails at the caller's line.
func wantOneCommand(t testing.TB, commands []Command, kind CommandKind) Command {
	t.Helper()
	if len(commands) != 1 || commands[0].Kind != kind {
		t.Fatalf("commands %+v, want one of kind %d", commands, kind)
	}
	return commands[0]
}

func newEvent(c Command, kind EventKind) Event {
	return Event{Kind: kind, Request: c.Request, Attempt: c.Attempt}
}

// TestCrashedRequestResumesAndLateEventsAreDropped carries a request over a crash in mid-stream; late answers of the first attempt are dropped.
func TestCrashedRequestResumesAndLateEventsAreDropped(t *testing.T) {
	d := newDispatcher(t, 2)
	first := wantOneCommand(t, d.Submit(request(1), 0), Reserve)
	prefill := wantOneCommand(t, d.HandleEvent(newEvent(first, Reserved), 0), StartPrefill)
	decode := wantOneCommand(t, d.HandleEvent(newEvent(prefill, Prefilled), 0), StartDecode)
	d.HandleEvent(Event{Kind: TokensSent, Request: 1, Attempt: decode.Attempt, Tokens: 4}, 0)
	commands := d.HandleEvent(newEvent(decode, EndpointCrashed), 0)
	second := commands[len(commands)-1]
	if second.Kind != Reserve || second.Endpoint == first.Endpoint {
		t.Fatalf("after the crash: %+v, want a reservation elsewhere", second)
	}
	if lateCommands := d.HandleEvent(newEvent(decode, StreamEnded), 0); lateCommands != nil {
		t.Fatalf("a late answer led to %+v", lateCommands)
	}
	resumed := wantOneCommand(t, d.HandleEvent(newEvent(second, Reserved), 0), StartPrefill)
	want := Command{Kind: StartPrefill, Request: 1, Attempt: second.Attempt, Endpoint: "p", PromptTokens: 104, MaxOutputTokens: 6, SentTokens: 4}
	if diff := cmp.Diff(want, resumed); diff != "" {
		t.Errorf("resumed prefill (-want +got):\n%s", diff)
	}
}

// TestRequestThatCrashesTwoEndpointsIsRefused crashes two endpoints with one request; whoever ran beside it is not refused.
func TestRequestThatCrashesTwoEndpointsIsRefused(t *testing.T) {
	d := newDispatcher(t, 3)
	commands := d.Submit(request(1), 0)
	now := time.Duration(0)
	for range 2 {
		c := commands[len(commands)-1]
		if c.Kind != Reserve {
			t.Fatalf("commands %+v, want a reservation", commands)
		}
		prefill := wantOneCommand(t, d.HandleEvent(newEvent(c, Reserved), now), StartPrefill)
		decode := wantOneCommand(t, d.HandleEvent(newEvent(prefill, Prefilled), now), StartDecode)
		commands = d.HandleEvent(newEvent(decode, EndpointCrashed), now)
	}
	last := commands[len(commands)-1]
	if last.Kind != Fail || last.Reason != ReasonCrashesEndpoints || last.NotRun {
		t.Errorf("after two crashes: %+v, want poison, and not that nothing ran", last)
	}
	if again := wantOneCommand(t, d.Submit(request(1), now), Fail); again.Reason != ReasonCrashesEndpoints || !again.NotRun {
		t.Errorf("sent again: %+v, want poison and that nothing ran", again)
	}
	wantOneCommand(t, d.Submit(request(2), now), Reserve)
}

// TestCancelReleasesDecodeSlotInEveryPhase cancels at every stage.
func TestCancelReleasesDecodeSlotInEveryPhase(t *testing.T) {
	for stage := range 4 {
		d := newDispatcher(t, 1)
		c := wantOneCommand(t, d.Submit(request(1), 0), Reserve)
		for i, kind := range []EventKind{Reserved, Prefilled, TokensSent} {
			if i < stage {
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
			t.Errorf("stage %d: released %v, %d open", stage, released, d.OpenRequests())
		}
		wantOneCommand(t, d.Submit(request(2), 0), Reserve)
	}
}

// TestRequestThatMissesItsDeadlineIsNotStarted refuses what can't meet its deadline, before anything runs.
func TestRequestThatMissesItsDeadlineIsNotStarted(t *testing.T) {
	d := newDispatcher(t, 1)
	r := request(1)
	r.Class, r.PromptTokens, r.FirstTokenDeadline = scheduler.Interactive, 100000, time.Second
	if c := wantOneCommand(t, d.Submit(r, 0), Fail); c.Reason != ReasonDeadline || !c.NotRun {
		t.Errorf("got %+v, want a deadline refusal that says not run", c)
	}
}

// Example shows the commands of one request.
func Example() {
	policy, _ := router.PolicyByName("leastloaded")
	r := router.New(policy, "a", rand.New(rand.NewPCG(1, 1)))
	r.Set(endpoint.Endpoint{ID: "prefill-1", Model: "m", Role: endpoint.Prefill}, 100)
	r.Set(endpoint.Endpoint{ID: "decode-1", Model: "m", Role: endpoint.Decode, Slots: 20}, 100)
	d := New(DefaultOptions(), r, quarantiner.New(time.Minute, 100), budgeter.New(0.1, 10))
	commands := d.Submit(Request{ID: 1, Account: "a", Weight: 1, Model: "m", PromptTokens: 100, MaxOutputTokens: 10, FirstTokenDeadline: time.Second}, 0)
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
