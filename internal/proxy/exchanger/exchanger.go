// Package exchanger sends HTTP/1.1 requests to endpoints, one at a time on a connection, and tells exactly how far a
// failed one came. net/http's client repeats requests by itself on connections that broke, which requests that may
// run only once do not bear; its reading and writing of messages is used here, its transport is not.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest request body that is written without reading the answer meanwhile, in bytes. It fits
	// into the buffers of a connection.
	maxInlineBodyBytes = 16 << 10
	// maxIdlePerEndpoint bounds the idle connections kept to one endpoint.
	maxIdlePerEndpoint = 16
	// maxStrayResponses bounds the answers to other requests that are skipped before one exchange is given up.
	maxStrayResponses = 2
	// maxStrayBodyBytes is the largest body of such an answer, in bytes.
	maxStrayBodyBytes = 1 << 20
)

// SendState tells how far a failed exchange came.
type SendState uint8

// The stages of an exchange.
const (
	// NotSent requests did not leave this process.
	NotSent SendState = iota
	// PossiblySent requests may have reached the endpoint.
	PossiblySent
)

// Failure is an exchange without an answer.
type Failure struct {
	SendState SendState
	Cause     error
}

// Error returns what failed.
func (f *Failure) Error() string {
	return f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// Options are the bounds of an exchanger.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
}

// Exchanger is a pool of connections. It is safe for concurrent use.
type Exchanger struct {
	options Options
	clock   clock.Clock
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// openedConnections counts the connections opened.
	openedConnections uint64
}

// New returns an empty pool.
func New(o Options, c clock.Clock) *Exchanger {
	e := &Exchanger{options: o, clock: c, idle: make(map[string][]*conn)}
	e.dialer = net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}
	return e
}

// OpenedConnections returns how many connections were opened.
func (e *Exchanger) OpenedConnections() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openedConnections
}

// CloseIdle closes the idle connections to an address.
func (e *Exchanger) CloseIdle(address string) {
	e.mu.Lock()
	conns := e.idle[address]
	delete(e.idle, address)
	e.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// CloseExpired closes the connections that were unused for too long.
func (e *Exchanger) CloseExpired() {
	now := e.clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, conns := range e.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now < c.expiresAt {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		if len(kept) == 0 {
			delete(e.idle, address)
			continue
		}
		e.idle[address] = kept
	}
}

// Request is one request to an endpoint.
type Request struct {
	// Head has the method, URL, host and header; its body is not used.
	Head *http.Request
	Body []byte
	// NewConnection asks for a new connection.
	NewConnection bool
	// MatchesResponse tells whether an answer belongs to this request; others are skipped.
	MatchesResponse func(http.Header) bool
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	*http.Response
	conn         *conn
	exchanger    *Exchanger
	stopCancel   func() bool
	writeDone    <-chan error
	bodyComplete bool
}

// Do sends a request and returns the answer's head. The error is always a *Failure. The exchange ends with the
// context: its connection is closed at once.
func (e *Exchanger) Do(ctx context.Context, address string, r Request) (*Response, error) {
	c, err := e.acquire(ctx, address, r.NewConnection)
	if err != nil {
		return nil, &Failure{SendState: NotSent, Cause: errors.Wrap(err, "connect")}
	}
	stopCancel := context.AfterFunc(ctx, c.close)
	response, err := e.exchange(c, r)
	if err != nil {
		stopCancel()
		c.close()
		return nil, err
	}
	response.stopCancel = stopCancel
	return response, nil
}

func (e *Exchanger) exchange(c *conn, r Request) (*Response, error) {
	headBytes := encodeHead(r)
	writeDone := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes {
		_, err := c.Write(append(headBytes, r.Body...))
		if err != nil {
			// The endpoint may have read the request before the connection broke.
			return nil, &Failure{SendState: PossiblySent, Cause: errors.Wrap(err, "send")}
		}
		writeDone <- nil
	} else {
		buffers := net.Buffers{headBytes, r.Body}
		go c.writeRequest(buffers, writeDone)
	}
	for range maxStrayResponses + 1 {
		response, err := http.ReadResponse(c.reader, r.Head) //nolint:bodyclose // closing the Answer ends the exchange
		if err != nil {
			return nil, &Failure{SendState: PossiblySent, Cause: errors.Wrap(err, "read answer")}
		}
		if response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesResponse == nil || r.MatchesResponse(response.Header) {
			return &Response{Response: response, conn: c, exchanger: e, writeDone: writeDone}, nil
		}
		if !discardBody(response) {
			break
		}
	}
	return nil, &Failure{SendState: PossiblySent, Cause: errors.New("answer belongs to another request")}
}

// discardBody reads over an answer to another request; false means that its end can't be found.
func discardBody(r *http.Response) bool {
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStrayBodyBytes))
	return err == nil && n < maxStrayBodyBytes
}

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	writeHead(&b, r.Head, len(r.Body))
	return b.Bytes()
}

// Read reads the body; io.EOF means that it is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.bodyComplete = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept only after a complete answer to a request that was written whole.
func (r *Response) Close() {
	if !r.stopCancel() || !r.reusable() {
		r.conn.close()
		return
	}
	r.exchanger.putIdle(r.conn)
}

func (r *Response) reusable() bool {
	if !r.bodyComplete || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-r.writeDone:
		return err == nil
	default:
		return false
	}
}

// acquire returns an idle connection that still looks open, or a new one.
func (e *Exchanger) acquire(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		c := e.popIdle(address)
		if c == nil {
			break
		}
		if e.clock() < c.expiresAt && c.isIdle() {
			return c, nil
		}
		c.close()
	}
	raw, err := e.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.openedConnections++
	e.mu.Unlock()
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

func (e *Exchanger) popIdle(address string) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	conns := e.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	e.idle[address] = conns[:len(conns)-1]
	return c
}

func (e *Exchanger) putIdle(c *conn) {
	c.expiresAt = e.clock() + e.options.IdleTimeout
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle[c.address]) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	e.idle[c.address] = append(e.idle[c.address], c)
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	expiresAt time.Duration
}

func (c *conn) close() {
	// An error here would say only that the connection is closed already.
	_ = c.Close()
}

// writeRequest writes a large request while its answer is read: an endpoint may answer before it has read the whole.
func (c *conn) writeRequest(buffers net.Buffers, done chan<- error) {
	_, err := buffers.WriteTo(c.Conn)
	done <- err
}

// isIdle tells whether an idle connection is open and holds no bytes: those would belong to no request.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
