// Package model is the state of a stand-in model engine, without I/O and without a clock of its own. The engine
// prefills one prompt at a time, decodes with continuous batching, keeps a prefilled KV cache for export for a limited
// time, and exports KV caches over a link of limited rate. The HTTP stand-in (standin/engine) and the load tool use
// this model.
//
// Every time is a time.Duration since a start that the caller chooses.
package model

import (
	"sort"
	"time"
)

// Settings are the rates and sizes of an engine.
type Settings struct {
	// DecodeSlots is the largest number of streams that decode at the same time.
	DecodeSlots int
	// MemoryPieces is the size of the KV memory in pieces of PieceTokens tokens each.
	MemoryPieces int
	PieceTokens  int
	// PrefillTokensPerSecond is the prefill rate. A prefill takes MinPrefillTime at least.
	PrefillTokensPerSecond float64
	MinPrefillTime         time.Duration
	// BaseStepTime and StepTimePerStream give the time of a decode step, in which each stream gets one token:
	// BaseStepTime, plus StepTimePerStream for each active stream.
	BaseStepTime      time.Duration
	StepTimePerStream time.Duration
	// KVCacheLifetime is how long a prefilled KV cache can be exported before the engine drops it.
	KVCacheLifetime time.Duration
	// ExportTokensPerSecond is the rate of the export link, in prompt tokens whose KV cache is sent.
	ExportTokensPerSecond float64
	// MaxCachedPrefixes is the size of the prefix cache; zero disables it.
	MaxCachedPrefixes int
}

// DefaultSettings returns the settings of an engine with 20 decode slots, on which the prefill of a prompt costs as
// much as several tens of output tokens.
func DefaultSettings() Settings {
	return Settings{
		DecodeSlots: 20, MemoryPieces: 96, PieceTokens: 2048,
		PrefillTokensPerSecond: 20000, MinPrefillTime: 4 * time.Millisecond,
		BaseStepTime: 14 * time.Millisecond, StepTimePerStream: 500 * time.Microsecond,
		KVCacheLifetime: 800 * time.Millisecond, ExportTokensPerSecond: 400000, MaxCachedPrefixes: 256,
	}
}

// Event is one result of Advance.
type Event struct {
	Kind      EventKind
	RequestID string
	// TokenIndex is the position of the token in the answer, from 0; set for Token only.
	TokenIndex int
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	// PrefillDone is a finished prefill, whose KV cache can be exported from now on.
	PrefillDone EventKind = iota + 1
	// Token is one decoded token of a stream.
	Token
	// StreamEnd follows the last token of a stream.
	StreamEnd
	// KVExpired is a KV cache that was dropped because it was not exported within KVCacheLifetime.
	KVExpired
)

// prefillRequest is a prompt that is queued or being prefilled. A prefixDigest of 0 means that no prefix can be reused.
type prefillRequest struct {
	requestID    string
	promptTokens int
	prefixDigest uint64
	priority     int
	sequence     int
}

// stream is an answer that is being decoded: the tokens from nextToken up to endToken, not included, are still to come.
type stream struct {
	requestID    string
	nextToken    int
	endToken     int
	memoryPieces int
	// kvReadyAt is the time at which the imported KV cache arrives. The stream gets no token before that time.
	kvReadyAt time.Duration
}

// Engine is the state of one engine. It is not safe for concurrent use. The time passed to its methods must never
// decrease.
type Engine struct {
	settings Settings
	// prefillQueue is sorted by priority, then by arrival. It does not contain activePrefill.
	prefillQueue []prefillRequest
	// activePrefill is the prompt being prefilled, which ends at prefillEndsAt; nil when there is none.
	activePrefill *prefillRequest
	prefillEndsAt time.Duration
	// kvExpiryTimes maps the id of a prefilled request to the time when its KV cache is dropped.
	kvExpiryTimes map[string]time.Duration
	streams       []*stream
	// stepEndsAt is the time at which the current decode step ends; zero when no step is running.
	stepEndsAt time.Duration
	// linkFreeAt is the time at which the link has sent all exports that were started. It sends one after another.
	linkFreeAt time.Duration
	// cachedPrefixes are digests of prefixes, the oldest first.
	cachedPrefixes  []uint64
	lastSequence    int
	prefilledTokens int
	usedPieces      int
}

// New returns an idle engine with empty caches.
func New(s Settings) *Engine {
	return &Engine{settings: s, kvExpiryTimes: make(map[string]time.Duration)}
}

