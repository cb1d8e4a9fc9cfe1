// Package engine is a stand-in for a model engine: an HTTP server over the engine state in standin/model. Its answers
// are derived from the prompt, so that a test can compute the answer that it expects.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	wire "github.com/pistachiovane/pistachiovane/service/engine"
	"github.com/pistachiovane/pistachiovane/standin/model"
)

// CrashMarker in a prompt crashes every engine that starts to decode it.
const CrashMarker = "<<crash>>"

const (
	// idleInterval is how long the loop of Serve sleeps when the engine is idle, unless a request wakes it.
	idleInterval = time.Hour
	// restartDelay is how long a crashed engine is down, in real time.
	restartDelay = 300 * time.Millisecond
)

// Engine is a stand-in engine. Its Handler answers requests while Serve runs. It is safe for concurrent use.
type Engine struct {
	settings model.Settings
	// speedFactor divides all times of the model; 1 is real time.
	speedFactor float64
	// checksFencing makes the engine refuse an order whose fencing token is lower than the highest one so far.
	checksFencing bool
	client        *http.Client
	startedAt     time.Time

	// mu protects the fields below.
	mu    sync.Mutex
	model *model.Engine
	// eventChannels maps the id of a request to the channel of the handler that waits for its events.
	eventChannels map[string]chan model.Event
	// wakeSignal makes the loop of Serve advance the model at once.
	wakeSignal          chan struct{}
	highestFencingToken uint64
	orders              []wire.OrderRequest
	// downUntil is the model time at which a crashed engine accepts requests again.
	downUntil time.Duration
	// crashSignal is closed and replaced by each crash.
	crashSignal chan struct{}
}

// New returns an idle engine. A speedFactor above 1 makes it faster than real time, and checksFencing makes it check
// the fencing tokens of orders. It imports KV caches from other engines with the client.
func New(s model.Settings, speedFactor float64, checksFencing bool, client *http.Client) *Engine {
	return &Engine{
		settings: s, speedFactor: speedFactor, checksFencing: checksFencing, client: client, startedAt: time.Now(),
		model: model.New(s), eventChannels: make(map[string]chan model.Event),
		wakeSignal: make(chan struct{}, 1), crashSignal: make(chan struct{}),
	}
}

// AnswerTokenCount returns the length of the answer to a prompt in tokens. It depends on the prompt and lies between
// half of maxTokens and maxTokens, which must be positive.
func AnswerTokenCount(prompt string, maxTokens int) int {
	minTokens := max(1, maxTokens/2)
	return minTokens + int(xxhash.Sum64String(prompt)%uint64(maxTokens-minTokens+1))
}

// TokenText returns the text of token i of the answer to a prompt.
func TokenText(prompt string, i int) string {
	return fmt.Sprintf("%04x.%d ", xxhash.Sum64String(prompt)&0xffff, i)
}

// Answer returns the complete answer to a prompt, to be compared with what a caller received.
func Answer(prompt string, maxTokens int) string {
	var b strings.Builder
	for i := range AnswerTokenCount(prompt, maxTokens) {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Handler returns the handler of the engine's HTTP interface. POST /v1/crash makes the engine crash.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/prefill", e.servePrefill)
	mux.HandleFunc("POST /v1/decode", e.serveDecode)
	mux.HandleFunc("POST /v1/kv/{handle}", e.serveExport)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Serve advances the model until the context ends, and returns the error of the context.
func (e *Engine) Serve(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		timer.Reset(e.advance())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.wakeSignal:
		}
	}
}

// Load returns the current load, as GET /v1/load does.
func (e *Engine) Load() wire.LoadResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.LoadResponse{
		ActiveStreams: e.model.ActiveStreams(), BacklogTokens: e.model.BacklogTokens(), FreePieces: e.model.FreePieces(),
		StoredKVCaches: e.model.StoredKVCaches(), PrefilledTokens: e.model.PrefilledTokens(),
	}
}

// Crash drops all requests and caches, breaks the connections of active prefills and streams, and refuses new ones for
// restartDelay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Reset()
	e.downUntil = e.now() + time.Duration(float64(restartDelay)*e.speedFactor)
	close(e.crashSignal)
	e.crashSignal = make(chan struct{})
}

// Orders returns a copy of the orders accepted so far, oldest first.
func (e *Engine) Orders() []wire.OrderRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.OrderRequest(nil), e.orders...)
}

// now returns the model time.
func (e *Engine) now() time.Duration {
	return time.Duration(float64(time.Since(e.startedAt)) * e.speedFactor)
}

// advance runs the model up to now, sends its events to the waiting handlers and returns the real time until the next
// event.
func (e *Engine) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, event := range e.model.Advance(now) {
		if events, ok := e.eventChannels[event.RequestID]; ok {
			events <- event
		}
	}
	nextEventAt, ok := e.model.NextEventTime()
	if !ok {
		return idleInterval
	}
	return max(0, time.Duration(float64(nextEventAt-now)/e.speedFactor))
}

// wakeLoop makes Serve advance the model at once. It never blocks.
func (e *Engine) wakeLoop() {
	select {
	case e.wakeSignal <- struct{}{}:
	default:
	}
}

