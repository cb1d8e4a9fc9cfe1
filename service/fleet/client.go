package fleet

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/pistachiovane/pistachiovane/pkg/credential"
)

const dialTimeout = 2 * time.Second

// Traffic counts messages and their bytes, without what TLS and TCP add.
type Traffic struct {
	Messages atomic.Uint64
	Bytes    atomic.Uint64
}

// SentTraffic counts all that this process sent to others of the fleet.
var SentTraffic Traffic

// KeepAlive finds a peer that is gone without a word within about three seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// ErrNotSent means that the request certainly did not reach the peer.
var ErrNotSent = errors.New("request was not sent")

// Client calls one process of the fleet over one connection that it opens on demand.
type Client struct {
	address        string
	incarnation    string
	tlsConfig      *tls.Config
	onNotification func(method string, params json.RawMessage)
	onDisconnect   func()

	mu     sync.Mutex
	conn   *jsonrpc2.Conn
	closed bool
	wg     sync.WaitGroup
}

// NewClient returns a client of the process at the address. notified receives the peer's
// notifications in order and must not block; lost is called when the connection ends.
func NewClient(address, incarnation string, c *credential.Credential, onNotification func(string, json.RawMessage), onDisconnect func()) *Client {
	return &Client{address: address, incarnation: incarnation, tlsConfig: c.ClientConfig(), onNotification: onNotification, onDisconnect: onDisconnect}
}

// Call sends a request and waits for its result. An error that wraps ErrNotSent means that the
// peer certainly did not see the request.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	return errors.Wrapf(conn.Call(ctx, method, params, result), "call %s", method)
}

// Notify sends a notification; it is not sent when no connection is open.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return errors.Wrap(ErrNotSent, method)
	}
	return errors.Wrapf(conn.Notify(ctx, method, params), "notify %s", method)
}

// Close ends the connection and waits for its goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
	c.wg.Wait()
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Wrap(ErrNotSent, "client is closed")
	}
	if c.conn != nil {
		return c.conn, nil
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive}
	tcpConn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "dial: %v", err)
	}
	tlsConn := tls.Client(tcpConn, c.tlsConfig)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = tcpConn.Close()
		return nil, errors.Wrapf(ErrNotSent, "handshake: %v", err)
	}
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(tlsConn), c, withoutLogging)
	if err := conn.Call(ctx, MethodHello, Hello{Incarnation: c.incarnation}, nil); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(ErrNotSent, "hello: %v", err)
	}
	c.conn = conn
	c.wg.Add(1)
	go c.awaitDisconnect(conn)
	return conn, nil
}

// awaitDisconnect waits for the end of the connection.
func (c *Client) awaitDisconnect(conn *jsonrpc2.Conn) {
	defer c.wg.Done()
	<-conn.DisconnectNotify()
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	if c.onDisconnect != nil {
		c.onDisconnect()
	}
}

// Handle passes a notification on; it is called by jsonrpc2 in order.
func (c *Client) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if c.onNotification != nil && req.Params != nil {
		c.onNotification(req.Method, *req.Params)
	}
}

// stream frames messages as plain JSON objects, written whole and bounded in size.
type stream struct {
	conn    net.Conn
	decoder *json.Decoder
	limit   *io.LimitedReader
	mu      sync.Mutex
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	limit := &io.LimitedReader{R: bufio.NewReaderSize(conn, 32<<10), N: maxMessageBytes}
	return &stream{conn: conn, decoder: json.NewDecoder(limit), limit: limit}
}

// WriteObject writes one message.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	SentTraffic.Messages.Add(1)
	SentTraffic.Bytes.Add(uint64(len(data) + 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err = s.conn.Write(append(data, '\n'))
	return errors.Wrap(err, "write message")
}

// ReadObject reads one message; it fails when the message is too large.
func (s *stream) ReadObject(v any) error {
	s.limit.N = maxMessageBytes
	return s.decoder.Decode(v)
}

// Close closes the connection.
func (s *stream) Close() error {
	return s.conn.Close()
}
