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

type prefillRequest struct {
	requestID    string
	promptTokens int
	prefixDigest uint64
	priority     int
	sequence     int
}

type stream struct {
	requestID    string
	nextToken    int
	endToken     int
	memoryPieces int
	// kvReadyAt is when the imported KV cache has arrived.
	kvReadyAt time.Duration
}

// Engine is one engine. It is not safe for concurrent use; time never goes back.
type Engine struct {
	settings     Settings
	prefillQueue []prefillRequest
	// busyUntil is when the prefill at the head of the queue is done.
	activePrefill *prefillRequest
	prefillEndsAt time.Duration
	// kvExpiryTimes maps a prefilled request to the time when its KV cache is dropped.
	kvExpiryTimes map[string]time.Duration
	streams       []*stream
	// stepEndsAt is when the next decode step ends; zero when nothing decodes.
	stepEndsAt      time.Duration
	linkFreeAt      time.Duration
	cachedPrefixes  []uint64
	lastSequence    int
	prefilledTokens int
	usedPieces      int
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{settings: s, kvExpiryTimes: make(map[string]time.Duration)}
}

// Prefill queues a prompt; a lower priority runs first.
func (e *Engine) Prefill(requestID string, promptTokens int, prefixDigest uint64, priority int, now time.Duration) {
	e.lastSequence++
	e.prefillQueue = append(e.prefillQueue, prefillRequest{requestID: requestID, promptTokens: promptTokens, prefixDigest: prefixDigest, priority: priority, sequence: e.lastSequence})
	sort.SliceStable(e.prefillQueue, func(a, b int) bool { return e.prefillQueue[a].priority < e.prefillQueue[b].priority })
	e.startPrefill(now)
}

// Export starts the transfer of a KV cache and returns when it has arrived; ok is false when the
// cache has expired or never was.
func (e *Engine) Export(requestID string, kvTokens int, now time.Duration) (arrivesAt time.Duration, ok bool) {
	if _, ok = e.kvExpiryTimes[requestID]; !ok {
		return 0, false
	}
	delete(e.kvExpiryTimes, requestID)
	e.linkFreeAt = max(e.linkFreeAt, now) + secondsToDuration(float64(kvTokens)/e.settings.ExportTokensPerSecond)
	return e.linkFreeAt, true
}

// Decode starts a stream of the tokens from index next to end, whose KV cache arrives at ready.
// It returns false when no slot or memory is free.
func (e *Engine) Decode(requestID string, contextTokens, nextToken, endToken int, kvReadyAt, now time.Duration) bool {
	memoryPieces := (contextTokens + endToken - nextToken + e.settings.PieceTokens - 1) / e.settings.PieceTokens
	if len(e.streams) >= e.settings.DecodeSlots || e.usedPieces+memoryPieces > e.settings.MemoryPieces {
		return false
	}
	e.usedPieces += memoryPieces
	e.streams = append(e.streams, &stream{requestID: requestID, nextToken: nextToken, endToken: endToken, memoryPieces: memoryPieces, kvReadyAt: kvReadyAt})
	e.startStep(now)
	return true
}

// Cancel frees all that a request holds.
func (e *Engine) Cancel(requestID string, now time.Duration) {
	delete(e.kvExpiryTimes, requestID)
	for i := range e.prefillQueue {
		if e.prefillQueue[i].requestID == requestID {
			e.prefillQueue = append(e.prefillQueue[:i], e.prefillQueue[i+1:]...)
			break
		}
	}
	if e.activePrefill != nil && e.activePrefill.requestID == requestID {
		e.activePrefill = nil
		e.startPrefill(now)
	}
	for i, s := range e.streams {
		if s.requestID == requestID {
			e.removeStream(i)
			break
		}
	}
}

// Reset drops everything, as a crash does.
func (e *Engine) Reset() {
	*e = Engine{settings: e.settings, kvExpiryTimes: make(map[string]time.Duration), prefilledTokens: e.prefilledTokens}
}

// HasRequest tells whether anything is held for the request.
func (e *Engine) HasRequest(requestID string) bool {
	if _, ok := e.kvExpiryTimes[requestID]; ok {
		return true
	}
	for _, s := range e.streams {
		if s.requestID == requestID {
			return true
		}
	}
	return e.activePrefill != nil && e.activePrefill.requestID == requestID
}

// ActiveStreams returns how many streams run.
func (e *Engine) ActiveStreams() int { return len(e.streams) }

