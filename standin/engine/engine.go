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
	idle         = time.Hour
	restartAfter = 300 * time.Millisecond
)

// Engine is a stand-in engine; it serves HTTP while its loop runs.
type Engine struct {
	settings model.Settings
	// speed divides all times; 1 is real time.
	speed float64
	fence bool
	http  *http.Client
	start time.Time

	mu      sync.Mutex
	model   *model.Engine
	waiting map[string]chan model.Event
	wake    chan struct{}
	highest uint64
	orders  []wire.OrderRequest
	// downUntil is when a crashed engine answers again.
	downUntil time.Duration
	crashed   chan struct{}
}

// New returns an engine; speed above 1 makes it faster than real time, and fence makes it check
// the fencing numbers of orders.
func New(s model.Settings, speed float64, fence bool, client *http.Client) *Engine {
	return &Engine{
		settings: s, speed: speed, fence: fence, http: client, start: time.Now(),
		model: model.New(s), waiting: make(map[string]chan model.Event),
		wake: make(chan struct{}, 1), crashed: make(chan struct{}),
	}
}

// AnswerTokenCount returns how many tokens the engine answers to a prompt: between half and all of max.
func AnswerTokenCount(prompt string, most int) int {
	half := max(1, most/2)
	return half + int(xxhash.Sum64String(prompt)%uint64(most-half+1))
}

// TokenText returns token i of the answer to a prompt.
func TokenText(prompt string, i int) string {
	return fmt.Sprintf("%04x.%d ", xxhash.Sum64String(prompt)&0xffff, i)
}

// Answer returns the whole answer to a prompt, for those who check what a caller received.
func Answer(prompt string, most int) string {
	var b strings.Builder
	for i := range AnswerTokenCount(prompt, most) {
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
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		timer.Reset(e.advance())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-e.wake:
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
	e.downUntil = e.now() + time.Duration(float64(restartAfter)*e.speed)
	close(e.crashed)
	e.crashed = make(chan struct{})
}

// Orders returns the orders carried out so far.
func (e *Engine) Orders() []wire.OrderRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.OrderRequest(nil), e.orders...)
}

func (e *Engine) now() time.Duration {
	return time.Duration(float64(time.Since(e.start)) * e.speed)
}

// advance runs the model, passes its outputs on and returns how long to sleep.
func (e *Engine) advance() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, out := range e.model.Advance(now) {
		if ch, ok := e.waiting[out.RequestID]; ok {
			ch <- out
		}
	}
	next, ok := e.model.NextEventTime()
	if !ok {
		return idle
	}
	return max(0, time.Duration(float64(next-now)/e.speed))
}

func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// open registers a waiter with room for every output that it can get.
func (e *Engine) open(id string, room int, begin func(now time.Duration) bool) (chan model.Event, chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if now < e.downUntil || !begin(now) {
		return nil, nil, false
	}
	ch := make(chan model.Event, room)
	e.waiting[id] = ch
	e.nudge()
	return ch, e.crashed, true
}

func (e *Engine) closeWaiter(id string, cancel bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, id)
	if cancel {
		e.model.Cancel(id, e.now())
	}
	e.nudge()
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var req wire.PrefillRequest
	if !readBody(w, r, &req) {
		return
	}
	out, crashed, ok := e.open(req.ID, 4, func(now time.Duration) bool {
		e.model.Prefill(req.ID, req.PromptTokens, req.PrefixDigest, req.Priority, now)
		return true
	})
	if !ok {
		abort()
	}
	done := false
	defer func() { e.closeWaiter(req.ID, !done) }()
	select {
	case <-out:
		done = true
		writeBody(w, wire.PrefillResponse{KVHandle: req.ID})
	case <-crashed:
		abort()
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
	arrival, ok := e.model.Export(r.PathValue("handle"), req.PromptTokens, now)
	down := now < e.downUntil
	e.mu.Unlock()
	if down {
		abort()
	}
	if !ok {
		http.Error(w, "KV cache has expired", http.StatusGone)
		return
	}
	select {
	case <-time.After(time.Duration(float64(arrival-now) / e.speed)):
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
	end := AnswerTokenCount(req.Prompt, req.MaxOutputTokens)
	out, crashed, ok := e.open(req.ID, end-req.SentTokens+4, func(now time.Duration) bool {
		return e.model.Decode(req.ID, req.PromptTokens, req.SentTokens, end, now, now)
	})
	if !ok {
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	defer e.closeWaiter(req.ID, true)
	if strings.Contains(req.Prompt, CrashMarker) {
		e.Crash()
		abort()
	}
	e.stream(w, r, req, out, crashed)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req wire.DecodeRequest, out chan model.Event, crashed chan struct{}) {
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	for {
		select {
		case o := <-out:
			if o.Kind == model.StreamEnd {
				_ = encoder.Encode(wire.Chunk{Index: o.TokenIndex, End: true})
				return
			}
			_ = encoder.Encode(wire.Chunk{Index: o.TokenIndex, Text: TokenText(req.Prompt, o.TokenIndex)})
			if len(out) == 0 {
				_ = control.Flush()
			}
		case <-crashed:
			abort()
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
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, req.KVSource+"/v1/kv/"+req.KVHandle, strings.NewReader(string(body)))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	resp, err := e.http.Do(call)
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
		abort()
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
	if e.fence && req.FencingToken < e.highest {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.highest = max(e.highest, req.FencingToken)
	e.orders = append(e.orders, req)
	w.WriteHeader(http.StatusNoContent)
}

// abort ends the connection without an answer, as a crash does.
func abort() {
	panic(http.ErrAbortHandler)
}

func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 8<<20)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeBody(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
