package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

const contentTypeHeader = "Content-Type"

// relayBufferBytes is the size of the buffer of a stream, in bytes; longer events are passed on in pieces.
const relayBufferBytes = 8 << 10

var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
	relayBuffers    = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}
)

// relay passes the events of a stream on, whole events only: an endpoint may stop in the middle of one.
type relay struct {
	buffer *[relayBufferBytes]byte
	// buffered counts the bytes at the start of the buffer that belong to an event that is not whole yet.
	buffered int
	// headSent is set once the caller has received the head of the answer.
	headSent bool
	// lastEventID is the id of the last event passed on, where the stream may be resumed.
	lastEventID string
	resumable   bool
	events      int
}

func newRelay(resumable bool) *relay {
	b, _ := relayBuffers.Get().(*[relayBufferBytes]byte)
	return &relay{buffer: b, resumable: resumable}
}

func (r *relay) release() {
	relayBuffers.Put(r.buffer)
}

// canContinueWith tells whether an answer can follow what the caller has received: a stream is not continued with anything else.
func (r *relay) canContinueWith(w http.ResponseWriter, next *Response) bool {
	return !r.headSent || (next.Status == http.StatusOK && next.Header.Get(contentTypeHeader) == w.Header().Get(contentTypeHeader))
}

// copyEvents passes events on until the stream ends; readErr is nil after a whole stream.
func (r *relay) copyEvents(w http.ResponseWriter, body io.Reader) (readErr, writeErr error) {
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(r.buffer[r.buffered:])
		r.buffered += n
		sendable := r.sendableBytes(err)
		if sendable > 0 {
			r.recordEvents(r.buffer[:sendable])
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

// sendableBytes returns how many of the held bytes may be passed on.
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

// recordEvents counts events and remembers the id of the last one.
func (r *relay) recordEvents(events []byte) {
	r.events += bytes.Count(events, eventTerminator)
	if !r.resumable {
		return
	}
	at := bytes.LastIndex(events, idField)
	if at < 0 || (at > 0 && events[at-1] != '\n') {
		return
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
	r.lastEventID = string(bytes.TrimSpace(line))
}

// relayStream passes a stream on to the caller.
func (f *Forwarder) relayStream(ctx context.Context, g *generation, r *Response) outcome {
	if !g.relay.headSent {
		copyHeader(g.w.Header(), r.Header)
		g.w.WriteHeader(r.Status)
		g.relay.headSent = true
		g.record.status = r.Status
		g.record.timeToHead = f.clock() - g.receivedAt
	}
	startedAt, eventsBefore := f.clock(), g.relay.events
	readErr, writeErr := g.relay.copyEvents(g.w, r.Body)
	g.record.events = g.relay.events
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
	f.log.Info().Str("id", g.ID).Str("endpoint", g.record.endpoint).Str("event", g.relay.lastEventID).Int("events", g.relay.events).
		Err(readErr).Msg("forward: stream broke off")
	return outcomeBroken
}

// reportDecodeSpeed tells the planner how fast an answer was made; the first event came with the head.
func (f *Forwarder) reportDecodeSpeed(g *generation, events int, duration time.Duration) {
	f.controller.UpdatePlanner(func(p *planner.Planner, _ time.Duration) []planner.Decision {
		p.RecordDecode(events*g.engine.TokensPerEvent, duration)
		return nil
	})
}

// relayFailure passes on an endpoint's own failure.
func (f *Forwarder) relayFailure(g *generation, r *Response) outcome {
	got, body := f.classifyResponse(g.job, r, g.route.Retryable() && g.executions+1 < g.route.MaxAttempts)
	if got == outcomeAnswered {
		f.relayResponse(g.job, r, body)
	}
	return got
}
