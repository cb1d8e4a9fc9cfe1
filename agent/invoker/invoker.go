// Package invoker runs the calls of a plain service, each non-idempotent one at most once.
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

	"github.com/pistachiovane/pistachiovane/pkg/deduplicator"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

const (
	// mirrorTimeout bounds the wait for the other memories.
	mirrorTimeout = 500 * time.Millisecond
	// quorum is how many of the three memories must hold a record before its call runs.
	quorum         = 2
	maxAnswerBytes = 1 << 20
)

// The phases of a mirror message.
const (
	phaseBegin = "begin"
	phaseDone  = "done"
	phaseDrop  = "drop"
)

// MirrorFunc sends a record to another agent and returns the record that it held before, if any.
type MirrorFunc func(ctx context.Context, address string, m fleet.Mirror) (fleet.Mirror, error)

// Invoker runs calls on the service beside it.
type Invoker struct {
	serviceURL  string
	incarnation string
	http        *http.Client
	sendMirror  MirrorFunc
	start       time.Time
	// warmupPeriod is how long after its start an invoker without mirrors can't vouch for a key.
	warmupPeriod time.Duration
	activeCalls  atomic.Int64

	mu       sync.Mutex
	records  *deduplicator.Deduplicator
	draining bool
}

// New returns an invoker of the service at the base URL.
func New(serviceURL, incarnation string, records *deduplicator.Deduplicator, warmupPeriod time.Duration,
	client *http.Client, m MirrorFunc,
) *Invoker {
	return &Invoker{
		serviceURL: serviceURL, incarnation: incarnation, http: client, sendMirror: m, start: time.Now(),
		warmupPeriod: warmupPeriod, records: records,
	}
}

// Drain refuses new calls from now on.
func (i *Invoker) Drain() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.draining = true
}

// ActiveCalls returns how many calls run.
func (i *Invoker) ActiveCalls() int {
	return int(i.activeCalls.Load())
}

// Call runs a call and tells truthfully whether it ran.
func (i *Invoker) Call(ctx context.Context, call fleet.Call) fleet.CallAnswer {
	i.activeCalls.Add(1)
	defer i.activeCalls.Add(-1)
	i.mu.Lock()
	draining := i.draining
	i.mu.Unlock()
	if draining {
		return i.answer(fleet.CallNotRun, "")
	}
	if call.Read || call.Key == "" {
		return i.run(ctx, call)
	}
	return i.runKeyed(ctx, call)
}

// HandleMirror serves the mirror messages of other agents: it returns the record held before.
func (i *Invoker) HandleMirror(m fleet.Mirror) fleet.Mirror {
	i.mu.Lock()
	defer i.mu.Unlock()
	id := deduplicator.ID{Account: m.Account, Key: m.Key}
	record := deduplicator.Record{BodyDigest: m.Digest, Phase: deduplicator.Running, RunnerIncarnation: m.Runner}
	switch m.Phase {
	case phaseDone:
		i.records.Finish(id, record, m.Result, i.now())
	case phaseDrop:
		i.records.Forget(id, m.Runner)
	default:
		existing, found, ok := i.records.Put(id, record, i.now())
		if !ok {
			return fleet.Mirror{Phase: phaseDrop}
		}
		if found && existing.RunnerIncarnation != m.Runner {
			return toMirror(m, existing)
		}
	}
	return fleet.Mirror{}
}

// runKeyed runs a call with an idempotency key after two of its three memories hold a fresh record.
func (i *Invoker) runKeyed(ctx context.Context, call fleet.Call) fleet.CallAnswer {
	id := deduplicator.ID{Account: call.Account, Key: call.Key}
	record := deduplicator.Record{BodyDigest: call.Digest, Phase: deduplicator.Running, RunnerIncarnation: i.incarnation}
	i.mu.Lock()
	existing, found, ok := i.records.Put(id, record, i.now())
	i.mu.Unlock()
	if !ok {
		return i.answer(fleet.CallNotRun, "")
	}
	if found {
		return i.answerFromRecord(existing, call, record)
	}
	if len(call.Mirrors) == 0 && i.now() < i.warmupPeriod {
		i.dropRecord(ctx, id, call)
		return i.answer(fleet.CallUnknown, "")
	}
	acks, earlier := i.mirrorNewRecord(ctx, call)
	if earlier != nil {
		return i.adoptRecord(id, call, *earlier)
	}
	if len(call.Mirrors) > 0 && acks+1 < quorum {
		i.dropRecord(ctx, id, call)
		return i.answer(fleet.CallNotRun, "")
	}
	answer := i.run(ctx, call)
	i.recordOutcome(ctx, id, record, call, answer)
	return answer
}

// answerFromRecord answers from a record that this agent holds.
func (i *Invoker) answerFromRecord(
	existing deduplicator.Record, call fleet.Call, own deduplicator.Record,
) fleet.CallAnswer {
	switch {
	case existing.BodyDigest != call.Digest:
		return i.answer(fleet.CallConflict, "")
	case existing.Phase == deduplicator.Done:
		a := i.answer(fleet.CallDone, existing.Result)
		a.Replayed = true
		return a
	case existing.RunnerIncarnation == own.RunnerIncarnation:
		return i.answer(fleet.CallRunning, "")
	default:
		return i.answer(fleet.CallUnknown, "")
	}
}

