// Package executor runs the work of gateways on the model engine beside an agent: it reserves decode slots and KV
// memory, runs prefills and decodes, and cancels all work of a gateway whose connection has ended.
package executor

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
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
	// expireInterval is the time between two checks for expired reservations.
	expireInterval = 100 * time.Millisecond
	// maxPrefills is the largest number of prefills that wait or run at the engine.
	maxPrefills = 256
	// noIndex is the index of a line without one.
	noIndex = -1
	// maxLineBytes is the longest line of a decode stream in bytes.
	maxLineBytes = 64 << 10
	// maxBatchTokens is the largest number of tokens in one message to a gateway.
	maxBatchTokens = 256
	// maxAnswerBytes is the largest answer of the engine to another call than a decode.
	maxAnswerBytes = 64 << 10
)

// Options describe the engine beside the agent.
type Options struct {
	// EngineURL is the base URL of the engine.
	EngineURL string
	// DecodeSlots is how many requests the engine decodes at the same time.
	DecodeSlots int
	// MemoryPieces is the engine's KV memory, in pieces of dispatcher.Options.TokensPerPiece tokens.
	MemoryPieces int
	// ReservationTimeout is how long a reservation is kept if its decode does not start.
	ReservationTimeout time.Duration
	// CheckFencingTokens makes the agent reject orders with an old fencing token, for an engine that ignores the
	// tokens.
	CheckFencingTokens bool
}

// Executor runs the work of gateways on one engine. It is safe for concurrent use.
type Executor struct {
	options    Options
	httpClient *http.Client
	// createdAt is when the executor was created; the times of reservations count from it.
	createdAt time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	reserver *reserver.Reserver
	fencer   *fencer.Fencer
	// running holds the function that cancels the work of an attempt, by attempt.
	running map[reserver.Key]context.CancelFunc
	// backlogTokens is the sum of the prompts of all prefills that wait or run; prefills is their number.
	backlogTokens int
	prefills      int
	draining      bool
}

// New returns an executor for the engine that o describes.
func New(o Options, client *http.Client) *Executor {
	return &Executor{
		options: o, httpClient: client, createdAt: time.Now(),
		reserver: reserver.New(o.DecodeSlots, o.MemoryPieces, o.ReservationTimeout),
		fencer:   fencer.New(),
		running:  make(map[reserver.Key]context.CancelFunc),
	}
}

// Serve periodically removes expired reservations until the context ends.
func (e *Executor) Serve(ctx context.Context) error {
	return supervision.Every(ctx, expireInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reserver.Expire(e.now())
	})
}

// Reserve reserves a decode slot and KV memory for an attempt of the gateway p. The outcome is OutcomeNoCapacity if no
// slot or too little memory is free, the executor is draining or the gateway has disconnected.
func (e *Executor) Reserve(p *fleet.Peer, r fleet.ReserveRequest) fleet.StageResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	outcome := fleet.OutcomeOK
	if p.Disconnected() || !e.reserver.Reserve(reservationKey(p, r.Attempt), r.Pieces, e.now()) {
		outcome = fleet.OutcomeNoCapacity
	}
	return fleet.StageResponse{Outcome: outcome, Load: e.load()}
}

// Release frees the reservations of an attempt of the gateway p and of all earlier attempts of its request, and cancels
// their work.
func (e *Executor) Release(p *fleet.Peer, a fleet.Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k := a.Attempt; k >= 0; k-- {
		e.cancelAttempt(reservationKey(p, fleet.Attempt{RequestID: a.RequestID, Attempt: k}))
	}
}

// CancelPeerWork cancels all work of a gateway whose connection has ended and frees its reservations.
func (e *Executor) CancelPeerWork(p *fleet.Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reserver.ReleaseOwner(p.ConnectionID())
	for k, cancel := range e.running {
		if k.Owner == p.ConnectionID() {
			cancel()
		}
	}
}

// Drain makes the executor refuse new reservations and prefills. Reserved decodes can still start.
func (e *Executor) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.reserver.Drain()
}

// ActiveAttempts returns the larger of two counts: the reserved slots, and the prefills and decodes that are running.
// It is zero only when there is neither.
func (e *Executor) ActiveAttempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.reserver.Load().UsedSlots, len(e.running))
}