// startRequest calls start with mu held and registers the channel on which the request receives its events. The channel
// must have room for all of them (channelSize), because advance sends them with mu held. It also returns the channel
// that is closed by a crash. The last result is false when the engine is down or start returned false; otherwise the
// caller must call endRequest.
func (e *Engine) startRequest(
	requestID string, channelSize int, start func(now time.Duration) bool,
) (chan model.Event, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if now < e.downUntil || !start(now) {
		return nil, nil, false
	}
	events := make(chan model.Event, channelSize)
	e.eventChannels[requestID] = events
	e.wakeLoop()
	return events, e.crashSignal, true
}

// endRequest removes the channel of a request and, where cancel is set, all that the model stores for it.
func (e *Engine) endRequest(requestID string, cancel bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.eventChannels, requestID)
	if cancel {
		e.model.Cancel(requestID, e.now())
	}
	e.wakeLoop()
}

// servePrefill responds when the prompt is prefilled. The KV cache is named after the request.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var req wire.PrefillRequest
	if !readBody(w, r, &req) {
		return
	}
	events, crashSignal, ok := e.startRequest(req.ID, 4, func(now time.Duration) bool {
		e.model.Prefill(req.ID, req.PromptTokens, req.PrefixDigest, req.Priority, now)
		return true
	})
	if !ok {
		abortConnection()
	}
	done := false
	defer func() { e.endRequest(req.ID, !done) }()
	select {
	case <-events:
		done = true
		writeBody(w, wire.PrefillResponse{KVHandle: req.ID})
	case <-crashSignal:
		abortConnection()
	case <-r.Context().Done():
	}
}

// serveExport responds when the KV cache has been transferred, or with status 410 when it does not exist.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req wire.DecodeRequest
	if !readBody(w, r, &req) {
		return
	}
	e.mu.Lock()
	now := e.now()
	arrivesAt, ok := e.model.Export(r.PathValue("handle"), req.PromptTokens, now)
	down := now < e.downUntil
	e.mu.Unlock()
	if down {
		abortConnection()
	}
	if !ok {
		http.Error(w, "KV cache has expired or does not exist", http.StatusGone)
		return
	}
	select {
	case <-time.After(time.Duration(float64(arrivesAt-now) / e.speedFactor)):
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}

// serveDecode imports the KV cache and streams the answer from token SentTokens on. It responds with status 410 when
// the import failed, and with 503 when the engine is down or has no free decode slot or KV memory.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var req wire.DecodeRequest
	if !readBody(w, r, &req) {
		return
	}
	if err := e.importKV(r.Context(), req); err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	endToken := AnswerTokenCount(req.Prompt, req.MaxOutputTokens)
	events, crashSignal, ok := e.startRequest(req.ID, endToken-req.SentTokens+4, func(now time.Duration) bool {
		return e.model.Decode(req.ID, req.PromptTokens, req.SentTokens, endToken, now, now)
	})
	if !ok {
		http.Error(w, "engine is down or has no free decode slot or KV memory", http.StatusServiceUnavailable)
		return
	}
	defer e.endRequest(req.ID, true)
	if strings.Contains(req.Prompt, CrashMarker) {
		e.Crash()
		abortConnection()
	}
	e.streamTokens(w, r, req, events, crashSignal)
}

// streamTokens writes one line of JSON for each token until the stream ends, the engine crashes or the client
// disconnects. It flushes when no further event is waiting.
func (e *Engine) streamTokens(
	w http.ResponseWriter, r *http.Request, req wire.DecodeRequest, events chan model.Event, crashSignal chan struct{},
) {
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	for {
		select {
		case event := <-events:
			if event.Kind == model.StreamEnd {
				_ = encoder.Encode(wire.Chunk{Index: event.TokenIndex, End: true})
				return
			}
			_ = encoder.Encode(wire.Chunk{Index: event.TokenIndex, Text: TokenText(req.Prompt, event.TokenIndex)})
			if len(events) == 0 {
				_ = control.Flush()
			}
		case <-crashSignal:
			abortConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// importKV transfers the KV cache from the engine that prefilled the prompt, and returns when it has arrived. It fails
// when that engine can't be reached or no longer has the cache.
func (e *Engine) importKV(ctx context.Context, req wire.DecodeRequest) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode KV export request")
	}
	exportRequest, err := http.NewRequestWithContext(
		ctx, http.MethodPost, req.KVSource+"/v1/kv/"+req.KVHandle, strings.NewReader(string(body)))
	if err != nil {
		return errors.Wrap(err, "create KV export request")
	}
	resp, err := e.client.Do(exportRequest)
	if err != nil {
		return errors.Wrap(err, "import KV cache")
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("import KV cache: status %d", resp.StatusCode)
	}
	return nil
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	down := e.now() < e.downUntil
	e.mu.Unlock()
	if down {
		abortConnection()
	}
	writeBody(w, e.Load())
}

// serveOrder records an order, which is a control command with a kind and a value, and takes no action. With
// checksFencing it responds with status 409 to a fencing token that is lower than one that it has accepted, of whatever
// kind.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var req wire.OrderRequest
	if !readBody(w, r, &req) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && req.FencingToken < e.highestFencingToken {
		http.Error(w, "fencing token is lower than one already accepted", http.StatusConflict)
		return
	}
	e.highestFencingToken = max(e.highestFencingToken, req.FencingToken)
	e.orders = append(e.orders, req)
	w.WriteHeader(http.StatusNoContent)
}

// abortConnection closes the connection without a response, as a crash does. It does not return.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// readBody decodes a JSON body of up to 8 MiB into target. It responds with status 400 and returns false when that
// fails.
func readBody(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 8<<20)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeBody(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
