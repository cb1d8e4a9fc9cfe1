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

// dialTimeout bounds the opening of a TCP connection.
const dialTimeout = 2 * time.Second

// Traffic counts messages and their encoded size. It is safe for concurrent use.
type Traffic struct {
	Messages atomic.Uint64
	// Bytes is the size of the JSON text, without the overhead of TLS and TCP.
	Bytes atomic.Uint64
}

// SentTraffic counts the messages that this process has sent over all its fleet connections, as client and as server.
var SentTraffic Traffic

// KeepAlive configures the TCP keepalive of fleet connections. A peer that disappears without closing its connection is
// detected within about three seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// ErrNotSent reports that a message certainly did not reach the peer, so that sending it again is safe.
var ErrNotSent = errors.New("request was not sent")

// Client calls one process of the fleet over one connection. It opens the connection on the first call, and again on
// the first call after the connection has ended. It is safe for concurrent use.
type Client struct {
	address        string
	incarnation    string
	tlsConfig      *tls.Config
	onNotification func(method string, params json.RawMessage)
	onDisconnect   func()

	// mu protects conn and closed. connect holds it while it opens a connection, and all other methods wait meanwhile.
	mu sync.Mutex
	// conn is nil while there is no connection.
	conn   *jsonrpc2.Conn
	closed bool
	wg     sync.WaitGroup
}

// NewClient returns a client of the process at the address ip:port. incarnation is that of the calling process and is
// sent to the peer. onNotification receives the peer's notifications in order and must not block; onDisconnect is
// called each time a connection has ended. Either may be nil.
func NewClient(
	address, incarnation string, c *credential.Credential,
	onNotification func(string, json.RawMessage), onDisconnect func(),
) *Client {
	return &Client{
		address: address, incarnation: incarnation, tlsConfig: c.ClientConfig(),
		onNotification: onNotification, onDisconnect: onDisconnect,
	}
}

// Call sends a request and stores the response in result, which may be nil. It fails with an error that wraps
// ErrNotSent if the peer certainly did not receive the request. After any other error the peer may have handled it.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	return errors.Wrapf(conn.Call(ctx, method, params, result), "call %s", method)
}

// Notify sends a notification, to which there is no response. It does not open a connection: without one it fails with
// an error that wraps ErrNotSent.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return errors.Wrap(ErrNotSent, method)
	}
	return errors.Wrapf(conn.Notify(ctx, method, params), "notify %s", method)
}

// Close closes the connection and waits for its goroutine. Later calls fail with an error that wraps ErrNotSent.
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

// connect returns the open connection, or opens one: TCP, then TLS, then the hello request. All its errors wrap
// ErrNotSent. It locks c.mu.
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
		return nil, errors.Wrapf(ErrNotSent, "dial peer: %v", err)
	}
	tlsConn := tls.Client(tcpConn, c.tlsConfig)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = tcpConn.Close()
		return nil, errors.Wrapf(ErrNotSent, "TLS handshake: %v", err)
	}
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(tlsConn), c, withoutLogging)
	if err := conn.Call(ctx, MethodHello, Hello{Incarnation: c.incarnation}, nil); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(ErrNotSent, "hello request: %v", err)
	}
	c.conn = conn
	c.wg.Add(1)
	go c.awaitDisconnect(conn)
	return conn, nil
}

// awaitDisconnect waits until the connection has ended, then removes it from c and calls onDisconnect.
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

// Handle passes a notification of the peer to onNotification. The jsonrpc2 package calls it, one message at a time and
// in their order.
func (c *Client) Handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if c.onNotification != nil && req.Params != nil {
		c.onNotification(req.Method, *req.Params)
	}
}

// stream sends each message as one line of JSON. It receives messages of at most maxMessageBytes.
type stream struct {
	conn    net.Conn
	decoder *json.Decoder
	// limit stops a read after maxMessageBytes. ReadObject resets it before each message.
	limit *io.LimitedReader
	// mu serializes writes, so that messages do not interleave.
	mu sync.Mutex
}

// newStream returns a stream with a read buffer of 32 KiB over conn.
func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	limit := &io.LimitedReader{R: bufio.NewReaderSize(conn, 32<<10), N: maxMessageBytes}
	return &stream{conn: conn, decoder: json.NewDecoder(limit), limit: limit}
}

// WriteObject sends one message and counts it in SentTraffic. It is safe for concurrent use.
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

// ReadObject receives one message into v. It fails if the message exceeds maxMessageBytes.
func (s *stream) ReadObject(v any) error {
	s.limit.N = maxMessageBytes
	return s.decoder.Decode(v)
}

// Close closes the network connection.
func (s *stream) Close() error {
	return s.conn.Close()
}
