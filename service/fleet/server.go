// Package fleet contains the messages, client and server of the protocol between the system's own processes, gateways
// and agents: JSON-RPC 2.0 over TCP with mutual TLS. The client first sends a hello request with its incarnation. A
// process with another fleet's secret fails the TLS handshake.
package fleet

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

const (
	// maxMessageBytes is the largest message that is received.
	maxMessageBytes = 8 << 20
	// acceptRetryDelay is the pause after an error of Accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// withoutLogging prevents the jsonrpc2 package from logging each connection that ends. Callers get the error anyway.
var withoutLogging = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Peer is the process at the other end of an accepted connection. A Handler may use it from several goroutines.
type Peer struct {
	// Name is the name in the peer's verified certificate.
	Name string
	// Incarnation is the one in the peer's hello request; empty before that request.
	Incarnation string
	// conn is nil until the hello request.
	conn    *jsonrpc2.Conn
	handler Handler
	// sequence is unique among the connections of the server.
	sequence     uint64
	disconnected atomic.Bool
}

// ConnectionID identifies this connection among all connections that the server ever accepts. Reservations and work of
// the peer belong to one connection: they end with it, and a later connection of the same peer can't refer to them.
func (p *Peer) ConnectionID() string {
	return p.Name + "@" + p.Incarnation + "." + strconv.FormatUint(p.sequence, 10)
}

// Disconnected reports whether the connection has ended.
func (p *Peer) Disconnected() bool {
	return p.disconnected.Load()
}

// Notify sends a notification, to which there is no response. It must not be called before the hello request.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	return errors.Wrapf(p.conn.Notify(ctx, method, params), "notify %s", method)
}

// Handler handles the requests of peers. Its methods may run at the same time.
type Handler interface {
	// Serve handles one request or notification and returns the result, which is sent as JSON. Its error is sent as an
	// error of invalid params. The result and error of a notification are dropped. Each call has its own goroutine.
	Serve(ctx context.Context, p *Peer, method string, params json.RawMessage) (any, error)
	// PeerDisconnected is called once when a connection has ended, also without a hello request. Serve may still be
	// running for that peer.
	PeerDisconnected(p *Peer)
}

// Server accepts connections of other processes of the fleet and passes their requests to a Handler.
type Server struct {
	listener  net.Listener
	tlsConfig *tls.Config
	handler   Handler

	// mu protects conns, the open connections.
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	wg    sync.WaitGroup
	// sequence is the number of peers so far. The latest value is the sequence of the latest peer.
	sequence atomic.Uint64
}

// NewServer returns a server on the listener. It accepts no connection until Serve is called.
func NewServer(l net.Listener, c *credential.Credential, h Handler) *Server {
	return &Server{listener: l, tlsConfig: c.ServerConfig(), handler: h, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the context ends or the listener is closed. It then closes all connections, waits for
// their goroutines and returns the context's error. Calls of Handler.Serve may still be running then.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for ctx.Err() == nil {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			// The listener still works after an error such as having no free file descriptors.
			supervision.Sleep(ctx, acceptRetryDelay)
			continue
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(1)
		go s.serveConn(ctx, conn)
	}
	s.closeAllConns()
	s.wg.Wait()
	return ctx.Err()
}

// serveConn performs the TLS handshake and then handles the connection's requests until the connection ends. It closes
// a connection whose handshake fails.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.wg.Done()
	defer s.closeConn(conn)
	tlsConn := tls.Server(conn, s.tlsConfig)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return
	}
	peer := &Peer{Name: credential.PeerName(tlsConn.ConnectionState()), handler: s.handler, sequence: s.sequence.Add(1)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rpc := jsonrpc2.NewConn(ctx, newStream(tlsConn), peer, withoutLogging)
	<-rpc.DisconnectNotify()
	peer.disconnected.Store(true)
	s.handler.PeerDisconnected(peer)
}

// closeConn closes a connection and removes it from s.conns. It locks s.mu.
func (s *Server) closeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// closeAllConns closes all open connections, which makes their goroutines return.
func (s *Server) closeAllConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Handle handles one message of the peer. The jsonrpc2 package calls it, one message at a time and in their order. The
// first message must be a hello request and later ones must not; otherwise Handle closes the connection. It starts a
// goroutine for each later message.
func (p *Peer) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if p.conn != nil && req.Method != MethodHello {
		go p.serve(ctx, conn, req)
		return
	}
	var hello Hello
	if err := decodeParams(req.Params, &hello); err != nil || req.Method != MethodHello || p.conn != nil {
		_ = conn.Close()
		return
	}
	p.Incarnation, p.conn = hello.Incarnation, conn
	_ = conn.Reply(ctx, req.ID, struct{}{})
}

// serve passes one request to the handler and sends the response, if the message is not a notification.
func (p *Peer) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := p.handler.Serve(ctx, p, req.Method, params)
	if req.Notif {
		return
	}
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}

// decodeParams decodes the JSON params of a message; nil params are an error.
func decodeParams(params *json.RawMessage, into any) error {
	if params == nil {
		return errors.New("message has no params")
	}
	return errors.Wrap(json.Unmarshal(*params, into), "decode params")
}

// DecodeAndServe decodes the JSON params of a request into a T and returns the result of serve. It fails if the params
// are not valid JSON for a T.
func DecodeAndServe[T any](params json.RawMessage, serve func(T) any) (any, error) {
	var v T
	if err := decodeParams(&params, &v); err != nil {
		return nil, err
	}
	return serve(v), nil
}
