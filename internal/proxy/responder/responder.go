// Package responder sends a response to a caller. It tells the caller where the response ends only if that is known: a
// body whose endpoint did not mark its end is sent without a length and without chunks, and ends with the connection.
// Such a connection is reset unless the response ends as it should, also if this process is killed meanwhile.
package responder

import (
	"context"
	"net"
	"net/http"

	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// WithConn is for http.Server.ConnContext: it adds the caller's connection to the context of its requests. A connection that
// wraps another one must have the method NetConn, as those of crypto/tls have.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	return context.WithValue(ctx, connKey{}, c)
}

// Responder sends one response. It is not safe for concurrent use.
type Responder struct {
	w http.ResponseWriter
	// controller flushes the response.
	controller *http.ResponseController
	// conn is the caller's connection, or nil if it is not known.
	conn *net.TCPConn
	// hasChunks is set if the caller understands chunks.
	hasChunks bool
	// headSent is set once the head has been passed on. Then marksEnd is set if the caller can tell the end of the body
	// from a connection that broke off.
	headSent bool
	marksEnd bool
}

// New returns a responder that sends through w. ctx is the context of the request. hasChunks is false for callers of
// HTTP/1.0.
func New(ctx context.Context, w http.ResponseWriter, hasChunks bool) *Responder {
	r := &Responder{w: w, controller: http.NewResponseController(w), hasChunks: hasChunks}
	r.conn, _ = ctx.Value(connKey{}).(*net.TCPConn)
	return r
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
	if !r.marksEnd {
		r.setResetOnClose(true)
	}
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

// Finish must be called when the response has ended as it should.
func (r *Responder) Finish() {
	if !r.headSent || r.marksEnd {
		return
	}
	if err := r.Flush(); err != nil {
		// The caller has gone; there is nobody to whom the end could be shown.
		return
	}
	r.setResetOnClose(false)
}

// Abort ends a response that is not complete, by a panic with http.ErrAbortHandler, which closes the connection.
func (r *Responder) Abort() {
	panic(http.ErrAbortHandler)
}

// setResetOnClose sets whether the caller's connection is reset when it is closed, by this process or by the end of it.
func (r *Responder) setResetOnClose(reset bool) {
	if r.conn == nil {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	// The only possible error is that the connection is closed already.
	_ = r.conn.SetLinger(seconds)
}
