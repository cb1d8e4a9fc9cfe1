// Package acceptor follows the connections of an HTTP server, so that a stopping process knows of each request from the first
// byte of its head to the last byte of its answer, and ends the server without cutting one off unseen.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// ErrProcessEnds is the cause with which the contexts of the requests end that are in progress when the process ends.
var ErrProcessEnds = errors.New("process ends")

// Acceptor follows the connections of one server. It is safe for concurrent use; mu guards the fields below it.
type Acceptor struct {
	server *http.Server
	// requests is the parent of the contexts of all requests, and interrupt ends it.
	requests  context.Context
	interrupt context.CancelCauseFunc

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*trackedConn]struct{}
}

// New returns an Acceptor of a server that does not serve yet and has a Handler. It sets the server's BaseContext and
// ConnState, and wraps its ConnContext and Handler. The server must serve listeners that Track has returned.
func New(s *http.Server) *Acceptor {
	a := &Acceptor{server: s, conns: map[*trackedConn]struct{}{}}
	a.requests, a.interrupt = context.WithCancelCause(context.Background())
	s.BaseContext = func(net.Listener) context.Context { return a.requests }
	s.ConnContext = withConn(s.ConnContext)
	s.ConnState = recordState
	s.Handler = recordStart(s.Handler)
	return a
}

// Track returns a listener whose connections are followed.
func (a *Acceptor) Track(l net.Listener) net.Listener {
	return &trackedListener{Listener: l, acceptor: a}
}

// Active returns the number of connections on which a request has begun to arrive and is not answered yet.
func (a *Acceptor) Active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for c := range a.conns {
		if c.active.Load() {
			n++
		}
	}
	return n
}

// Interrupt ends the contexts of all requests with ErrProcessEnds, so that they are answered or broken off at once.
func (a *Acceptor) Interrupt() {
	a.interrupt(ErrProcessEnds)
}

// Shutdown closes the server's port and the connections on which no request has begun, and waits until all others have been
// answered. If ctx ends before, it returns its error; the connections in use stay open then.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	a.closeUnused()
	return errors.Wrap(a.server.Shutdown(ctx), "close the port for callers")
}

// closeUnused closes the connections on which no request has begun. The server itself waits for the first request of a
// connection that was just opened.
func (a *Acceptor) closeUnused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if !c.active.Load() {
			_ = c.Conn.Close()
		}
	}
}

// add records an open connection.
func (a *Acceptor) add(c *trackedConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = struct{}{}
}

// remove forgets a connection that is closed.
func (a *Acceptor) remove(c *trackedConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}
