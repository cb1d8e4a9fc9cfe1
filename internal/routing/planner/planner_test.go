package planner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

// options are the options of the planners under test.
var options = planner.Options{
	Domain: "a", PrefillRate: 50000, FirstEventOverhead: 60 * time.Millisecond,
	MaxPrefillWait: 450 * time.Millisecond, MaxQueueWait: 2500 * time.Millisecond, DecodeRate: 1550,
	MaxMemoryFraction: 0.9, MaxLoadAge: 1500 * time.Millisecond,
}

// endpoints returns the given number of prefill endpoints followed by the given number of decode endpoints, in three
// failure domains and with the given KV memory in tokens.
func endpoints(prefill, decode, memoryTokens int) []planner.Endpoint {
	var out []planner.Endpoint
	for i := range prefill + decode {
		e := planner.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: "s", Domain: string(rune('a' + i%3)), Stage: planner.Decode,
			Slots: 12, MemoryTokens: memoryTokens,
		}
		if i < prefill {
			e.Stage = planner.Prefill
		}
		out = append(out, e)
	}
	return out
}

// newRequest returns a request of 5000 prompt and 5000 expected output tokens that arrives at the time now.
func newRequest(id uint64, now time.Duration) planner.Request {
	return planner.Request{
		ID: id, Account: "acc", Service: "s", PromptTokens: 5000, ExpectedOutputTokens: 5000,
		FirstEventDeadline: now + 900*time.Millisecond, CallerDeadline: now + 3600*time.Millisecond,
	}
}

// Guards against a request that is queued although endpoints have room for it.
func TestRequestStartsImmediatelyWhenEndpointsHaveRoom(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(1, 2, 100000))
	d := p.Submit(newRequest(1, 0), 0)
	if len(d) != 1 || d[0].Plan == nil || d[0].Plan.Prefill == nil {
		t.Fatalf("got %+v, want one plan with a prefill and a decode endpoint", d)
	}
}

// Guards against a request that never starts because the planner waits for a prefill endpoint that does not exist.
func TestDecodeEndpointRunsPrefillWhenNoPrefillEndpointExists(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(0, 1, 100000))
	d := p.Submit(newRequest(1, 0), 0)
	if len(d) != 1 || d[0].Plan == nil || d[0].Plan.Prefill != nil {
		t.Fatalf("got %+v, want one plan without a prefill endpoint", d)
	}
}

// Requests that start together use little memory at first but grow together. Too many of them would overfill the KV
// memory of the endpoint before its slots run out.
func TestRunsDoNotOverfillMemoryAsTheyGrow(t *testing.T) {
	o := options
	o.MaxMemoryFraction = 0.95
	p := planner.New(o, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(3, 1, 74000))
	started := 0
	for id := uint64(1); id <= 12; id++ {
		for _, d := range p.Submit(newRequest(id, 0), 0) {
			if d.Plan != nil {
				started++
			}
		}
	}
	if started != 7 {
		t.Errorf("%d requests started, want 7: each will fill 10,000 of 70,300 tokens", started)
	}
}

// Guards against an endpoint that gets more requests than it has slots because a gateway ignores those of a peer, and
// against slots that stay unused after the requests of the peer have ended.
func TestRunsOfPeersOccupySlots(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(1, 1, 100000))
	runs := make([]planner.Run, 12)
	p.UpdatePeerLoads("other", map[string]planner.Load{"e01": {Runs: runs}}, 0)
	if d := p.Submit(newRequest(1, 0), 0); len(d) != 0 {
		t.Fatalf("got %+v, want no decision while the requests of a peer fill all slots", d)
	}
	p.UpdatePeerLoads("other", map[string]planner.Load{}, time.Millisecond)
	if d := p.Tick(time.Millisecond); len(d) != 1 || d[0].Plan == nil {
		t.Fatalf("got %+v after the requests of the peer ended, want one plan", d)
	}
}

