// Package invoker runs the calls of the plain service beside an agent. A call with an idempotency key runs at most
// once: the agent stores a record of the key and mirrors it to other agents before the call runs.
package invoker

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
	"github.com/pistachiovane/pistachiovane/pkg/deduplicator"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

const (
	// mirrorTimeout is the longest wait for the responses of the mirrors: the other agents that store the record of a key.
	mirrorTimeout = 500 * time.Millisecond
	// quorum is how many of the three agents of a key must store its record before the call runs. Any two runs of a key
	// would then need a common agent, which rejects the second one.
	quorum = 2
	// maxAnswerBytes is the largest answer of the service.
	maxAnswerBytes = 1 << 20
)

// The phases of a mirror message. The call is about to run, has an answer, or certainly did not run.
const (
	phaseBegin = "begin"
	phaseDone  = "done"
	phaseDrop  = "drop"
)

// MirrorFunc sends a record to another agent and returns the record that the agent had before, or an empty one. It
// fails when the agent can't be reached.
type MirrorFunc func(ctx context.Context, address string, m fleet.MirrorUpdate) (fleet.MirrorUpdate, error)

// Invoker runs calls on the service beside the agent. It is safe for concurrent use.
type Invoker struct {
	// serviceURL is the base URL of the service.
	serviceURL string
	// incarnation is the ID of this run of the agent's process. It marks the records of calls that run here.
	incarnation string
	httpClient  *http.Client
	// prober tells whether the service has crashed.
	prober     *prober.Prober
	sendMirror MirrorFunc
	// createdAt is when the invoker was created; the times of records count from it.
	createdAt time.Time
	// warmupPeriod is how long after its start an invoker runs no call with a key that has no mirrors. The call may
	// have run before the start, and no other agent has a record of it.
	warmupPeriod time.Duration
	activeCalls  atomic.Int64

	// mu guards the fields below. It is not locked while a call runs or a mirror is called.
	mu       sync.Mutex
	records  *deduplicator.Deduplicator
	draining bool
}

// New returns an invoker of the service at the base URL serviceURL. incarnation is the ID of this run of the agent's
// process, records stores the idempotency keys, m sends records to other agents. warmupPeriod is how long after its
// start the invoker runs no call with a key that has no mirrors.
func New(serviceURL, incarnation string, records *deduplicator.Deduplicator, warmupPeriod time.Duration,
	client *http.Client, m MirrorFunc,
) *Invoker {
	return &Invoker{
		serviceURL: serviceURL, incarnation: incarnation, httpClient: client, sendMirror: m, createdAt: time.Now(),
		warmupPeriod: warmupPeriod, records: records, prober: prober.New(connect),
	}
}

// connect opens a connection to the service and closes it again. A service does not say who it is: if a connection is
// accepted, nothing is known, so callers are told that nobody marked the end of its answer.
func connect(ctx context.Context, p prober.Process) (prober.Identity, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return prober.Identity{}, err
	}
	return prober.Identity{}, c.Close()
}

// Drain makes the invoker refuse new calls. Calls in progress continue.
func (i *Invoker) Drain() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.draining = true
}

// ActiveCalls returns the number of calls in progress.
func (i *Invoker) ActiveCalls() int {
	return int(i.activeCalls.Load())
}

// Call runs a call and returns its outcome, which says whether the call ran, did not run or may have run. Reads and
// calls without a key run without a record. The outcome is CallNotExecuted if the invoker is draining.
func (i *Invoker) Call(ctx context.Context, call fleet.CallRequest) fleet.CallResponse {
	i.activeCalls.Add(1)
	defer i.activeCalls.Add(-1)
	i.mu.Lock()
	draining := i.draining
	i.mu.Unlock()
	if draining {
		return i.newResponse(fleet.CallNotExecuted, deduplicator.Result{})
	}
	if call.ReadOnly || call.IdempotencyKey == "" {
		return i.run(ctx, call)
	}
	return i.runKeyed(ctx, call)
}

// HandleMirror applies a mirror message of another agent. For a new record it returns the record that is stored here
// already for a call of another incarnation, or else an empty one; the phase is drop if the limit of records is
// reached.
func (i *Invoker) HandleMirror(m fleet.MirrorUpdate) fleet.MirrorUpdate {
	i.mu.Lock()
	defer i.mu.Unlock()
	id := deduplicator.ID{Account: m.Account, Key: m.IdempotencyKey}
	record := deduplicator.Record{
		BodyDigest: m.BodyDigest, Phase: deduplicator.Running, RunnerIncarnation: m.RunnerIncarnation,
	}
	switch m.Phase {
	case phaseDone:
		i.records.Finish(id, record, resultOf(m), i.now())
	case phaseDrop:
		i.records.Forget(id, m.RunnerIncarnation)
	default:
		existing, found, ok := i.records.Put(id, record, i.now())
		if !ok {
			return fleet.MirrorUpdate{Phase: phaseDrop}
		}
		if found && existing.RunnerIncarnation != m.RunnerIncarnation {
			return toMirror(m, existing)
		}
	}
	return fleet.MirrorUpdate{}
}

