package suspender_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// newSuspender returns a suspender that lists the endpoint e since 1 s.
func newSuspender() *suspender.Suspender {
	s := suspender.New(rand.New(rand.NewPCG(1, 1)))
	s.SetEndpoints([]suspender.Endpoint{{ID: "e", StartedAtMs: 1000}}, time.Second)
	return s
}

func signal(at time.Duration) suspender.Signal {
	return suspender.Signal{EndpointID: "e", RequestID: "r", SentAt: at}
}

// Guards against sending before a pause has ended, and against one that lasts much longer than the endpoint asked for.
func TestPause(t *testing.T) {
	s := newSuspender()
	asked := signal(2 * time.Second)
	asked.Pause = 4 * time.Second
	s.Record(asked, 2*time.Second)
	shorter := signal(3 * time.Second)
	shorter.Pause = time.Second
	s.Record(shorter, 3*time.Second)
	for at, want := range map[time.Duration]bool{
		2 * time.Second: true, 5 * time.Second: true, 5999 * time.Millisecond: true, 6501 * time.Millisecond: false,
	} {
		if got := s.IsPaused("e", at); got != want || s.MaySend("e", 0, at) == want {
			t.Errorf("at %v: got paused %t, want %t", at, got, want)
		}
	}
	if events := s.TakeEvents(); len(events) != 1 || events[0].Kind != suspender.Paused || events[0].RequestID != "r" {
		t.Errorf("got events %v, want one pause", events)
	}
}

// Guards against giving an endpoint all of its work at the instant at which its pause ends.
func TestSlotsGrowInStepsAfterPause(t *testing.T) {
	s := newSuspender()
	asked := signal(2 * time.Second)
	asked.Pause = time.Second
	s.Record(asked, 2*time.Second)
	end := s.PausedUntil("e")
	last := 0
	for at := end - time.Second; at < end+3*time.Second; at += 50 * time.Millisecond {
		n, _ := s.Slots("e", 8, at)
		if n < last || n > last+1 {
			t.Errorf("%v after the pause: got %d slots after %d", at-end, n, last)
		}
		last = n
	}
	if last != 8 {
		t.Errorf("got %d slots in the end, want 8", last)
	}
}

// Guards against gateways that all come back at the same instant because they were told the same time.
func TestReturnsAreSpread(t *testing.T) {
	ends := map[time.Duration]bool{}
	for seed := range uint64(50) {
		s := suspender.New(rand.New(rand.NewPCG(seed, 2)))
		s.SetEndpoints([]suspender.Endpoint{{ID: "e"}}, time.Second)
		asked := signal(2 * time.Second)
		asked.Pause = 4 * time.Second
		s.Record(asked, 2*time.Second)
		end := s.PausedUntil("e")
		if end < 6*time.Second || end > 6500*time.Millisecond {
			t.Errorf("got an end at %v, want 6 s to 6.5 s", end)
		}
		ends[end.Round(10*time.Millisecond)] = true
	}
	if len(ends) < 20 {
		t.Errorf("got %d different ends of 50 gateways", len(ends))
	}
}

// Guards against a leaving endpoint that gets requests which callers sent later, or whose requests from before are held
// up.
func TestLeaving(t *testing.T) {
	s := newSuspender()
	leaves := signal(2 * time.Second)
	leaves.Leaving = true
	if !s.Record(leaves, 3*time.Second) || s.Record(leaves, 4*time.Second) {
		t.Error("want the first signal, and only that, to begin the leaving")
	}
	if s.MaySend("e", 3001*time.Millisecond, 3001*time.Millisecond) || !s.MaySend("e", 2900*time.Millisecond, 4*time.Second) {
		t.Error("want requests from before, and only those, to be sent")
	}
	s.SetEndpoints([]suspender.Endpoint{{ID: "e", StartedAtMs: 1000}}, 5*time.Second)
	if !s.IsLeaving("e") {
		t.Error("the endpoint is used again because its entry was written again")
	}
}

// Guards against what an earlier incarnation said, also in an answer that arrives late.
func TestNewIncarnationStartsClean(t *testing.T) {
	s := newSuspender()
	leaves := signal(2 * time.Second)
	leaves.Leaving = true
	s.Record(leaves, 2*time.Second)
	s.SetEndpoints([]suspender.Endpoint{{ID: "e", StartedAtMs: 9000}}, 10*time.Second)
	s.Record(leaves, 11*time.Second)
	if s.IsLeaving("e") {
		t.Error("the new incarnation is leaving because the earlier one said so")
	}
	leaves.SentAt = 12 * time.Second
	s.Record(leaves, 13*time.Second)
	if !s.IsLeaving("e") {
		t.Error("what the new incarnation says is ignored")
	}
}