// Guards against slots that stay occupied by the requests of a gateway that is no longer part of the fleet.
func TestRunsOfRemovedPeersOccupyNoSlots(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(1, 1, 100000))
	p.UpdatePeerLoads("other", map[string]planner.Load{"e01": {Runs: make([]planner.Run, 12)}}, 0)
	p.RemovePeer("other")
	if d := p.Submit(newRequest(1, 0), 0); len(d) != 1 || d[0].Plan == nil {
		t.Fatalf("got %+v after the peer was removed, want one plan", d)
	}
}

// Guards against an endpoint that gets more requests than it has slots because this gateway receives no messages from a
// gateway that uses them. The endpoint itself reports these requests.
func TestRunsOfUnreachableGatewaysOccupySlots(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(1, 1, 200000))
	p.ReportActiveRequests("e01", 12, 0)
	if d := p.Submit(newRequest(1, 0), 0); len(d) != 0 {
		t.Fatalf("got %+v, want no decision while the endpoint reports that all slots are in use", d)
	}
}

// Guards against requests to an endpoint that has just failed one or was full, and against a full endpoint that is
// avoided for as long as a failed one.
func TestFailedAndFullEndpointsGetNoWork(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(0, 2, 100000))
	p.RecordFailure("e00", 0)
	p.RecordFull("e01", 0)
	if d := p.Submit(newRequest(1, 0), 0); len(d) != 0 {
		t.Fatalf("got %+v, want no decision while one endpoint is ejected and the other full", d)
	}
	if d := p.Tick(200 * time.Millisecond); len(d) != 1 || d[0].Plan == nil || d[0].Plan.Decode.ID != "e01" {
		t.Fatalf("got %+v, want one plan on e01, which was full but not ejected", d)
	}
}

// Guards against a request that can't start in time but is refused only after its caller has waited.
func TestRequestThatWouldQueueTooLongIsRefusedImmediately(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(nil)
	for id := uint64(1); id <= 3; id++ {
		p.Submit(newRequest(id, 0), 0)
	}
	d := p.Submit(newRequest(4, 0), 0)
	if len(d) != 1 || !d[0].Refused || d[0].RetryAfter <= 0 {
		t.Fatalf("got %+v, want one refusal with a time to retry after", d)
	}
}

// Guards against a request that a full endpoint refused and that loses its place in the queue to a later one.
func TestRequeuedRequestStaysFirstInQueue(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(0, 1, 11000))
	if d := p.Submit(newRequest(1, 0), 0); len(d) != 1 {
		t.Fatal("the first request got no decision, want a start")
	}
	p.Submit(newRequest(2, 0), 0)
	p.RecordFull("e00", 0)
	if d := p.Requeue(1, 0); len(d) != 0 {
		t.Fatalf("got %+v, want no decision while the endpoint is full", d)
	}
	if d := p.Tick(200 * time.Millisecond); len(d) != 1 || d[0].RequestID != 1 {
		t.Fatalf("got %+v, want one decision, for request 1", d)
	}
}

// runEnd is the end of a running request, in virtual time.
type runEnd struct {
	at      time.Duration
	request uint64
}

// runEnds is a heap with the earliest end first.
type runEnds []runEnd

