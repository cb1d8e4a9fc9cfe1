// Package model is the state of a stand-in engine without I/O: it batches continuously, prefills
// one prompt at a time, keeps a prefilled KV cache for under a second and moves it over a
// link of limited rate. The HTTP stand-in and the load tool run the same model.
package model

import (
	"sort"
	"time"
)

// Settings are the speeds and sizes of an engine.
type Settings struct {
	// DecodeSlots is how many streams decode at a time.
	DecodeSlots int
	// MemoryPieces is the KV memory in pieces of PieceTokens.
	MemoryPieces int
	PieceTokens  int
	// PrefillTokensPerSecond is in tokens a second; a prefill takes at least PrefillFloor.
	PrefillTokensPerSecond float64
	MinPrefillTime         time.Duration
	// BaseStepTime and StepEach give the time between tokens: base plus each for every running stream.
	BaseStepTime      time.Duration
	StepTimePerStream time.Duration
	// KVCacheLifetime is how long a prefilled KV cache is kept for export.
	KVCacheLifetime time.Duration
	// ExportTokensPerSecond is the export rate in tokens of KV cache a second.
	ExportTokensPerSecond float64
	// MaxCachedPrefixes bounds the prefix cache.
	MaxCachedPrefixes int
}

// DefaultSettings returns an engine of about twenty slots whose prefill costs as much as many
// tens of output tokens.
func DefaultSettings() Settings {
	return Settings{
		DecodeSlots: 20, MemoryPieces: 96, PieceTokens: 2048,
		PrefillTokensPerSecond: 20000, MinPrefillTime: 4 * time.Millisecond,
		BaseStepTime: 14 * time.Millisecond, StepTimePerStream: 500 * time.Microsecond,
		KVCacheLifetime: 800 * time.Millisecond, ExportTokensPerSecond: 400000, MaxCachedPrefixes: 256,
	}
}

// Event is one thing that an engine did.
type Event struct {
	Kind      EventKind
	RequestID string
	// TokenIndex is the position of the token in the answer, for Token.
	TokenIndex int
}

// EventKind tells what an engine did.
type EventKind uint8

// The kinds of output.
const (
	PrefillDone EventKind = iota + 1
	Token
	StreamEnd
	KVExpired
)

type prefill struct {
	id       string
	tokens   int
	prefix   uint64
	priority int
	order    int
}

type stream struct {
	id     string
	next   int
	end    int
	pieces int
	// ready is when the imported KV cache has arrived.
	ready time.Duration
}

// Engine is one engine. It is not safe for concurrent use; time never goes back.
type Engine struct {
	settings Settings
	queue    []prefill
	// busyUntil is when the prefill at the head of the queue is done.
	running   *prefill
	busyUntil time.Duration
	// kept maps a prefilled request to the time when its KV cache is dropped.
	kept    map[string]time.Duration
	streams []*stream
	// stepAt is when the next decode step ends; zero when nothing decodes.
	stepAt    time.Duration
	linkFree  time.Duration
	prefixes  []uint64
	order     int
	worked    int
	usedPiece int
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{settings: s, kept: make(map[string]time.Duration)}
}

// Prefill queues a prompt; a lower priority runs first.
func (e *Engine) Prefill(id string, tokens int, prefix uint64, priority int, now time.Duration) {
	e.order++
	e.queue = append(e.queue, prefill{id: id, tokens: tokens, prefix: prefix, priority: priority, order: e.order})
	sort.SliceStable(e.queue, func(a, b int) bool { return e.queue[a].priority < e.queue[b].priority })
	e.startPrefill(now)
}

// Export starts the transfer of a KV cache and returns when it has arrived; ok is false when the
// cache has expired or never was.
func (e *Engine) Export(id string, tokens int, now time.Duration) (arrival time.Duration, ok bool) {
	if _, ok = e.kept[id]; !ok {
		return 0, false
	}
	delete(e.kept, id)
	e.linkFree = max(e.linkFree, now) + seconds(float64(tokens)/e.settings.ExportTokensPerSecond)
	return e.linkFree, true
}

// Decode starts a stream of the tokens from index next to end, whose KV cache arrives at ready.
// It returns false when no slot or memory is free.
func (e *Engine) Decode(id string, context, next, end int, ready, now time.Duration) bool {
	pieces := (context + end - next + e.settings.PieceTokens - 1) / e.settings.PieceTokens
	if len(e.streams) >= e.settings.DecodeSlots || e.usedPiece+pieces > e.settings.MemoryPieces {
		return false
	}
	e.usedPiece += pieces
	e.streams = append(e.streams, &stream{id: id, next: next, end: end, pieces: pieces, ready: ready})
	e.startStep(now)
	return true
}

