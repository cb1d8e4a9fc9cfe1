// Package caller runs the calls of a plain service, each non-idempotent one at most once.
package caller

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
	quorum    = 2
	maxAnswer = 1 << 20
)

// The phases of a mirror message.
const (
	phaseBegin = "begin"
	phaseDone  = "done"
	phaseDrop  = "drop"
)

// Mirror sends a record to another agent and returns the record that it held before, if any.
type Mirror func(ctx context.Context, address string, m fleet.Mirror) (fleet.Mirror, error)

// Caller runs calls on the service beside it.
type Caller struct {
	service     string
	incarnation string
	http        *http.Client
	mirror      Mirror
	start       time.Time
	// young is how long after its start a caller without mirrors can't vouch for a key.
	young time.Duration
	busy  atomic.Int64

	mu       sync.Mutex
	memory   *deduplicator.Deduplicator
	draining bool
}

// New returns a caller of the service at the base URL.
func New(service, incarnation string, memory *deduplicator.Deduplicator, young time.Duration, client *http.Client, m Mirror) *Caller {
	return &Caller{service: service, incarnation: incarnation, http: client, mirror: m, start: time.Now(), young: young, memory: memory}
}

// Drain refuses new calls from now on.
func (c *Caller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Busy returns how many calls run.
func (c *Caller) Busy() int {
	return int(c.busy.Load())
}

// Call runs a call and tells truthfully whether it ran.
func (c *Caller) Call(ctx context.Context, call fleet.Call) fleet.CallAnswer {
	c.busy.Add(1)
	defer c.busy.Add(-1)
	c.mu.Lock()
	draining := c.draining
	c.mu.Unlock()
	if draining {
		return c.answer(fleet.CallNotRun, "")
	}
	if call.Read || call.Key == "" {
		return c.run(ctx, call)
	}
	return c.once(ctx, call)
}

// Remember serves the mirror messages of other agents: it returns the record held before.
func (c *Caller) Remember(m fleet.Mirror) fleet.Mirror {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := deduplicator.ID{Account: m.Account, Key: m.Key}
	record := deduplicator.Record{Digest: m.Digest, Phase: deduplicator.Running, Runner: m.Runner}
	switch m.Phase {
	case phaseDone:
		c.memory.Finish(id, record, m.Result, c.now())
	case phaseDrop:
		c.memory.Drop(id, m.Runner)
	default:
		held, found, ok := c.memory.Put(id, record, c.now())
		if !ok {
			return fleet.Mirror{Phase: phaseDrop}
		}
		if found && held.Runner != m.Runner {
			return wireRecord(m, held)
		}
	}
	return fleet.Mirror{}
}

// once runs a call with an idempotency key after two of its three memories hold a fresh record.
func (c *Caller) once(ctx context.Context, call fleet.Call) fleet.CallAnswer {
	id := deduplicator.ID{Account: call.Account, Key: call.Key}
	record := deduplicator.Record{Digest: call.Digest, Phase: deduplicator.Running, Runner: c.incarnation}
	c.mu.Lock()
	held, found, ok := c.memory.Put(id, record, c.now())
	c.mu.Unlock()
	if !ok {
		return c.answer(fleet.CallNotRun, "")
	}
	if found {
		return c.recall(held, call, record)
	}
	if len(call.Mirrors) == 0 && c.now() < c.young {
		c.drop(ctx, id, call)
		return c.answer(fleet.CallUnknown, "")
	}
	acks, earlier := c.begin(ctx, call)
	if earlier != nil {
		return c.adopt(id, call, *earlier)
	}
	if len(call.Mirrors) > 0 && acks+1 < quorum {
		c.drop(ctx, id, call)
		return c.answer(fleet.CallNotRun, "")
	}
	answer := c.run(ctx, call)
	c.settle(ctx, id, record, call, answer)
	return answer
}

// recall answers from a record that this agent holds.
func (c *Caller) recall(held deduplicator.Record, call fleet.Call, own deduplicator.Record) fleet.CallAnswer {
	switch {
	case held.Digest != call.Digest:
		return c.answer(fleet.CallConflict, "")
	case held.Phase == deduplicator.Done:
		a := c.answer(fleet.CallDone, held.Result)
		a.Replayed = true
		return a
	case held.Runner == own.Runner:
		return c.answer(fleet.CallRunning, "")
	default:
		return c.answer(fleet.CallUnknown, "")
	}
}

// adopt takes over the record of an earlier run in place of the fresh one.
func (c *Caller) adopt(id deduplicator.ID, call fleet.Call, earlier deduplicator.Record) fleet.CallAnswer {
	c.mu.Lock()
	c.memory.Drop(id, c.incarnation)
	held, _, _ := c.memory.Put(id, earlier, c.now())
	c.mu.Unlock()
	return c.recall(held, call, deduplicator.Record{Runner: c.incarnation})
}

// begin puts the record into the mirrors at once and returns how many took it, or the record of an
// earlier run that one of them holds.
func (c *Caller) begin(ctx context.Context, call fleet.Call) (acks int, earlier *deduplicator.Record) {
	for _, held := range c.tell(ctx, call, phaseBegin, "") {
		switch {
		case held == nil || held.Phase == phaseDrop:
		case held.Runner == "":
			acks++
		default:
			r := localRecord(*held)
			if earlier == nil || r.Phase == deduplicator.Done {
				earlier = &r
			}
		}
	}
	return acks, earlier
}

// tell sends a mirror message to every mirror at once; an entry is nil where none answered.
func (c *Caller) tell(ctx context.Context, call fleet.Call, phase, result string) []*fleet.Mirror {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), mirrorTimeout)
	defer cancel()
	message := fleet.Mirror{Account: call.Account, Key: call.Key, Digest: call.Digest, Phase: phase, Result: result, Runner: c.incarnation}
	answers := make([]*fleet.Mirror, len(call.Mirrors))
	var wg sync.WaitGroup
	for i, address := range call.Mirrors {
		wg.Go(func() {
			if held, err := c.mirror(ctx, address, message); err == nil {
				answers[i] = &held
			}
		})
	}
	wg.Wait()
	return answers
}

