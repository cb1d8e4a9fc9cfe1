package forwarder

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/proxy/responder"
	"github.com/pistachiovane/pistachiovane/internal/proxy/scanner"
)

const contentTypeHeader = "Content-Type"

// relayBufferBytes is the size of a stream's buffer. An event that does not fit is sent to the caller in pieces.
const relayBufferBytes = 8 << 10

// eventStreamType is the content type of a stream of events.
const eventStreamType = "text/event-stream"

// relayBuffers reuses the buffers of ended streams.
var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// relay copies the events of a stream to the caller. It sends only complete events, because an endpoint may stop in the
// middle of one and another endpoint then continues after the last complete event. One relay serves all attempts of a
// generation.
type relay struct {
	buffer *[relayBufferBytes]byte
	// buffered counts the bytes at the start of the buffer that were received and not yet sent to the caller.
	buffered int
	// stream follows the events of all attempts.
	stream scanner.Scanner
	// splitEvent is set if the caller has received a part of a body that can't be continued: of an event that did not fit
	// into the buffer, or of something that is no stream of events.
	splitEvent bool
}

// newRelay returns a relay with a buffer from the pool. release must be called.
func newRelay() *relay {
	b, _ := relayBuffers.Get().(*[relayBufferBytes]byte)
	return &relay{buffer: b}
}

// release returns the buffer to the pool. The relay must not be used afterwards.
func (r *relay) release() {
	relayBuffers.Put(r.buffer)
}

// canContinueWith reports whether a response can be appended to what the caller has received. After the head has been
// sent, only a successful response of the same content type can.
func (r *relay) canContinueWith(w *responder.Responder, next *Response) bool {
	return !w.HeadSent() ||
		(next.Status == http.StatusOK && next.Header.Get(contentTypeHeader) == w.Header().Get(contentTypeHeader))
}

// canContinue reports whether another endpoint can continue behind what the caller has received.
func (r *relay) canContinue() bool {
	_, known := r.stream.LastEventID()
	return known && !r.splitEvent
}

// lastEventID returns the ID of the last event sent to the caller. It is empty if there is none.
func (r *relay) lastEventID() string {
	id, _ := r.stream.LastEventID()
	return id
}

// events returns the number of events sent to the caller, over all attempts.
func (r *relay) events() int {
	return r.stream.Events()
}

// errAstray is the error of a response that does not go on behind the last event of a stream that it was to continue.
var errAstray = errors.New("response does not go on behind the last event")

// copyEvents sends the events of a body to the caller, until the body ends or fails or a write to the caller fails. Both
// errors are nil at the end of the body. The caller does not get an incomplete event at the end, nor, of a response that
// continues a stream, an event that does not go on behind the last one. Each read that completes an event is progress for
// the watch.
func (r *relay) copyEvents(w *responder.Responder, body io.Reader, watch *stallWatch) (readErr, writeErr error) {
	r.buffered, r.splitEvent = 0, false
	for {
		n, err := body.Read(r.buffer[r.buffered:])
		if end := r.stream.Scan(r.buffer[r.buffered : r.buffered+n]); end > 0 {
			watch.progress()
			end += r.buffered
			r.buffered += n
			writeErr = r.send(w, end)
			r.splitEvent = false
		} else if r.buffered += n; r.buffered == len(r.buffer) {
			if !r.stream.MayGoOn() {
				return errAstray, nil
			}
			writeErr = r.send(w, r.buffered)
			r.splitEvent = true
		}
		switch {
		case writeErr != nil:
			return nil, writeErr
		case r.stream.Astray():
			return errAstray, nil
		case errors.Is(err, io.EOF):
			return nil, nil
		case err != nil:
			return err, nil
		}
	}
}

// send sends the first n buffered bytes to the caller.
func (r *relay) send(w *responder.Responder, n int) error {
	if _, err := w.Write(r.buffer[:n]); err != nil {
		return err
	}
	r.buffered = copy(r.buffer[:], r.buffer[n:r.buffered])
	return w.Flush()
}