// Load returns the present load of the engine.
func (e *Executor) Load() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load().Decode()
}

// Prefill runs the prompt of an attempt and returns the location of its KV cache. The outcome is
// OutcomeEndpointUnreachable if the prefill was not started because the executor is draining, maxPrefills is reached or
// the gateway has disconnected.
func (e *Executor) Prefill(ctx context.Context, p *fleet.Peer, r fleet.StageRequest) fleet.StageResponse {
	ctx, done, ok := e.begin(ctx, p, r, false)
	if !ok {
		return e.newResponse(fleet.OutcomeEndpointUnreachable)
	}
	defer done()
	id := engineRequestID(p, r.Attempt)
	var result engine.PrefillResponse
	err := e.postJSON(ctx, "/v1/prefill", engine.PrefillRequest{
		ID: id, Prompt: r.Prompt, PromptTokens: r.PromptTokens, PrefixDigest: r.PrefixDigest, Priority: r.Priority,
	}, &result)
	if err != nil {
		return e.newResponse(outcomeOf(ctx, err))
	}
	response := e.newResponse(fleet.OutcomeOK)
	response.KVSource, response.KVHandle = e.options.EngineURL, result.KVHandle
	return response
}

// Decode generates the output of an attempt, sends the tokens to the gateway p, and returns when the stream has ended.
// The outcome is OutcomeAttemptLost if the attempt has no reservation or the gateway has disconnected.
func (e *Executor) Decode(ctx context.Context, p *fleet.Peer, r fleet.StageRequest) fleet.StageResponse {
	ctx, done, ok := e.begin(ctx, p, r, true)
	if !ok {
		return e.newResponse(fleet.OutcomeAttemptLost)
	}
	err := e.streamTokens(ctx, p, r)
	outcome := fleet.OutcomeOK
	if err != nil {
		outcome = outcomeOf(ctx, err)
	}
	done()
	return e.newResponse(outcome)
}

// ForwardOrder forwards a command to the engine. The outcome is OutcomeAttemptLost if the engine refuses the order, or
// if CheckFencingTokens is set and an earlier order of the same kind had a higher fencing token.
func (e *Executor) ForwardOrder(ctx context.Context, o fleet.Order) fleet.StageResponse {
	e.mu.Lock()
	admitted := !e.options.CheckFencingTokens || e.fencer.Admit(o.Kind, o.FencingToken)
	e.mu.Unlock()
	if !admitted {
		return e.newResponse(fleet.OutcomeAttemptLost)
	}
	if err := e.postJSON(ctx, "/v1/orders", engine.OrderRequest(o), nil); err != nil {
		return e.newResponse(outcomeOf(ctx, err))
	}
	return e.newResponse(fleet.OutcomeOK)
}

// now returns the time since the executor was created, on the monotonic clock.
func (e *Executor) now() time.Duration {
	return time.Since(e.createdAt)
}

// load returns the present load as it is sent to gateways. e.mu is locked.
func (e *Executor) load() fleet.Load {
	l := fleet.EncodeLoad(e.reserver.Load())
	l.BacklogTokens = e.backlogTokens
	return l
}

// newResponse returns a response with the outcome and the present load. It locks e.mu.
func (e *Executor) newResponse(o fleet.Outcome) fleet.StageResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fleet.StageResponse{Outcome: o, Load: e.load()}
}

// begin registers a prefill or a decode as running. It returns the context for the work, and a function that frees the
// reservation or the place in the backlog and must be called when the work has ended. It returns false if the work must
// not start.
func (e *Executor) begin(
	ctx context.Context, p *fleet.Peer, r fleet.StageRequest, decode bool,
) (context.Context, func(), bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Disconnected() {
		return nil, nil, false
	}
	k := reservationKey(p, r.Attempt)
	if decode && !e.reserver.Start(k, e.now()) {
		return nil, nil, false
	}
	if !decode && (e.draining || e.prefills >= maxPrefills) {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	e.running[k] = cancel
	if !decode {
		e.backlogTokens += r.PromptTokens
		e.prefills++
	}
	return ctx, func() { e.end(k, r, decode, cancel) }, true
}

// end removes a prefill or decode from the running work and frees its reservation or its place in the backlog.
func (e *Executor) end(k reserver.Key, r fleet.StageRequest, decode bool, cancel context.CancelFunc) {
	cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, k)
	if decode {
		e.reserver.Release(k)
		return
	}
	e.backlogTokens -= r.PromptTokens
	e.prefills--
}

