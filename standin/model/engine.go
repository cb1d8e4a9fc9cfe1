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
	// Slots is how many streams decode at a time.
	Slots int
	// Pieces is the KV memory in pieces of PieceTokens.
	Pieces      int
	PieceTokens int
	// PrefillRate is in tokens a second; a prefill takes at least PrefillFloor.
	PrefillRate  float64
	PrefillFloor time.Duration
	// StepBase and StepEach give the time between tokens: base plus each for every running stream.
	StepBase time.Duration
	StepEach time.Duration
	// KVLife is how long a prefilled KV cache is kept for export.
	KVLife time.Duration
	// LinkRate is the export rate in tokens of KV cache a second.
	LinkRate float64
	// Prefixes bounds the prefix cache.
	Prefixes int
}

// DefaultSettings returns an engine of about twenty slots whose prefill costs as much as many
// tens of output tokens.
func DefaultSettings() Settings {
	return Settings{
		Slots: 20, Pieces: 96, PieceTokens: 2048,
		PrefillRate: 20000, PrefillFloor: 4 * time.Millisecond,
		StepBase: 14 * time.Millisecond, StepEach: 500 * time.Microsecond,
		KVLife: 800 * time.Millisecond, LinkRate: 400000, Prefixes: 256,
	}
}

// Output is one thing that an engine did.
type Output struct {
	Kind OutputKind
	ID   string
	// Index is the position of the token in the answer, for Token.
	Index int
}

// OutputKind tells what an engine did.
type OutputKind uint8

// The kinds of output.
const (
	PrefillDone OutputKind = iota + 1
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
	e.linkFree = max(e.linkFree, now) + seconds(float64(tokens)/e.settings.LinkRate)
	return e.linkFree, true
}

// Decode starts a stream of the tokens from index next to end, whose KV cache arrives at ready.
// It returns false when no slot or memory is free.
func (e *Engine) Decode(id string, context, next, end int, ready, now time.Duration) bool {
	pieces := (context + end - next + e.settings.PieceTokens - 1) / e.settings.PieceTokens
	if len(e.streams) >= e.settings.Slots || e.usedPiece+pieces > e.settings.Pieces {
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

// Holds tells whether anything is held for the request.
func (e *Engine) Holds(id string) bool {
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

// Streams returns how many streams run.
func (e *Engine) Streams() int { return len(e.streams) }

// Backlog returns the prefill tokens not yet done.
func (e *Engine) Backlog() int {
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
func (e *Engine) FreePieces() int { return e.settings.Pieces - e.usedPiece }

// Worked returns all prompt tokens prefilled so far.
func (e *Engine) Worked() int { return e.worked }

// Kept returns how many prefilled KV caches wait for export.
func (e *Engine) Kept() int { return len(e.kept) }

// Next returns when Advance must be called; ok is false when nothing will happen.
func (e *Engine) Next() (at time.Duration, ok bool) {
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
func (e *Engine) Advance(now time.Duration) []Output {
	var out []Output
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
	e.busyUntil = now + max(e.settings.PrefillFloor, seconds(tokens/e.settings.PrefillRate))
}

func (e *Engine) endPrefill(out []Output, now time.Duration) []Output {
	p := e.running
	e.running = nil
	e.worked += p.tokens
	e.remember(p.prefix)
	e.kept[p.id] = now + e.settings.KVLife
	e.startPrefill(now)
	return append(out, Output{Kind: PrefillDone, ID: p.id})
}

func (e *Engine) startStep(now time.Duration) {
	if e.stepAt != 0 || len(e.streams) == 0 {
		return
	}
	e.stepAt = now + e.settings.StepBase + time.Duration(len(e.streams))*e.settings.StepEach
}

func (e *Engine) endStep(out []Output, now time.Duration) []Output {
	e.stepAt = 0
	for i := 0; i < len(e.streams); i++ {
		s := e.streams[i]
		if s.ready > now {
			continue
		}
		out = append(out, Output{Kind: Token, ID: s.id, Index: s.next})
		s.next++
		if s.next >= s.end {
			out = append(out, Output{Kind: StreamEnd, ID: s.id})
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

func (e *Engine) expire(out []Output, now time.Duration) []Output {
	first := len(out)
	for id, t := range e.kept {
		if t <= now {
			delete(e.kept, id)
			out = append(out, Output{Kind: KVExpired, ID: id})
		}
	}
	expired := out[first:]
	sort.Slice(expired, func(a, b int) bool { return expired[a].ID < expired[b].ID })
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
	if prefix == 0 || e.cached(prefix) || e.settings.Prefixes == 0 {
		return
	}
	if len(e.prefixes) >= e.settings.Prefixes {
		e.prefixes = e.prefixes[1:]
	}
	e.prefixes = append(e.prefixes, prefix)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