// Prefill queues a prompt. The lowest priority number runs first, and prompts of equal priority run in order of
// arrival. A prefix whose digest is in the prefix cache halves the prefill time; digest 0 is never cached.
func (e *Engine) Prefill(requestID string, promptTokens int, prefixDigest uint64, priority int, now time.Duration) {
	e.lastSequence++
	e.prefillQueue = append(e.prefillQueue, prefillRequest{
		requestID: requestID, promptTokens: promptTokens, prefixDigest: prefixDigest, priority: priority,
		sequence: e.lastSequence,
	})
	sort.SliceStable(e.prefillQueue, func(a, b int) bool {
		return e.prefillQueue[a].priority < e.prefillQueue[b].priority
	})
	e.startPrefill(now)
}

// Export starts the transfer of a request's KV cache of kvTokens tokens, and returns the time at which it arrives. The
// engine drops its own copy at once. ok is false when the cache has expired, was exported before or never existed.
func (e *Engine) Export(requestID string, kvTokens int, now time.Duration) (arrivesAt time.Duration, ok bool) {
	if _, ok = e.kvExpiryTimes[requestID]; !ok {
		return 0, false
	}
	delete(e.kvExpiryTimes, requestID)
	e.linkFreeAt = max(e.linkFreeAt, now) + secondsToDuration(float64(kvTokens)/e.settings.ExportTokensPerSecond)
	return e.linkFreeAt, true
}

// Decode starts a stream of the answer's tokens from index nextToken up to endToken, not included. Its KV cache of
// contextTokens tokens arrives at kvReadyAt. Decode returns false when there is no free decode slot or when the free KV
// memory is too small for the context and the tokens still to be decoded.
func (e *Engine) Decode(requestID string, contextTokens, nextToken, endToken int, kvReadyAt, now time.Duration) bool {
	memoryPieces := (contextTokens + endToken - nextToken + e.settings.PieceTokens - 1) / e.settings.PieceTokens
	if len(e.streams) >= e.settings.DecodeSlots || e.usedPieces+memoryPieces > e.settings.MemoryPieces {
		return false
	}
	e.usedPieces += memoryPieces
	e.streams = append(e.streams, &stream{
		requestID: requestID, nextToken: nextToken, endToken: endToken, memoryPieces: memoryPieces, kvReadyAt: kvReadyAt,
	})
	e.startStep(now)
	return true
}

// Cancel ends a request: it removes its queued or active prefill, its KV cache and its stream.
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

// Reset drops all requests and caches, as a crash does. The count of prefilled tokens is kept.
func (e *Engine) Reset() {
	*e = Engine{settings: e.settings, kvExpiryTimes: make(map[string]time.Duration), prefilledTokens: e.prefilledTokens}
}

// HasRequest reports whether the engine is prefilling or decoding the request or stores its KV cache. A queued prefill
// does not count.
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

// ActiveStreams returns the number of streams that occupy a decode slot.
func (e *Engine) ActiveStreams() int { return len(e.streams) }

// BacklogTokens returns the prompt tokens of the queued prefills and of the active one, which counts in full until it
// is done.
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

// FreePieces returns the free KV memory in pieces of Settings.PieceTokens.
func (e *Engine) FreePieces() int { return e.settings.MemoryPieces - e.usedPieces }

// PrefilledTokens returns the number of prompt tokens prefilled so far, also from before a Reset.
func (e *Engine) PrefilledTokens() int { return e.prefilledTokens }

// StoredKVCaches returns the number of prefilled KV caches that have not been exported and have not expired.
func (e *Engine) StoredKVCaches() int { return len(e.kvExpiryTimes) }

// NextEventTime returns the time at which Advance must be called next; ok is false when nothing is scheduled.
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

// Advance runs the engine up to now and returns the events in order: a finished prefill, the tokens of a decode step,
// then the expired KV caches. It finishes at most one prefill and one decode step, so it must be called at each
// NextEventTime.
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

// startPrefill starts the first queued prefill unless one is active. A cached prefix halves its time.
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

// startStep starts a decode step unless one is running or there is no stream.
func (e *Engine) startStep(now time.Duration) {
	if e.stepEndsAt != 0 || len(e.streams) == 0 {
		return
	}
	e.stepEndsAt = now + e.settings.BaseStepTime + time.Duration(len(e.streams))*e.settings.StepTimePerStream
}

// finishStep decodes one token of each stream whose KV cache has arrived, and removes the streams that have ended.
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

// expireKVCaches drops the KV caches that were not exported within KVCacheLifetime. It appends their events sorted by
// request id, so that the order does not depend on the iteration order of the map.
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

// cachePrefix adds a prefix to the prefix cache, and evicts the oldest one when the cache is full.
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