// adoptRecord takes over the record of an earlier run in place of the fresh one.
func (i *Invoker) adoptRecord(id deduplicator.ID, call fleet.Call, earlier deduplicator.Record) fleet.CallAnswer {
	i.mu.Lock()
	i.records.Forget(id, i.incarnation)
	existing, _, _ := i.records.Put(id, earlier, i.now())
	i.mu.Unlock()
	return i.answerFromRecord(existing, call, deduplicator.Record{RunnerIncarnation: i.incarnation})
}

// mirrorNewRecord puts the record into the mirrors at once and returns how many took it, or the record of an
// earlier run that one of them holds.
func (i *Invoker) mirrorNewRecord(ctx context.Context, call fleet.Call) (acks int, earlier *deduplicator.Record) {
	for _, existing := range i.broadcast(ctx, call, phaseBegin, "") {
		switch {
		case existing == nil || existing.Phase == phaseDrop:
		case existing.Runner == "":
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

// broadcast sends a mirror message to every mirror at once; an entry is nil where none answered.
func (i *Invoker) broadcast(ctx context.Context, call fleet.Call, phase, result string) []*fleet.Mirror {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), mirrorTimeout)
	defer cancel()
	message := fleet.Mirror{
		Account: call.Account, Key: call.Key, Digest: call.Digest, Phase: phase, Result: result, Runner: i.incarnation,
	}
	answers := make([]*fleet.Mirror, len(call.Mirrors))
	var wg sync.WaitGroup
	for n, address := range call.Mirrors {
		wg.Go(func() {
			if existing, err := i.sendMirror(ctx, address, message); err == nil {
				answers[n] = &existing
			}
		})
	}
	wg.Wait()
	return answers
}

// recordOutcome records how the run ended, here and in the mirrors.
func (i *Invoker) recordOutcome(
	ctx context.Context, id deduplicator.ID, record deduplicator.Record, call fleet.Call, a fleet.CallAnswer,
) {
	switch a.Outcome {
	case fleet.CallDone:
		i.mu.Lock()
		i.records.Finish(id, record, a.Result, i.now())
		i.mu.Unlock()
		i.broadcast(ctx, call, phaseDone, a.Result)
	case fleet.CallNotRun:
		i.dropRecord(ctx, id, call)
	default:
		i.mu.Lock()
		i.records.Forget(id, i.incarnation)
		record.RunnerIncarnation = i.incarnation + "/ended"
		_, _, _ = i.records.Put(id, record, i.now())
		i.mu.Unlock()
	}
}

// dropRecord forgets a call that certainly did not run, here and in the mirrors.
func (i *Invoker) dropRecord(ctx context.Context, id deduplicator.ID, call fleet.Call) {
	i.mu.Lock()
	i.records.Forget(id, i.incarnation)
	i.mu.Unlock()
	i.broadcast(ctx, call, phaseDrop, "")
}

// run calls the service once. Only a connection that could not be opened proves that nothing ran.
func (i *Invoker) run(ctx context.Context, call fleet.Call) fleet.CallAnswer {
	method := http.MethodPost
	if call.Read {
		method = http.MethodGet
	} else {
		ctx = context.WithoutCancel(ctx)
	}
	target := i.serviceURL + "/calls/" + url.PathEscape(call.Name)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(call.Body))
	if err != nil {
		return i.answer(fleet.CallNotRun, "")
	}
	req.GetBody = nil // A request without GetBody is never sent twice by net/http.
	req.Header.Set("X-Account", call.Account)
	resp, err := i.http.Do(req)
	if err != nil {
		return i.answer(outcomeOf(err), "")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || resp.StatusCode/100 != 2 {
		return i.answer(fleet.CallUnknown, "")
	}
	return i.answer(fleet.CallDone, string(body))
}

func (i *Invoker) answer(o fleet.CallOutcome, result string) fleet.CallAnswer {
	return fleet.CallAnswer{Outcome: o, Result: result, Load: fleet.LoadFrom(endpoint.Load{UsedSlots: i.ActiveCalls()})}
}

func (i *Invoker) now() time.Duration {
	return time.Since(i.start)
}

// outcomeOf tells a connection that was never opened from one that broke later.
func outcomeOf(err error) fleet.CallOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fleet.CallNotRun
	}
	return fleet.CallUnknown
}

func toMirror(m fleet.Mirror, r deduplicator.Record) fleet.Mirror {
	phase := phaseBegin
	if r.Phase == deduplicator.Done {
		phase = phaseDone
	}
	return fleet.Mirror{
		Account: m.Account, Key: m.Key, Digest: r.BodyDigest, Phase: phase, Result: r.Result, Runner: r.RunnerIncarnation,
	}
}

func fromMirror(m fleet.Mirror) deduplicator.Record {
	r := deduplicator.Record{BodyDigest: m.Digest, Phase: deduplicator.Running, RunnerIncarnation: m.Runner}
	if m.Phase == phaseDone {
		return r.WithResult(m.Result)
	}
	return r
}