func (e runEnds) Len() int           { return len(e) }
func (e runEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e runEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is called by container/heap only.
func (e *runEnds) Push(x any) { *e = append(*e, x.(runEnd)) } //nolint:forcetypeassert // only ends are pushed

// Pop is called by container/heap only.
func (e *runEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// The load is that of one day on nine endpoints, with a burst of 2.2 times the usual rate for five seconds. Callers
// disconnect after 3.6 s without an event. A planner that starts or queues too much serves requests late or refuses
// them only after a long wait. At least 0.9 of the requests must be on time, and refusals must come within the
// maximum queue wait.
func TestBurstIsServedOrRefusedInTime(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(2, 7, 107000))
	rng := rand.New(rand.NewPCG(1, 2))
	var running runEnds
	sent, onTime, refused, late := 0, 0, 0, 0
	submittedAt := map[uint64]time.Duration{}
	handleDecisions := func(decisions []planner.Decision, now time.Duration) {
		for _, d := range decisions {
			waited := now - submittedAt[d.RequestID]
			if d.Refused {
				refused++
				if waited > options.MaxQueueWait {
					t.Errorf("request %d was refused after %v, want at most the maximum queue wait", d.RequestID, waited)
				}
				continue
			}
			if waited < 750*time.Millisecond {
				onTime++
			} else {
				late++
			}
			heap.Push(&running, runEnd{
				now + 100*time.Millisecond + time.Duration(rng.NormFloat64()*800+2900)*time.Millisecond, d.RequestID,
			})
		}
	}
	nextArrival := time.Duration(0)
	for now := time.Duration(0); now < 34*time.Second; now += 5 * time.Millisecond {
		for len(running) > 0 && running[0].at <= now {
			e, _ := heap.Pop(&running).(runEnd)
			p.CancelPrefill(e.request)
			handleDecisions(p.End(e.request, now), now)
		}
		perSecond := 10.3
		if now > 6*time.Second && now < 11*time.Second {
			perSecond *= 2.2
		}
		for nextArrival <= now {
			sent++
			submittedAt[uint64(sent)] = now
			handleDecisions(p.Submit(newRequest(uint64(sent), now), now), now)
			nextArrival += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		}
		if now%(20*time.Millisecond) == 0 {
			handleDecisions(p.Tick(now), now)
		}
	}
	t.Logf("sent %d, on time %d, late %d, refused %d", sent, onTime, late, refused)
	if float64(onTime) < 0.9*float64(sent) {
		t.Errorf("%d of %d requests were on time, want at least 90%%", onTime, sent)
	}
}

func BenchmarkSubmit(b *testing.B) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(6, 22, 107000))
	for g := range 29 {
		loads := map[string]planner.Load{}
		for i := range 6 {
			loads[fmt.Sprintf("e%02d", 6+(g*6+i)%22)] = planner.Load{
				Runs: []planner.Run{{PromptTokens: 5000, ExpectedOutputTokens: 5000, Age: time.Second}},
			}
		}
		p.UpdatePeerLoads(fmt.Sprintf("g%d", g), loads, 0)
	}
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		p.Submit(newRequest(id, 0), 0)
		p.End(id, 0)
	}
}

// Guards against an ejection, or the end of one, that is logged more than once or not at all.
func TestEjectionChangesAreReportedOnce(t *testing.T) {
	p := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(1, 4, 100000))
	for _, gateway := range []string{"a", "b"} {
		p.UpdatePeerLoad(gateway, "e01", planner.Load{LastFailure: planner.Failure{ID: 1}}, 0)
	}
	if d := p.TakeEjectionChanges(); len(d) != 1 || d[0].Endpoint != "e01" || d[0].Failures != 2 || d[0].Duration <= 0 {
		t.Errorf("got %+v after two failures, want one ejection of e01", d)
	}
	p.RecordSuccess("e01", time.Second)
	if d := p.TakeEjectionChanges(); len(d) != 1 || d[0].Endpoint != "e01" || d[0].Failures != 0 {
		t.Errorf("got %+v after a success, want the end of the ejection of e01", d)
	}
	if d := p.TakeEjectionChanges(); len(d) != 0 {
		t.Errorf("got %+v from a second call, want no changes", d)
	}
}

// Without the success of a peer, each gateway has to find out by itself that an endpoint works again, one request at
// a time.
func TestPeerSuccessEndsEjection(t *testing.T) {
	a := planner.New(options, rand.New(rand.NewPCG(1, 1)))
	b := planner.New(options, rand.New(rand.NewPCG(1, 2)))
	for _, p := range []*planner.Planner{a, b} {
		p.SetEndpoints(endpoints(1, 4, 100000))
		for id := range uint64(3) {
			p.UpdatePeerLoad("c", "e01", planner.Load{LastFailure: planner.Failure{ID: id + 1}}, 0)
		}
		p.TakeEjectionChanges()
	}
	a.RecordSuccess("e01", time.Second)
	b.UpdatePeerLoads("a", a.Loads(1100*time.Millisecond), 1100*time.Millisecond)
	if d := b.TakeEjectionChanges(); len(d) != 1 || d[0].Endpoint != "e01" || d[0].Failures != 0 {
		t.Errorf("got %+v, want the end of the ejection of e01", d)
	}
}