// Guards against losing an endpoint for ever by one value, and against a log line for each of many.
func TestValuesThatAreIgnored(t *testing.T) {
	s := newSuspender()
	year := signal(2 * time.Second)
	year.Pause = 365 * 24 * time.Hour
	s.Record(year, 2*time.Second)
	if until := s.PausedUntil("e"); until > 2*time.Second+suspender.MaxPause+time.Second {
		t.Errorf("got a pause until %v, want at most %v", until, suspender.MaxPause)
	}
	s = newSuspender()
	for n := range 100 {
		at := 2*time.Second + time.Duration(n)*time.Millisecond
		malformed := signal(at)
		malformed.Malformed = "soon"
		s.Record(malformed, at)
		unmarked := signal(at)
		unmarked.Leaving, unmarked.Pause, unmarked.Unmarked = true, time.Hour, true
		s.Record(unmarked, at)
	}
	if s.IsLeaving("e") || s.IsPaused("e", 3*time.Second) {
		t.Error("an ignored value suspends the endpoint")
	}
	if events := s.TakeEvents(); len(events) != 1 || events[0].Kind != suspender.Ignored {
		t.Errorf("got %d events, want one about ignored values", len(events))
	}
	unknown := signal(2 * time.Second)
	unknown.EndpointID, unknown.Leaving = "nobody", true
	s.Record(unknown, 3*time.Second)
	if s.IsLeaving("nobody") {
		t.Error("an endpoint that was never listed is remembered")
	}
}

// Guards against memory that grows with each endpoint that has ever said something.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	s := suspender.New(rand.New(rand.NewPCG(1, 1)))
	now := time.Second
	for n := range 1000 {
		id := fmt.Sprint(n)
		s.SetEndpoints([]suspender.Endpoint{{ID: id}}, now)
		s.Record(suspender.Signal{EndpointID: id, SentAt: now, Leaving: true}, now)
		now += time.Second
		s.Expire(now)
	}
	if _, leaving := s.Counts(now); leaving > 65 {
		t.Errorf("got %d leaving endpoints, want those of the last minute", leaving)
	}
}

// Guards against a pause that is never reported as over.
func TestEndOfPauseIsReported(t *testing.T) {
	s := newSuspender()
	asked := signal(2 * time.Second)
	asked.Pause = time.Second
	s.Record(asked, 2*time.Second)
	s.TakeEvents()
	s.Expire(10 * time.Second)
	if events := s.TakeEvents(); len(events) != 1 || events[0].Kind != suspender.Resumed {
		t.Errorf("got events %v, want the end of the pause", events)
	}
	if s.HasPauses(10 * time.Second) {
		t.Error("the pause is not over")
	}
}

// BenchmarkMaySend measures the check before a request is sent, without and with endpoints that have asked for something.
func BenchmarkMaySend(b *testing.B) {
	for _, suspended := range []int{0, 100} {
		b.Run(fmt.Sprint(suspended, " suspended"), func(b *testing.B) {
			s := suspender.New(rand.New(rand.NewPCG(1, 1)))
			endpoints := make([]suspender.Endpoint, 5200)
			for n := range endpoints {
				endpoints[n].ID = fmt.Sprint("endpoint-", n)
			}
			s.SetEndpoints(endpoints, time.Second)
			for n := range suspended {
				s.Record(suspender.Signal{EndpointID: endpoints[n].ID, SentAt: time.Second, Pause: time.Minute}, time.Second)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				s.MaySend(endpoints[n%len(endpoints)].ID, 0, 2*time.Second)
			}
		})
	}
}

// Guards against losing an endpoint for good that leaves, is taken off the list and starts again under its ID, also if
// an entry without a start time comes in between.
func TestRestartUnderSameIDStartsClean(t *testing.T) {
	for name, between := range map[string][]suspender.Endpoint{"gone": nil, "no start time": {{ID: "e"}}} {
		s := newSuspender()
		leaves := signal(2 * time.Second)
		leaves.Leaving = true
		s.Record(leaves, 2*time.Second)
		s.SetEndpoints(between, 3*time.Second)
		s.SetEndpoints([]suspender.Endpoint{{ID: "e", StartedAtMs: 1000}}, 4*time.Second)
		if !s.IsLeaving("e") {
			t.Errorf("%s: the same incarnation is used again", name)
		}
		s.SetEndpoints(between, 5*time.Second)
		s.SetEndpoints([]suspender.Endpoint{{ID: "e", StartedAtMs: 9000}}, 10*time.Second)
		if s.IsLeaving("e") {
			t.Errorf("%s: the new incarnation is leaving because the earlier one said so", name)
		}
	}
}

// An endpoint that starts again under its ID may ask for a pause before the list shows its new start. The pause was forgotten then,
// and the endpoint got requests in it (play restart, BUDGET). What was asked earlier is of the start before.
func TestPauseIsForgottenWhenNewStartIsListed(t *testing.T) {
	for listedAfter, want := range map[time.Duration]bool{
		100 * time.Millisecond: true, 1200 * time.Millisecond: true, 3 * time.Second: true, 3100 * time.Millisecond: false,
	} {
		s := newSuspender()
		asked := signal(2 * time.Second)
		asked.Pause, asked.Leaving = 8*time.Second, true
		s.Record(asked, 2*time.Second)
		now := 2*time.Second + listedAfter
		s.SetEndpoints([]suspender.Endpoint{{ID: "e", StartedAtMs: 3000}}, now)
		if got := s.IsPaused("e", now); got != want || s.IsLeaving("e") {
			t.Errorf("listed %v after the pause was asked for: got paused %t, leaving %t, want %t and not leaving", listedAfter, got, s.IsLeaving("e"), want)
		}
		s.SetEndpoints([]suspender.Endpoint{{ID: "e", StartedAtMs: 9000}}, now+10*time.Second)
		if s.IsPaused("e", now+10*time.Second) {
			t.Error("got the pause kept for a further start, want it forgotten")
		}
	}
}