// BacklogTokens returns the prefill tokens not yet done.
func (e *Engine) BacklogTokens() int {
	sum := 0
	for i := range e.prefillQueue {
		sum += e.prefillQueue[i].promptTokens
	}
	if e.activePrefill != nil {
		sum += e.activePrefill.promptTokens
	}
	return sum
}

// FreePieces returns the free pieces of KV memory.
func (e *Engine) FreePieces() int { return e.settings.MemoryPieces - e.usedPieces }

// PrefilledTokens returns all prompt tokens prefilled so far.
func (e *Engine) PrefilledTokens() int { return e.prefilledTokens }

// StoredKVCaches returns how many prefilled KV caches wait for export.
func (e *Engine) StoredKVCaches() int { return len(e.kvExpiryTimes) }

// NextEventTime returns when Advance must be called; ok is false when nothing will happen.
func (e *Engine) NextEventTime() (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if e.activePrefill != nil {
		consider(e.prefillEndsAt)
	}
	if e.stepEndsAt != 0 {
		consider(e.stepEndsAt)
	}
	for _, t := range e.kvExpiryTimes {
		consider(t)
	}
	return at, ok
}

// Advance runs the engine up to now and returns what it did, in order.
func (e *Engine) Advance(now time.Duration) []Event {
	var events []Event
	if e.activePrefill != nil && e.prefillEndsAt <= now {
		events = e.finishPrefill(events, now)
	}
	if e.stepEndsAt != 0 && e.stepEndsAt <= now {
		events = e.finishStep(events, now)
	}
	return e.expireKVCaches(events, now)
}

func (e *Engine) startPrefill(now time.Duration) {
	if e.activePrefill != nil || len(e.prefillQueue) == 0 {
		return
	}
	p := e.prefillQueue[0]
	e.prefillQueue = e.prefillQueue[1:]
	tokens := float64(p.promptTokens)
	if e.isPrefixCached(p.prefixDigest) {
		tokens /= 2
	}
	e.activePrefill = &p
	e.prefillEndsAt = now + max(e.settings.MinPrefillTime, secondsToDuration(tokens/e.settings.PrefillTokensPerSecond))
}

func (e *Engine) finishPrefill(events []Event, now time.Duration) []Event {
	p := e.activePrefill
	e.activePrefill = nil
	e.prefilledTokens += p.promptTokens
	e.cachePrefix(p.prefixDigest)
	e.kvExpiryTimes[p.requestID] = now + e.settings.KVCacheLifetime
	e.startPrefill(now)
	return append(events, Event{Kind: PrefillDone, RequestID: p.requestID})
}

func (e *Engine) startStep(now time.Duration) {
	if e.stepEndsAt != 0 || len(e.streams) == 0 {
		return
	}
	e.stepEndsAt = now + e.settings.BaseStepTime + time.Duration(len(e.streams))*e.settings.StepTimePerStream
}

func (e *Engine) finishStep(events []Event, now time.Duration) []Event {
	e.stepEndsAt = 0
	for i := 0; i < len(e.streams); i++ {
		s := e.streams[i]
		if s.kvReadyAt > now {
			continue
		}
		events = append(events, Event{Kind: Token, RequestID: s.requestID, TokenIndex: s.nextToken})
		s.nextToken++
		if s.nextToken >= s.endToken {
			events = append(events, Event{Kind: StreamEnd, RequestID: s.requestID})
			e.removeStream(i)
			i--
		}
	}
	e.startStep(now)
	return events
}

func (e *Engine) removeStream(i int) {
	e.usedPieces -= e.streams[i].memoryPieces
	e.streams = append(e.streams[:i], e.streams[i+1:]...)
}

func (e *Engine) expireKVCaches(events []Event, now time.Duration) []Event {
	first := len(events)
	for id, t := range e.kvExpiryTimes {
		if t <= now {
			delete(e.kvExpiryTimes, id)
			events = append(events, Event{Kind: KVExpired, RequestID: id})
		}
	}
	expired := events[first:]
	sort.Slice(expired, func(a, b int) bool { return expired[a].RequestID < expired[b].RequestID })
	return events
}

func (e *Engine) isPrefixCached(prefix uint64) bool {
	for _, p := range e.cachedPrefixes {
		if p == prefix && prefix != 0 {
			return true
		}
	}
	return false
}

func (e *Engine) cachePrefix(prefix uint64) {
	if prefix == 0 || e.isPrefixCached(prefix) || e.settings.MaxCachedPrefixes == 0 {
		return
	}
	if len(e.cachedPrefixes) >= e.settings.MaxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
