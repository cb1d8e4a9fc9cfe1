// Package fleet is the RPC face between the system's own processes: JSON-RPC 2.0 over mutual TLS.
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
	// maxMessageBytes bounds one message in bytes.
	maxMessageBytes = 8 << 20
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 20 * time.Millisecond
)

// withoutLogging keeps the library from logging each connection that ends; callers see the error.
var withoutLogging = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Peer is the process at the other end of a connection.
type Peer struct {
	// Name comes from the verified certificate.
	Name string
	// Incarnation comes from hello; empty before it.
	Incarnation string
	// conn is set by hello.
	conn    *jsonrpc2.Conn
	handler Handler
	// sequence is unique among the connections of the server.
	sequence     uint64
	disconnected atomic.Bool
}

// ConnectionID names the connection: what the peer holds over it is gone when it ends, and a new
// connection of the same peer owns nothing of the old one.
func (p *Peer) ConnectionID() string {
	return p.Name + "@" + p.Incarnation + "." + strconv.FormatUint(p.sequence, 10)
}

// Disconnected tells whether the connection has ended.
func (p *Peer) Disconnected() bool {
	return p.disconnected.Load()
}

// Notify sends a notification to the peer.
func (p *Peer) Notify(ctx context.Context, method string, params any) error {
	return errors.Wrapf(p.conn.Notify(ctx, method, params), "notify %s", method)
}

// Handler serves the requests of peers.
type Handler interface {
	// Serve handles one request and returns its result. It runs on its own goroutine.
	Serve(ctx context.Context, p *Peer, method string, params json.RawMessage) (any, error)
	// PeerDisconnected is called once when the connection of a peer has ended.
	PeerDisconnected(p *Peer)
}

// Server accepts connections of the fleet.
type Server struct {
	listener  net.Listener
	tlsConfig *tls.Config
	handler   Handler

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	wg       sync.WaitGroup
	sequence atomic.Uint64
}

// NewServer returns a server on the listener; it serves nothing until Serve is called.
func NewServer(l net.Listener, c *credential.Credential, h Handler) *Server {
	return &Server{listener: l, tlsConfig: c.ServerConfig(), handler: h, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the context ends; it then closes them and waits for their handlers.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for ctx.Err() == nil {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			// Out of file descriptors, say: the listener itself is still good.
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

// serveConn serves one connection until it ends.
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

func (s *Server) closeConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) closeAllConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Handle serves one request of the peer; it is called by jsonrpc2. The hello comes first and is handled
// in order, all else on a goroutine of its own.
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

func decodeParams(params *json.RawMessage, into any) error {
	if params == nil {
		return errors.New("no params")
	}
	return errors.Wrap(json.Unmarshal(*params, into), "decode params")
}

// DecodeAndServe decodes the params of a request and serves it; it fails on params that do not decode.
func DecodeAndServe[T any](params json.RawMessage, serve func(T) any) (any, error) {
	var v T
	if err := decodeParams(&params, &v); err != nil {
		return nil, err
	}
	return serve(v), nil
}
