package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// trackedListener is a listener whose connections an Acceptor follows.
type trackedListener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept waits for the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: inner, acceptor: l.acceptor}
	l.acceptor.add(c)
	return c, nil
}

// trackedConn is a connection that an Acceptor follows.
type trackedConn struct {
	net.Conn
	acceptor *Acceptor
	// active is set from the first byte of a request until its answer has been sent. The server itself reports a request only
	// once its whole head has arrived.
	active atomic.Bool
}

// Read reads from the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.active.Store(true)
	}
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.acceptor.remove(c)
	return c.Conn.Close()
}

// NetConn returns the connection itself.
func (c *trackedConn) NetConn() net.Conn {
	return c.Conn
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn returns a function for http.Server.ConnContext that adds the connection of a request to the context that the given
// one returns, which may be nil.
func withConn(inner func(ctx context.Context, c net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
}

// recordStart returns a handler that records the start of a request on its connection. A request may have been read whole
// while the one before it was answered; no byte of it is read afterwards.
func recordStart(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
			c.active.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

// recordState records that the answer on a connection has been sent, for http.Server.ConnState.
func recordState(c net.Conn, s http.ConnState) {
	if t, ok := c.(*trackedConn); ok && s == http.StateIdle {
		t.active.Store(false)
	}
}