// runKeyed runs a call with an idempotency key, unless a record of the key exists. It does so only after a quorum of
// the agents of the key has stored the record; otherwise the outcome is CallNotExecuted. A call without mirrors ends as
// CallUnknown during the warmupPeriod, because the previous incarnation may have run it.
func (i *Invoker) runKeyed(ctx context.Context, call fleet.CallRequest) fleet.CallResponse {
	id := deduplicator.ID{Account: call.Account, Key: call.IdempotencyKey}
	record := deduplicator.Record{
		BodyDigest: call.BodyDigest, Phase: deduplicator.Running, RunnerIncarnation: i.incarnation,
	}
	i.mu.Lock()
	existing, found, ok := i.records.Put(id, record, i.now())
	i.mu.Unlock()
	if !ok {
		return i.newResponse(fleet.CallNotExecuted, deduplicator.Result{})
	}
	if found {
		return i.answerFromRecord(existing, call, record)
	}
	if len(call.MirrorAgents) == 0 && i.now() < i.warmupPeriod {
		i.dropRecord(ctx, id, call)
		return i.newResponse(fleet.CallUnknown, deduplicator.Result{})
	}
	acks, earlier := i.mirrorNewRecord(ctx, call)
	if earlier != nil {
		return i.adoptRecord(id, call, *earlier)
	}
	if len(call.MirrorAgents) > 0 && acks+1 < quorum {
		i.dropRecord(ctx, id, call)
		return i.newResponse(fleet.CallNotExecuted, deduplicator.Result{})
	}
	response := i.run(ctx, call)
	i.recordOutcome(ctx, id, record, call, response)
	return response
}

// answerFromRecord answers a call whose key already has a record; own is the record that this incarnation would store.
// The outcome is CallUnknown if another incarnation ran the call and its result is not known.
func (i *Invoker) answerFromRecord(
	existing deduplicator.Record, call fleet.CallRequest, own deduplicator.Record,
) fleet.CallResponse {
	switch {
	case existing.BodyDigest != call.BodyDigest:
		return i.newResponse(fleet.CallConflict, deduplicator.Result{})
	case existing.Phase == deduplicator.Done:
		response := i.newResponse(fleet.CallDone, existing.Result)
		response.Replayed = true
		return response
	case existing.RunnerIncarnation == own.RunnerIncarnation:
		return i.newResponse(fleet.CallRunning, deduplicator.Result{})
	default:
		return i.newResponse(fleet.CallUnknown, deduplicator.Result{})
	}
}

// adoptRecord replaces the record stored here by that of an earlier run and answers the call from it.
func (i *Invoker) adoptRecord(
	id deduplicator.ID, call fleet.CallRequest, earlier deduplicator.Record,
) fleet.CallResponse {
	i.mu.Lock()
	i.records.Forget(id, i.incarnation)
	existing, _, _ := i.records.Put(id, earlier, i.now())
	i.mu.Unlock()
	return i.answerFromRecord(existing, call, deduplicator.Record{RunnerIncarnation: i.incarnation})
}

// mirrorNewRecord sends the record of a call that is about to run to all mirrors. It returns the number of mirrors
// that stored it, or the record of an earlier run that a mirror has; a record with a result is preferred.
func (i *Invoker) mirrorNewRecord(
	ctx context.Context, call fleet.CallRequest,
) (acks int, earlier *deduplicator.Record) {
	for _, existing := range i.broadcast(ctx, call, phaseBegin, deduplicator.Result{}) {
		switch {
		case existing == nil || existing.Phase == phaseDrop:
		case existing.RunnerIncarnation == "":
			acks++
		default:
			r := fromMirror(*existing)
			if earlier == nil || r.Phase == deduplicator.Done {
				earlier = &r
			}
		}
	}
	return acks, earlier
}

// broadcast sends a mirror message to all mirrors at the same time and returns their responses in the order of
// call.MirrorAgents. A response is nil if the mirror did not respond within mirrorTimeout.
func (i *Invoker) broadcast(
	ctx context.Context, call fleet.CallRequest, phase string, result deduplicator.Result,
) []*fleet.MirrorUpdate {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), mirrorTimeout)
	defer cancel()
	message := fleet.MirrorUpdate{
		Account: call.Account, IdempotencyKey: call.IdempotencyKey, BodyDigest: call.BodyDigest, Phase: phase,
		Result: result.Text, EndUnmarked: result.EndUnmarked, RunnerIncarnation: i.incarnation,
	}
	responses := make([]*fleet.MirrorUpdate, len(call.MirrorAgents))
	var wg sync.WaitGroup
	for n, address := range call.MirrorAgents {
		wg.Go(func() {
			if existing, err := i.sendMirror(ctx, address, message); err == nil {
				responses[n] = &existing
			}
		})
	}
	wg.Wait()
	return responses
}