// copyBytes sends a body that is no stream of events to the caller as it arrives.
func (r *relay) copyBytes(w *responder.Responder, body io.Reader, watch *stallWatch) (readErr, writeErr error) {
	for {
		n, err := body.Read(r.buffer[:])
		if n > 0 {
			watch.progress()
			r.buffered, r.splitEvent = n, true
			if writeErr := r.send(w, n); writeErr != nil {
				return nil, writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// relayStream sends the events of a response to the caller. It sends the head of the response only if no earlier
// attempt has done so.
func (f *Forwarder) relayStream(ctx context.Context, g *generation, r *Response, watch *stallWatch) outcome {
	if g.w.HeadSent() {
		g.relay.stream.Continue(g.LastEventID)
	} else {
		copyHeader(g.w.Header(), r.Header)
		g.w.WriteHead(r.Status, r.Delimiter)
		g.record.status = r.Status
		g.record.timeToHead = f.clock() - g.receivedAt
	}
	copyBody := g.relay.copyBytes
	if isEventStream(r) {
		copyBody = g.relay.copyEvents
	}
	startedAt, eventsBefore := f.clock(), g.relay.events()
	readErr, writeErr := copyBody(g.w, r.Body, watch)
	g.record.events = g.relay.events()
	if writeErr != nil {
		g.record.reason = reasonCallerGone
		f.recordAbandoned(g.job, g.contact)
		return outcomeAnswered
	}
	f.recordStreamEnd(g, readErr)
	switch {
	case g.contact.ending == endedComplete, !g.contact.ending.brokenOff() && !g.w.MarksEnd():
		f.reportDecodeSpeed(g, g.relay.events()-eventsBefore-1, f.clock()-startedAt)
		return outcomeAnswered
	case ctx.Err() != nil:
		return outcomeAbandoned
	}
	f.log.Info().Str("id", g.ID).Str("endpoint", g.record.endpoint).Str("event", g.relay.lastEventID()).
		Int("events", g.relay.events()).Str("end", g.contact.ending.String()).Err(readErr).Msg("forward: stream broke off")
	return outcomeBroken
}

// isEventStream reports whether the body of a response is a stream of events.
func isEventStream(r *Response) bool {
	mediaType, _, _ := strings.Cut(r.Header.Get(contentTypeHeader), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), eventStreamType)
}

// recordStreamEnd records how a stream ended that was read up to the given error. A stream that ends inside an event was
// broken off, whatever its delimiter says. So was one that nobody marked as complete and that ends before its first
// event, since a caller asks for one token at least; the rest of a stream that is continued may be empty.
func (f *Forwarder) recordStreamEnd(g *generation, readErr error) {
	unmarked := !g.contact.response.Delimiter.MarksEnd()
	isNew := g.LastEventID == "" && g.relay.lastEventID() == ""
	switch {
	case readErr == nil && isEventStream(g.contact.response) && g.relay.stream.Inside():
		g.contact.ending = endedInsideEvent
	case readErr == nil && unmarked && isNew && g.relay.events() == 0 && isEventStream(g.contact.response):
		g.contact.ending = endedEmpty
	default:
		f.recordEnd(&g.contact, readErr)
	}
}

// reportDecodeSpeed reports to the controller how long the given number of events took. The first event must not be
// counted, because it arrives together with the head.
func (f *Forwarder) reportDecodeSpeed(g *generation, events int, duration time.Duration) {
	f.controller.RecordDecode(g.plannerID, events*g.engine.TokensPerEvent, duration)
}

// relayFailure relays a response with another status than 200. A server error is held back if a retry is possible.
func (f *Forwarder) relayFailure(g *generation, r *Response) outcome {
	result, body := f.classifyResponse(g.job, r, g.route.Retryable() && g.executions+1 < g.route.MaxAttempts)
	if result == outcomeAnswered {
		f.relayResponse(g.job, r, body)
	}
	return result
}
