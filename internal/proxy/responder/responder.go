// Package responder sends a response to a caller. It tells the caller where the response ends only if that is known: a
// body whose endpoint did not mark its end is sent without a length and without chunks, and ends with the connection.
package responder

import (
	"net"
	"net/http"

	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
)

// Responder sends one response. It is not safe for concurrent use.
type Responder struct {
	w http.ResponseWriter
	// controller flushes the response and takes over its connection.
	controller *http.ResponseController
	// hasChunks is set if the caller understands chunks.
	hasChunks bool
	// headSent is set once the head has been passed on. Then marksEnd is set if the caller can
	// tell the end of the body from a connection that broke off.
	headSent bool
	marksEnd bool
}

// New returns a responder that sends through w. hasChunks is false for callers of HTTP/1.0.
func New(w http.ResponseWriter, hasChunks bool) *Responder {
	return &Responder{w: w, controller: http.NewResponseController(w), hasChunks: hasChunks}
}

// Header returns the header, to be changed before WriteHead.
func (r *Responder) Header() http.Header {
	return r.w.Header()
}

// WriteHead sends the status and the header. d is what delimits the body at its source: if that does not mark the end,
// the caller gets neither a length nor chunks.
func (r *Responder) WriteHead(status int, d delimiter.Delimiter) {
	_, hasLength := r.w.Header()["Content-Length"]
	r.marksEnd = d == delimiter.None || hasLength || r.hasChunks
	if !d.MarksEnd() {
		r.marksEnd = false
		// net/http sends such a response without chunks and closes the connection behind it.
		r.w.Header().Set("Transfer-Encoding", "identity")
		r.w.Header().Del("Content-Length")
	}
	r.headSent = true
	r.w.WriteHeader(status)
}

// HeadSent reports whether the head has been sent. No other status can be sent then.
func (r *Responder) HeadSent() bool {
	return r.headSent
}

// MarksEnd reports whether the caller will take the response for complete once it ends without Abort. It is valid after
// WriteHead.
func (r *Responder) MarksEnd() bool {
	return r.marksEnd
}

// Write sends a part of the body.
func (r *Responder) Write(p []byte) (int, error) {
	return r.w.Write(p)
}

// Flush sends what has been written without waiting for more.
func (r *Responder) Flush() error {
	return r.controller.Flush()
}

// Abort ends a response that is not complete, by a panic with http.ErrAbortHandler, which closes the connection. Where
// the end of the connection would be the end of the body, the connection is reset.
func (r *Responder) Abort() {
	if r.headSent && !r.marksEnd {
		r.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection. What the caller has not received yet may be lost.
func (r *Responder) reset() {
	c, _, err := r.controller.Hijack()
	if err != nil {
		// Not a connection of HTTP/1; the panic of Abort ends the stream with an error.
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
