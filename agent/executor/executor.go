// Package executor is the last door before a model engine: it reserves slots, runs prefill and
// decode, and cancels all work of a gateway incarnation that has gone.
package executor

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/fencer"
	"github.com/pistachiovane/pistachiovane/pkg/reserver"
	"github.com/pistachiovane/pistachiovane/service/engine"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

const (
	// expireInterval is how often reservations are checked.
	expireInterval = 100 * time.Millisecond
	// maxPrefills bounds the prefills that wait at one engine.
	maxPrefills = 256
	// maxLineBytes bounds one line of a stream in bytes.
	maxLineBytes = 64 << 10
)

// Options describe the engine beside the agent.
type Options struct {
	// EngineURL is the base URL of the engine.
	EngineURL    string
	DecodeSlots  int
	MemoryPieces int
	// ReservationTimeout is how long a reservation is held before it is started.
	ReservationTimeout time.Duration
	// CheckFencingTokens makes the agent compare the fencing numbers of orders, for an engine that ignores them.
	CheckFencingTokens bool
}

// Executor runs the work of gateways on one engine.
type Executor struct {
	options Options
	http    *http.Client
	start   time.Time

	mu       sync.Mutex
	reserver *reserver.Reserver
	fencer   *fencer.Fencer
	// running maps an attempt to the cancel function of its work.
	running       map[reserver.Key]context.CancelFunc
	backlogTokens int
	prefills      int
	draining      bool
}

// New returns an executor for the engine in o.
func New(o Options, client *http.Client) *Executor {
	return &Executor{
		options: o, http: client, start: time.Now(),
		reserver: reserver.New(o.DecodeSlots, o.MemoryPieces, o.ReservationTimeout),
		fencer:   fencer.New(),
		running:  make(map[reserver.Key]context.CancelFunc),
	}
}

// Serve expires reservations until the context ends.
func (e *Executor) Serve(ctx context.Context) error {
	return supervision.Every(ctx, expireInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reserver.Expire(e.now())
	})
}

// Reserve holds a decode slot for the peer.
func (e *Executor) Reserve(p *fleet.Peer, r fleet.Reservation) fleet.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	outcome := fleet.OutcomeOK
	if p.Gone() || !e.reserver.Reserve(reservationKey(p, r.Attempt), r.Pieces, e.now()) {
		outcome = fleet.OutcomeFull
	}
	return fleet.Answer{Outcome: outcome, Load: e.load()}
}

// Release frees what an attempt holds and cancels its work.
func (e *Executor) Release(p *fleet.Peer, a fleet.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k := a.Attempt; k >= 0; k-- {
		e.cancelAttempt(reservationKey(p, fleet.Attempt{Request: a.Request, Attempt: k}))
	}
}

// CancelPeerWork cancels all work of a gateway whose connection has ended.
func (e *Executor) CancelPeerWork(p *fleet.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserver.ReleaseOwner(p.Owner())
	for k, cancel := range e.running {
		if k.Owner == p.Owner() {
			cancel()
		}
	}
}

// Drain refuses new work from now on.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.reserver.Drain()
}

// ActiveAttempts returns how many attempts hold or run something.
func (e *Executor) ActiveAttempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.reserver.Load().UsedSlots, len(e.running))
}

// Load returns the present load.
func (e *Executor) Load() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load().Endpoint()
}

// Prefill runs a prompt and answers where its KV cache waits.
func (e *Executor) Prefill(ctx context.Context, p *fleet.Peer, w fleet.Work) fleet.Answer {
	ctx, done, ok := e.begin(ctx, p, w, false)
	if !ok {
		return e.answer(fleet.OutcomeUnreachable)
	}
	defer done()
	id := engineRequestID(p, w.Attempt)
	var result engine.PrefillAnswer
	err := e.postJSON(ctx, "/v1/prefill", engine.PrefillRequest{
		ID: id, Prompt: w.Prompt, Tokens: w.Tokens, Prefix: w.Prefix, Priority: w.Priority,
	}, &result)
	if err != nil {
		return e.answer(outcomeOf(ctx, err))
	}
	a := e.answer(fleet.OutcomeOK)
	a.Source, a.Handle = e.options.EngineURL, result.Handle
	return a
}

// Decode streams the answer to the peer and returns when it has ended.
func (e *Executor) Decode(ctx context.Context, p *fleet.Peer, w fleet.Work) fleet.Answer {
	ctx, done, ok := e.begin(ctx, p, w, true)
	if !ok {
		return e.answer(fleet.OutcomeLost)
	}
	err := e.streamTokens(ctx, p, w)
	outcome := fleet.OutcomeOK
	if err != nil {
		outcome = outcomeOf(ctx, err)
	}
	done()
	return e.answer(outcome)
}