// cancelAttempt cancels the work of an attempt, if it runs, and frees its reservation. e.mu is locked.
func (e *Executor) cancelAttempt(k reserver.Key) {
	if cancel, ok := e.running[k]; ok {
		cancel()
	}
	e.reserver.Release(k)
}

// streamTokens runs a decode and sends its tokens to the gateway p without delay. Tokens that are received from the
// engine at once are sent in one message. It fails when the engine refuses the decode, or when the stream or the
// connection to the gateway ends early, and on more tokens than were asked for.
func (e *Executor) streamTokens(ctx context.Context, p *fleet.Peer, r fleet.StageRequest) error {
	body, err := json.Marshal(engine.DecodeRequest{
		ID: engineRequestID(p, r.Attempt), Prompt: r.Prompt, PromptTokens: r.PromptTokens, SentTokens: r.SentTokens,
		MaxOutputTokens: r.MaxOutputTokens, KVSource: r.KVSource, KVHandle: r.KVHandle,
	})
	if err != nil {
		return errors.Wrap(err, "encode engine request")
	}
	resp, err := e.send(ctx, "/v1/decode", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReaderSize(resp.Body, maxLineBytes)
	batch := fleet.TokenBatch{Attempt: r.Attempt, FirstIndex: r.SentTokens}
	for end := false; !end; {
		if end, err = readChunk(reader, &batch); err != nil {
			return err
		}
		if batch.FirstIndex+len(batch.Texts) > r.MaxOutputTokens {
			return errors.Errorf("decode stream has more than the %d tokens that were asked for", r.MaxOutputTokens)
		}
		if len(batch.Texts) == 0 || (!end && reader.Buffered() > 0 && len(batch.Texts) < maxBatchTokens) {
			continue
		}
		if err := p.Notify(ctx, fleet.MethodTokens, batch); err != nil {
			return GatewayError{Cause: err}
		}
		batch.FirstIndex += len(batch.Texts)
		batch.Texts = nil
	}
	return nil
}

// readChunk reads the next line of a decode stream and adds its token to the batch. end is set at the regular end of
// the stream. It fails when the stream ends early, on a line that can't be decoded, and on one that does not go on behind
// the token before it, such as the text of an error.
func readChunk(reader *bufio.Reader, batch *fleet.TokenBatch) (end bool, err error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return false, errors.Wrap(err, "read decode stream")
	}
	next := batch.FirstIndex + len(batch.Texts)
	chunk := engine.Chunk{Index: noIndex}
	if err := json.Unmarshal(line, &chunk); err != nil {
		return false, errors.Wrap(err, "parse line of decode stream")
	}
	if chunk.End {
		return true, nil
	}
	if chunk.Index != next {
		return false, errors.Errorf("line of decode stream has index %d, want %d", chunk.Index, next)
	}
	batch.Texts = append(batch.Texts, chunk.Text)
	return false, nil
}

// postJSON sends a body as JSON to a path of the engine and decodes the body of the response into result, unless that
// is nil. It fails like send, and on a response that can't be decoded.
func (e *Executor) postJSON(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode engine request")
	}
	resp, err := e.send(ctx, path, data)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if result == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(result), "parse engine response")
}

// send posts a body to a path of the engine. It fails with a StatusError on any status other than 2xx; otherwise the
// caller must close the body of the response.
func (e *Executor) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.options.EngineURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	// Answers have no ID. On a kept connection a late copy of an earlier one would be taken for this one's.
	req.Close = true
	resp, err := e.httpClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	if resp.StatusCode/100 != 2 {
		_ = resp.Body.Close()
		return nil, errors.WithStack(StatusError{Status: resp.StatusCode})
	}
	return resp, nil
}

// reservationKey identifies an attempt of the gateway p among the attempts of all gateways.
func reservationKey(p *fleet.Peer, a fleet.Attempt) reserver.Key {
	return reserver.Key{Owner: p.ConnectionID(), Request: a.RequestID, Attempt: a.Attempt}
}