// settle records how the run ended, here and in the mirrors.
func (c *Caller) settle(ctx context.Context, id deduplicator.ID, record deduplicator.Record, call fleet.Call, a fleet.CallAnswer) {
	switch a.Outcome {
	case fleet.CallDone:
		c.mu.Lock()
		c.memory.Finish(id, record, a.Result, c.now())
		c.mu.Unlock()
		c.tell(ctx, call, phaseDone, a.Result)
	case fleet.CallNotRun:
		c.drop(ctx, id, call)
	default:
		c.mu.Lock()
		c.memory.Drop(id, c.incarnation)
		record.Runner = c.incarnation + "/ended"
		_, _, _ = c.memory.Put(id, record, c.now())
		c.mu.Unlock()
	}
}

// drop forgets a call that certainly did not run, here and in the mirrors.
func (c *Caller) drop(ctx context.Context, id deduplicator.ID, call fleet.Call) {
	c.mu.Lock()
	c.memory.Drop(id, c.incarnation)
	c.mu.Unlock()
	c.tell(ctx, call, phaseDrop, "")
}

// run calls the service once. Only a connection that could not be opened proves that nothing ran.
func (c *Caller) run(ctx context.Context, call fleet.Call) fleet.CallAnswer {
	method := http.MethodPost
	if call.Read {
		method = http.MethodGet
	} else {
		ctx = context.WithoutCancel(ctx)
	}
	target := c.service + "/calls/" + url.PathEscape(call.Name)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(call.Body))
	if err != nil {
		return c.answer(fleet.CallNotRun, "")
	}
	req.GetBody = nil // A request without GetBody is never sent twice by net/http.
	req.Header.Set("X-Account", call.Account)
	resp, err := c.http.Do(req)
	if err != nil {
		return c.answer(failure(err), "")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil || resp.StatusCode/100 != 2 {
		return c.answer(fleet.CallUnknown, "")
	}
	return c.answer(fleet.CallDone, string(body))
}

func (c *Caller) answer(o fleet.CallOutcome, result string) fleet.CallAnswer {
	return fleet.CallAnswer{Outcome: o, Result: result, Load: fleet.LoadFrom(endpoint.Load{Held: c.Busy()})}
}

func (c *Caller) now() time.Duration {
	return time.Since(c.start)
}

// failure tells a connection that was never opened from one that broke later.
func failure(err error) fleet.CallOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fleet.CallNotRun
	}
	return fleet.CallUnknown
}

func wireRecord(m fleet.Mirror, r deduplicator.Record) fleet.Mirror {
	phase := phaseBegin
	if r.Phase == deduplicator.Done {
		phase = phaseDone
	}
	return fleet.Mirror{Account: m.Account, Key: m.Key, Digest: r.Digest, Phase: phase, Result: r.Result, Runner: r.Runner}
}

func localRecord(m fleet.Mirror) deduplicator.Record {
	r := deduplicator.Record{Digest: m.Digest, Phase: deduplicator.Running, Runner: m.Runner}
	if m.Phase == phaseDone {
		return r.WithResult(m.Result)
	}
	return r
}