// ForwardOrder passes an order on to the engine unless its fencing number is old.
func (e *Executor) ForwardOrder(ctx context.Context, o fleet.Order) fleet.Answer {
	e.mu.Lock()
	admitted := !e.options.CheckFencingTokens || e.fencer.Admit(o.Kind, o.Fence)
	e.mu.Unlock()
	if !admitted {
		return e.answer(fleet.OutcomeLost)
	}
	if err := e.postJSON(ctx, "/v1/orders", engine.OrderRequest(o), nil); err != nil {
		return e.answer(outcomeOf(ctx, err))
	}
	return e.answer(fleet.OutcomeOK)
}

func (e *Executor) now() time.Duration {
	return time.Since(e.start)
}

func (e *Executor) load() fleet.Load {
	l := fleet.LoadFrom(e.reserver.Load())
	l.Backlog = e.backlogTokens
	return l
}

func (e *Executor) answer(o fleet.Outcome) fleet.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fleet.Answer{Outcome: o, Load: e.load()}
}

// begin registers work; the returned function ends it and frees what it holds.
func (e *Executor) begin(
	ctx context.Context, p *fleet.Peer, w fleet.Work, decode bool,
) (context.Context, func(), bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Gone() {
		return nil, nil, false
	}
	k := reservationKey(p, w.Attempt)
	if decode && !e.reserver.Start(k, e.now()) {
		return nil, nil, false
	}
	if !decode && (e.draining || e.prefills >= maxPrefills) {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	e.running[k] = cancel
	if !decode {
		e.backlogTokens += w.Tokens
		e.prefills++
	}
	return ctx, func() { e.end(k, w, decode, cancel) }, true
}

func (e *Executor) end(k reserver.Key, w fleet.Work, decode bool, cancel context.CancelFunc) {
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, k)
	if decode {
		e.reserver.Release(k)
		return
	}
	e.backlogTokens -= w.Tokens
	e.prefills--
}

func (e *Executor) cancelAttempt(k reserver.Key) {
	if cancel, ok := e.running[k]; ok {
		cancel()
	}
	e.reserver.Release(k)
}

// streamTokens passes tokens on as they come; tokens that arrived together go in one message.
func (e *Executor) streamTokens(ctx context.Context, p *fleet.Peer, w fleet.Work) error {
	body, err := json.Marshal(engine.DecodeRequest{
		ID: engineRequestID(p, w.Attempt), Prompt: w.Prompt, Tokens: w.Tokens, Sent: w.Sent, Max: w.Max, Source: w.Source,
		Handle: w.Handle,
	})
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	resp, err := e.send(ctx, "/v1/decode", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReaderSize(resp.Body, maxLineBytes)
	batch := fleet.Tokens{Attempt: w.Attempt}
	for end := false; !end; {
		if end, err = readChunk(reader, &batch); err != nil {
			return err
		}
		if len(batch.Texts) == 0 || (!end && reader.Buffered() > 0) {
			continue
		}
		if err := p.Notify(ctx, fleet.MethodTokens, batch); err != nil {
			return err
		}
		batch.Texts = nil
	}
	return nil
}

// readChunk adds the next token of a stream to the batch; end is set at the end of the stream.
func readChunk(reader *bufio.Reader, batch *fleet.Tokens) (end bool, err error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return false, errors.Wrap(err, "read stream")
	}
	var chunk engine.Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return false, errors.Wrap(err, "decode chunk")
	}
	if chunk.End {
		return true, nil
	}
	if len(batch.Texts) == 0 {
		batch.Index = chunk.Index
	}
	batch.Texts = append(batch.Texts, chunk.Text)
	return false, nil
}

func (e *Executor) postJSON(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	resp, err := e.send(ctx, path, data)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if result == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(result), "decode answer")
}

// StatusError is an engine's refusal.
type StatusError struct {
	Status int
}

// Error returns the status.
func (s StatusError) Error() string {
	return http.StatusText(s.Status)
}

func (e *Executor) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.options.EngineURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	if resp.StatusCode/100 != 2 {
		_ = resp.Body.Close()
		return nil, errors.WithStack(StatusError{Status: resp.StatusCode})
	}
	return resp, nil
}

// outcomeOf tells a refusal, a cancellation and a crash apart: a connection that ends without an
// answer while the work was wanted is taken for a crash of the engine.
func outcomeOf(ctx context.Context, err error) fleet.Outcome {
	var status StatusError
	if errors.As(err, &status) || ctx.Err() != nil {
		return fleet.OutcomeLost
	}
	return fleet.OutcomeCrashed
}

func reservationKey(p *fleet.Peer, a fleet.Attempt) reserver.Key {
	return reserver.Key{Owner: p.Owner(), Request: a.Request, Attempt: a.Attempt}
}