// Cancel frees all that a request holds.
func (e *Engine) Cancel(id string, now time.Duration) {
	delete(e.kept, id)
	for i := range e.queue {
		if e.queue[i].id == id {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	if e.running != nil && e.running.id == id {
		e.running = nil
		e.startPrefill(now)
	}
	for i, s := range e.streams {
		if s.id == id {
			e.dropStream(i)
			break
		}
	}
}

// Reset drops everything, as a crash does.
func (e *Engine) Reset() {
	*e = Engine{settings: e.settings, kept: make(map[string]time.Duration), worked: e.worked}
}

// HasRequest tells whether anything is held for the request.
func (e *Engine) HasRequest(id string) bool {
	if _, ok := e.kept[id]; ok {
		return true
	}
	for _, s := range e.streams {
		if s.id == id {
			return true
		}
	}
	return e.running != nil && e.running.id == id
}

// ActiveStreams returns how many streams run.
func (e *Engine) ActiveStreams() int { return len(e.streams) }

// BacklogTokens returns the prefill tokens not yet done.
func (e *Engine) BacklogTokens() int {
	sum := 0
	for i := range e.queue {
		sum += e.queue[i].tokens
	}
	if e.running != nil {
		sum += e.running.tokens
	}
	return sum
}

// FreePieces returns the free pieces of KV memory.
func (e *Engine) FreePieces() int { return e.settings.MemoryPieces - e.usedPiece }

// PrefilledTokens returns all prompt tokens prefilled so far.
func (e *Engine) PrefilledTokens() int { return e.worked }

// StoredKVCaches returns how many prefilled KV caches wait for export.
func (e *Engine) StoredKVCaches() int { return len(e.kept) }

// NextEventTime returns when Advance must be called; ok is false when nothing will happen.
func (e *Engine) NextEventTime() (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if e.running != nil {
		consider(e.busyUntil)
	}
	if e.stepAt != 0 {
		consider(e.stepAt)
	}
	for _, t := range e.kept {
		consider(t)
	}
	return at, ok
}

// Advance runs the engine up to now and returns what it did, in order.
func (e *Engine) Advance(now time.Duration) []Event {
	var out []Event
	if e.running != nil && e.busyUntil <= now {
		out = e.endPrefill(out, now)
	}
	if e.stepAt != 0 && e.stepAt <= now {
		out = e.endStep(out, now)
	}
	return e.expire(out, now)
}

func (e *Engine) startPrefill(now time.Duration) {
	if e.running != nil || len(e.queue) == 0 {
		return
	}
	p := e.queue[0]
	e.queue = e.queue[1:]
	tokens := float64(p.tokens)
	if e.cached(p.prefix) {
		tokens /= 2
	}
	e.running = &p
	e.busyUntil = now + max(e.settings.MinPrefillTime, seconds(tokens/e.settings.PrefillTokensPerSecond))
}

func (e *Engine) endPrefill(out []Event, now time.Duration) []Event {
	p := e.running
	e.running = nil
	e.worked += p.tokens
	e.remember(p.prefix)
	e.kept[p.id] = now + e.settings.KVCacheLifetime
	e.startPrefill(now)
	return append(out, Event{Kind: PrefillDone, RequestID: p.id})
}

func (e *Engine) startStep(now time.Duration) {
	if e.stepAt != 0 || len(e.streams) == 0 {
		return
	}
	e.stepAt = now + e.settings.BaseStepTime + time.Duration(len(e.streams))*e.settings.StepTimePerStream
}

func (e *Engine) endStep(out []Event, now time.Duration) []Event {
	e.stepAt = 0
	for i := 0; i < len(e.streams); i++ {
		s := e.streams[i]
		if s.ready > now {
			continue
		}
		out = append(out, Event{Kind: Token, RequestID: s.id, TokenIndex: s.next})
		s.next++
		if s.next >= s.end {
			out = append(out, Event{Kind: StreamEnd, RequestID: s.id})
			e.dropStream(i)
			i--
		}
	}
	e.startStep(now)
	return out
}

func (e *Engine) dropStream(i int) {
	e.usedPiece -= e.streams[i].pieces
	e.streams = append(e.streams[:i], e.streams[i+1:]...)
}

func (e *Engine) expire(out []Event, now time.Duration) []Event {
	first := len(out)
	for id, t := range e.kept {
		if t <= now {
			delete(e.kept, id)
			out = append(out, Event{Kind: KVExpired, RequestID: id})
		}
	}
	expired := out[first:]
	sort.Slice(expired, func(a, b int) bool { return expired[a].RequestID < expired[b].RequestID })
	return out
}

func (e *Engine) cached(prefix uint64) bool {
	for _, p := range e.prefixes {
		if p == prefix && prefix != 0 {
			return true
		}
	}
	return false
}

func (e *Engine) remember(prefix uint64) {
	if prefix == 0 || e.cached(prefix) || e.settings.MaxCachedPrefixes == 0 {
		return
	}
	if len(e.prefixes) >= e.settings.MaxCachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	e.prefixes = append(e.prefixes, prefix)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
