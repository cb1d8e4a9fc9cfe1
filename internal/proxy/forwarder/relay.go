package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/proxy/scanner"
)

const contentTypeHeader = "Content-Type"

// relayBufferBytes is the size of a stream's buffer. An event that does not fit is sent to the caller in pieces.
const relayBufferBytes = 8 << 10

var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
	// relayBuffers reuses the buffers of ended streams.
	relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}
)

// relay copies the events of a stream to the caller. It sends only complete events, because an endpoint may stop in the
// middle of one and another endpoint then continues after the last complete event. One relay serves all attempts of a
// generation.
type relay struct {
	buffer *[relayBufferBytes]byte
	// buffered counts the bytes at the start of the buffer that were received and not yet sent to the caller.
	buffered int
	// headSent is set once the head of the response has been sent to the caller.
	headSent bool
	// lastEventID is the ID of the last event sent to the caller. It is set only if the stream is resumable.
	lastEventID string
	// resumable is set if another endpoint may continue a stream that broke off.
	resumable bool
	// events counts the events sent to the caller, over all attempts.
	events int
	// stream follows the events of the current attempt.
	stream scanner.Scanner
}

// newRelay returns a relay with a buffer from the pool. release must be called.
func newRelay(resumable bool) *relay {
	b, _ := relayBuffers.Get().(*[relayBufferBytes]byte)
	return &relay{buffer: b, resumable: resumable}
}

// release returns the buffer to the pool. The relay must not be used afterwards.
func (r *relay) release() {
	relayBuffers.Put(r.buffer)
}

// canContinueWith reports whether a response can be appended to what the caller has received. After the head has been
// sent, only a successful response of the same content type can.
func (r *relay) canContinueWith(w http.ResponseWriter, next *Response) bool {
	return !r.headSent ||
		(next.Status == http.StatusOK && next.Header.Get(contentTypeHeader) == w.Header().Get(contentTypeHeader))
}

// copyEvents sends the events of a body to the caller, until the body ends or fails or a write to the caller fails.
// Both errors are nil after a complete stream. An incomplete event at a read error is dropped. Each read that completes
// an event is progress for the watch.
func (r *relay) copyEvents(w http.ResponseWriter, body io.Reader, watch *stallWatch) (readErr, writeErr error) {
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(r.buffer[r.buffered:])
		r.stream.Scan(r.buffer[r.buffered : r.buffered+n])
		r.buffered += n
		sendable := r.sendableBytes(err)
		if sendable > 0 {
			if r.recordEvents(r.buffer[:sendable]) > 0 {
				watch.progress()
			}
			if _, werr := w.Write(r.buffer[:sendable]); werr != nil {
				return nil, werr
			}
			if werr := flusher.Flush(); werr != nil {
				return nil, werr
			}
			r.buffered = copy(r.buffer[:], r.buffer[sendable:r.buffered])
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			r.buffered = 0
			return err, nil
		}
	}
}

// sendableBytes returns how many of the buffered bytes can be sent to the caller: those up to the end of the last
// complete event, or all if the stream has ended or the buffer is full. err is the result of the last read.
func (r *relay) sendableBytes(err error) int {
	if errors.Is(err, io.EOF) || r.buffered == len(r.buffer) {
		return r.buffered
	}
	end := bytes.LastIndex(r.buffer[:r.buffered], eventTerminator)
	if end < 0 {
		return 0
	}
	return end + len(eventTerminator)
}

// recordEvents counts the complete events and, in a resumable stream, stores the ID of the last one. It returns their
// number.
func (r *relay) recordEvents(events []byte) int {
	complete := bytes.Count(events, eventTerminator)
	r.events += complete
	if !r.resumable {
		return complete
	}
	at := bytes.LastIndex(events, idField)
	if at < 0 || (at > 0 && events[at-1] != '\n') {
		return complete
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
	r.lastEventID = string(bytes.TrimSpace(line))
	return complete
}

// relayStream sends the events of a response to the caller. It sends the head of the response only if no earlier
// attempt has done so.
func (f *Forwarder) relayStream(ctx context.Context, g *generation, r *Response, watch *stallWatch) outcome {
	if !g.relay.headSent {
		copyHeader(g.w.Header(), r.Header)
		g.w.WriteHeader(r.Status)
		g.relay.headSent = true
		g.record.status = r.Status
		g.record.timeToHead = f.clock() - g.receivedAt
	}
	startedAt, eventsBefore := f.clock(), g.relay.events
	g.relay.stream = scanner.Scanner{}
	readErr, writeErr := g.relay.copyEvents(g.w, r.Body, watch)
	g.record.events, g.record.ending = g.relay.events, endingOf(r, readErr)
	if readErr == nil && writeErr == nil && g.relay.stream.Inside() {
		g.record.ending = endedInsideEvent
	}
	g.contact.err = readErr
	if readErr == nil && writeErr == nil {
		f.reportDecodeSpeed(g, g.relay.events-eventsBefore-1, f.clock()-startedAt)
	}
	switch {
	case writeErr != nil:
		g.record.reason = "caller gone"
		return outcomeAnswered
	case readErr == nil:
		return outcomeAnswered
	case ctx.Err() != nil:
		return outcomeAbandoned
	}
	f.log.Info().Str("id", g.ID).Str("endpoint", g.record.endpoint).Str("event", g.relay.lastEventID).
		Int("events", g.relay.events).Err(readErr).Msg("forward: stream broke off")
	return outcomeBroken
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
