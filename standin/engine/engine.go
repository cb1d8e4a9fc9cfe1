// Package engine is a stand-in model engine over HTTP.
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

// CrashMarker makes a prompt crash every engine that decodes it.
const CrashMarker = "<<crash>>"

const (
	idleInterval = time.Hour
	restartDelay = 300 * time.Millisecond
)

// Engine is a stand-in engine; it serves HTTP while its loop runs.
type Engine struct {
	settings model.Settings
	// speedFactor divides all times; 1 is real time.
	speedFactor   float64
	checksFencing bool
	client        *http.Client
	startedAt     time.Time

	mu                  sync.Mutex
	model               *model.Engine
	eventChannels       map[string]chan model.Event
	wakeSignal          chan struct{}
	highestFencingToken uint64
	orders              []wire.OrderRequest
	// downUntil is when a crashed engine answers again.
	downUntil   time.Duration
	crashSignal chan struct{}
}

// New returns an engine; speed above 1 makes it faster than real time, and fence makes it check
// the fencing numbers of orders.
func New(s model.Settings, speedFactor float64, checksFencing bool, client *http.Client) *Engine {
	return &Engine{
		settings: s, speedFactor: speedFactor, checksFencing: checksFencing, client: client, startedAt: time.Now(),
		model: model.New(s), eventChannels: make(map[string]chan model.Event),
		wakeSignal: make(chan struct{}, 1), crashSignal: make(chan struct{}),
	}
}

// AnswerTokenCount returns how many tokens the engine answers to a prompt: between half and all of max.
func AnswerTokenCount(prompt string, maxTokens int) int {
	minTokens := max(1, maxTokens/2)
	return minTokens + int(xxhash.Sum64String(prompt)%uint64(maxTokens-minTokens+1))
}

// TokenText returns token i of the answer to a prompt.
func TokenText(prompt string, i int) string {
	return fmt.Sprintf("%04x.%d ", xxhash.Sum64String(prompt)&0xffff, i)
}

// Answer returns the whole answer to a prompt, for those who check what a caller received.
func Answer(prompt string, maxTokens int) string {
	var b strings.Builder
	for i := range AnswerTokenCount(prompt, maxTokens) {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// Handler returns the engine's HTTP face.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/prefill", e.servePrefill)
	mux.HandleFunc("POST /v1/decode", e.serveDecode)
	mux.HandleFunc("POST /v1/kv/{handle}", e.serveExport)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/crash", func(w http.ResponseWriter, _ *http.Request) { e.Crash(); w.WriteHeader(http.StatusNoContent) })
	return mux
}

// Serve advances the model until the context ends.
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

// Load returns the present load.
func (e *Engine) Load() wire.LoadResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.LoadResponse{
		ActiveStreams: e.model.ActiveStreams(), BacklogTokens: e.model.BacklogTokens(), FreePieces: e.model.FreePieces(),
		StoredKVCaches: e.model.StoredKVCaches(), PrefilledTokens: e.model.PrefilledTokens(),
	}
}

// Crash drops all work and refuses everything until the engine has restarted.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Reset()
	e.downUntil = e.now() + time.Duration(float64(restartDelay)*e.speedFactor)
	close(e.crashSignal)
	e.crashSignal = make(chan struct{})
}

// Orders returns the orders carried out so far.
func (e *Engine) Orders() []wire.OrderRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.OrderRequest(nil), e.orders...)
}

func (e *Engine) now() time.Duration {
	return time.Duration(float64(time.Since(e.startedAt)) * e.speedFactor)
}

// advance runs the model, passes its outputs on and returns how long to sleep.
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

func (e *Engine) wakeLoop() {
	select {
	case e.wakeSignal <- struct{}{}:
	default:
	}
}

// startRequest registers a waiter with room for every output that it can get.
func (e *Engine) startRequest(requestID string, channelSize int, start func(now time.Duration) bool) (chan model.Event, chan struct{}, bool) {
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

func (e *Engine) endRequest(requestID string, cancel bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.eventChannels, requestID)
	if cancel {
		e.model.Cancel(requestID, e.now())
	}
	e.wakeLoop()
}

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
		http.Error(w, "KV cache has expired", http.StatusGone)
		return
	}
	select {
	case <-time.After(time.Duration(float64(arrivesAt-now) / e.speedFactor)):
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}

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
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	defer e.endRequest(req.ID, true)
	if strings.Contains(req.Prompt, CrashMarker) {
		e.Crash()
		abortConnection()
	}
	e.streamTokens(w, r, req, events, crashSignal)
}

func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, req wire.DecodeRequest, events chan model.Event, crashSignal chan struct{}) {
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

func (e *Engine) importKV(ctx context.Context, req wire.DecodeRequest) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	exportRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, req.KVSource+"/v1/kv/"+req.KVHandle, strings.NewReader(string(body)))
	if err != nil {
		return errors.Wrap(err, "make request")
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

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var req wire.OrderRequest
	if !readBody(w, r, &req) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksFencing && req.FencingToken < e.highestFencingToken {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.highestFencingToken = max(e.highestFencingToken, req.FencingToken)
	e.orders = append(e.orders, req)
	w.WriteHeader(http.StatusNoContent)
}

// abortConnection ends the connection without an answer, as a crash does.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

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