// recordOutcome stores how a run ended. A result is stored here and at the mirrors, and the record of a call that did
// not run is removed. For an unknown outcome the record stays, but with a RunnerIncarnation that differs from that of
// this process: a repeated call then gets CallUnknown, not CallRunning.
func (i *Invoker) recordOutcome(
	ctx context.Context, id deduplicator.ID, record deduplicator.Record, call fleet.CallRequest,
	response fleet.CallResponse,
) {
	switch response.Outcome {
	case fleet.CallDone:
		result := deduplicator.Result{Text: response.Result, EndUnmarked: response.EndUnmarked}
		i.mu.Lock()
		i.records.Finish(id, record, result, i.now())
		i.mu.Unlock()
		i.broadcast(ctx, call, phaseDone, result)
	case fleet.CallNotExecuted:
		i.dropRecord(ctx, id, call)
	default:
		i.mu.Lock()
		i.records.Forget(id, i.incarnation)
		record.RunnerIncarnation = i.incarnation + "/ended"
		_, _, _ = i.records.Put(id, record, i.now())
		i.mu.Unlock()
	}
}

// dropRecord removes the record of a call that certainly did not run, here and at the mirrors.
func (i *Invoker) dropRecord(ctx context.Context, id deduplicator.ID, call fleet.CallRequest) {
	i.mu.Lock()
	i.records.Forget(id, i.incarnation)
	i.mu.Unlock()
	i.broadcast(ctx, call, phaseDrop, deduplicator.Result{})
}

// run sends a call to the service once. The outcome is CallNotExecuted only if the request could not be created or the
// connection to the service could not be opened, because only then the call certainly did not run. The outcome is
// CallUnknown after a response with a status other than 2xx and after an answer that is not whole.
func (i *Invoker) run(ctx context.Context, call fleet.CallRequest) fleet.CallResponse {
	method := http.MethodPost
	if call.ReadOnly {
		method = http.MethodGet
	} else {
		ctx = context.WithoutCancel(ctx)
	}
	target := i.serviceURL + "/calls/" + url.PathEscape(call.Name)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(call.Body))
	if err != nil {
		return i.newResponse(fleet.CallNotExecuted, deduplicator.Result{})
	}
	req.GetBody = nil // net/http never resends a request without GetBody.
	// Answers have no ID. On a kept connection a late copy of an earlier one would be taken for this one's.
	req.Close = true
	req.Header.Set("X-Account", call.Account)
	resp, err := i.httpClient.Do(req)
	if err != nil {
		return i.newResponse(outcomeOf(err), deduplicator.Result{})
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	// A compressed body marks its end by itself.
	unmarked := !resp.Uncompressed && !delimiter.New(resp).MarksEnd()
	switch {
	case err != nil, resp.StatusCode/100 != 2, len(body) > maxAnswerBytes:
		return i.newResponse(fleet.CallUnknown, deduplicator.Result{})
	case unmarked && i.isDown(req.URL.Host):
		// The service has crashed, so its connections ended in the middle of what it sent.
		return i.newResponse(fleet.CallUnknown, deduplicator.Result{})
	}
	return i.newResponse(fleet.CallDone, deduplicator.Result{Text: string(body), EndUnmarked: unmarked})
}

// isDown reports whether nothing accepts connections at the address of the service.
func (i *Invoker) isDown(address string) bool {
	v, _ := i.prober.Probe(prober.Process{Address: address})
	return v == prober.Refused
}

// newResponse returns a response with the outcome and the result. Its load is the present number of calls.
func (i *Invoker) newResponse(o fleet.CallOutcome, result deduplicator.Result) fleet.CallResponse {
	return fleet.CallResponse{
		Outcome: o, Result: result.Text, EndUnmarked: result.EndUnmarked, Load: fleet.EncodeLoad(endpoint.Load{UsedSlots: i.ActiveCalls()}),
	}
}

// now returns the time since the invoker was created, on the monotonic clock.
func (i *Invoker) now() time.Duration {
	return time.Since(i.createdAt)
}

// outcomeOf returns the outcome of a call that failed: CallNotExecuted if the connection could not be opened,
// CallUnknown if the call failed later.
func outcomeOf(err error) fleet.CallOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fleet.CallNotExecuted
	}
	return fleet.CallUnknown
}

// toMirror converts a stored record to the response to the mirror message m for the same key.
func toMirror(m fleet.MirrorUpdate, r deduplicator.Record) fleet.MirrorUpdate {
	phase := phaseBegin
	if r.Phase == deduplicator.Done {
		phase = phaseDone
	}
	return fleet.MirrorUpdate{
		Account: m.Account, IdempotencyKey: m.IdempotencyKey, BodyDigest: r.BodyDigest, Phase: phase,
		Result: r.Result.Text, EndUnmarked: r.Result.EndUnmarked, RunnerIncarnation: r.RunnerIncarnation,
	}
}

// fromMirror converts the response to a mirror message to a record.
func fromMirror(m fleet.MirrorUpdate) deduplicator.Record {
	r := deduplicator.Record{BodyDigest: m.BodyDigest, Phase: deduplicator.Running, RunnerIncarnation: m.RunnerIncarnation}
	if m.Phase == phaseDone {
		return r.WithResult(resultOf(m))
	}
	return r
}

// resultOf returns the answer in a mirror message.
func resultOf(m fleet.MirrorUpdate) deduplicator.Result {
	return deduplicator.Result{Text: m.Result, EndUnmarked: m.EndUnmarked}
}
