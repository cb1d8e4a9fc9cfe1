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

const contentType = "Content-Type"

// relayBuffer is the size of the buffer of a stream, in bytes; longer events are passed on in pieces.
const relayBuffer = 8 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
	buffers  = sync.Pool{New: func() any { return new([relayBuffer]byte) }}
)

// relay passes the events of a stream on, whole events only: an endpoint may stop in the middle of one.
type relay struct {
	buffer *[relayBuffer]byte
	// held counts the bytes at the start of the buffer that belong to an event that is not whole yet.
	held int
	// begun is set once the caller has received the head of the answer.
	begun bool
	// last is the id of the last event passed on, where the stream may be resumed.
	last   string
	resume bool
	events int
}

func newRelay(resume bool) *relay {
	b, _ := buffers.Get().(*[relayBuffer]byte)
	return &relay{buffer: b, resume: resume}
}

func (r *relay) release() {
	buffers.Put(r.buffer)
}

// continues tells whether an answer can follow what the caller has received: a stream is not continued with anything else.
func (r *relay) continues(w http.ResponseWriter, next *Response) bool {
	return !r.begun || (next.Status == http.StatusOK && next.Header.Get(contentType) == w.Header().Get(contentType))
}

// copy passes events on until the stream ends; readErr is nil after a whole stream.
func (r *relay) copy(w http.ResponseWriter, body io.Reader) (readErr, writeErr error) {
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(r.buffer[r.held:])
		r.held += n
		whole := r.whole(err)
		if whole > 0 {
			r.note(r.buffer[:whole])
			if _, werr := w.Write(r.buffer[:whole]); werr != nil {
				return nil, werr
			}
			if werr := flusher.Flush(); werr != nil {
				return nil, werr
			}
			r.held = copy(r.buffer[:], r.buffer[whole:r.held])
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			r.held = 0
			return err, nil
		}
	}
}

// whole returns how many of the held bytes may be passed on.
func (r *relay) whole(err error) int {
	if errors.Is(err, io.EOF) || r.held == len(r.buffer) {
		return r.held
	}
	end := bytes.LastIndex(r.buffer[:r.held], eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// note counts events and remembers the id of the last one.
func (r *relay) note(events []byte) {
	r.events += bytes.Count(events, eventEnd)
	if !r.resume {
		return
	}
	at := bytes.LastIndex(events, idField)
	if at < 0 || (at > 0 && events[at-1] != '\n') {
		return
	}
	line, _, _ := bytes.Cut(events[at+len(idField):], []byte("\n"))
	r.last = string(bytes.TrimSpace(line))
}

// relayStream passes a stream on to the caller.
func (f *Forwarder) relayStream(ctx context.Context, g *generation, r *Response) result {
	if !g.relay.begun {
		copyHeader(g.w.Header(), r.Header)
		g.w.WriteHeader(r.Status)
		g.relay.begun = true
		g.record.status = r.Status
		g.record.first = f.clock() - g.since
	}
	began, before := f.clock(), g.relay.events
	readErr, writeErr := g.relay.copy(g.w, r.Body)
	g.record.events = g.relay.events
	if readErr == nil && writeErr == nil {
		f.noteSpeed(g, g.relay.events-before-1, f.clock()-began)
	}
	switch {
	case writeErr != nil:
		g.record.reason = "caller gone"
		return answered
	case readErr == nil:
		return answered
	case ctx.Err() != nil:
		return over
	}
	f.log.Info().Str("id", g.ID).Str("endpoint", g.record.endpoint).Str("event", g.relay.last).Int("events", g.relay.events).
		Err(readErr).Msg("forward: stream broke off")
	return broken
}

// noteSpeed tells the planner how fast an answer was made; the first event came with the head.
func (f *Forwarder) noteSpeed(g *generation, events int, took time.Duration) {
	f.controller.UpdatePlanner(func(p *planner.Planner, _ time.Duration) []planner.Decision {
		p.RecordDecode(events*g.engine.TokensPerEvent, took)
		return nil
	})
}

// passFailure passes on an endpoint's own failure.
func (f *Forwarder) passFailure(g *generation, r *Response) result {
	got, answer := f.judgeReply(g.job, r, g.route.Retryable() && g.runs+1 < g.route.MaxAttempts)
	if got == answered {
		f.passOn(g.job, r, answer)
	}
	return got
}
