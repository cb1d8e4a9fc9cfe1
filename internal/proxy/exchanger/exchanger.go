// Package exchanger sends HTTP/1.1 requests to endpoints, one at a time on each connection. After a failure it reports
// whether the endpoint may have received the request. The transport of net/http is not used, because it retries
// requests on broken connections by itself, and a non-idempotent request could then run twice. Responses are parsed by
// net/http.
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
	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
)

const (
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest request body that is written completely before the response is read. It fits
	// into the buffers of a connection, so the write does not block. A larger body is written in its own goroutine.
	maxInlineBodyBytes = 16 << 10
	// maxIdlePerEndpoint limits the idle connections kept for one endpoint address.
	maxIdlePerEndpoint = 16
	// maxSkippedResponses limits how many informational (1xx) responses and responses to other requests are skipped
	// before an exchange fails.
	maxSkippedResponses = 2
	// maxSkippedBodyBytes limits the body of a skipped response. If the body is that long or longer, the exchange fails.
	maxSkippedBodyBytes = 1 << 20
)

// SendState is how far the request of a failed exchange got.
type SendState uint8

// The states of a request whose exchange failed.
const (
	// NotSent means that no byte of the request left this process, so that the endpoint has not run it.
	NotSent SendState = iota
	// PossiblySent means that the endpoint may have received and run the request.
	PossiblySent
)

// Failure is the error of an exchange that ended without a response.
type Failure struct {
	SendState SendState
	Cause     error
}

// Error returns the message of the cause.
func (f *Failure) Error() string {
	return f.Cause.Error()
}

// Unwrap returns the cause for errors.Is and errors.As.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// Options are the settings of an exchanger.
type Options struct {
	// DialTimeout limits how long opening a connection may take.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection may be reused after its last exchange. CloseExpired closes it afterwards.
	IdleTimeout time.Duration
}

// Exchanger sends requests and keeps a pool of idle connections for each endpoint address. It is safe for concurrent
// use.
type Exchanger struct {
	options Options
	clock   clock.Clock
	dialer  net.Dialer

	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the idle connections by endpoint address, the most recently used one last.
	idle map[string][]*conn
	// openedConnections counts all connections opened so far.
	openedConnections uint64
}

// New returns an exchanger without connections.
func New(o Options, c clock.Clock) *Exchanger {
	e := &Exchanger{options: o, clock: c, idle: make(map[string][]*conn)}
	e.dialer = net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}
	return e
}

// OpenedConnections returns how many connections have been opened since the exchanger was created.
func (e *Exchanger) OpenedConnections() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openedConnections
}

// CloseIdle closes the idle connections to an address. Exchanges in progress are not affected.
func (e *Exchanger) CloseIdle(address string) {
	e.mu.Lock()
	conns := e.idle[address]
	delete(e.idle, address)
	e.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// CloseExpired closes the connections that have been idle for longer than the idle timeout.
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

// Request is a request to an endpoint.
type Request struct {
	// Head holds the method, the URL, the host and the header. Its body is ignored.
	Head *http.Request
	// Body is the complete request body.
	Body []byte
	// NewConnection requests a new connection instead of an idle one.
	NewConnection bool
	// MatchesResponse reports whether a response with this header belongs to the request. Other responses are skipped.
	// If it is nil, nothing in a response tells it from a late copy of an earlier one. Such a request gets a connection of
	// its own, which carries no other.
	MatchesResponse func(http.Header) bool
}

// Response is a response whose head has been read and whose body has not. Close must be called.
type Response struct {
	*http.Response
	conn      *conn
	exchanger *Exchanger
	// stopCancel stops the context from closing the connection. It returns false if the context has ended already.
	stopCancel func() bool
	// writeDone receives the result of writing the request, once. awaitWrite keeps it in written.
	writeDone <-chan error
	written   *error
	// bodyComplete is set once the body has been read to its end.
	bodyComplete bool
	// singleUse is set if the connection must not carry another exchange.
	singleUse bool
}

// Do sends a request and returns the response as soon as its head has been read. The error is always a *Failure. When
// the context ends, the connection is closed at once, also while the body is being read.
func (e *Exchanger) Do(ctx context.Context, address string, r Request) (*Response, error) {
	c, err := e.acquire(ctx, address, r.NewConnection || r.MatchesResponse == nil)
	if err != nil {
		return nil, &Failure{SendState: NotSent, Cause: errors.Wrap(err, "open connection")}
	}
	stopCancel := context.AfterFunc(ctx, c.close)
	response, err := e.exchange(c, r)
	if err != nil {
		stopCancel()
		c.close()
		return nil, err
	}
	response.stopCancel, response.singleUse = stopCancel, r.MatchesResponse == nil
	return response, nil
}

// exchange writes the request and reads the head of the response that belongs to it. Informational (1xx) responses and
// responses to other requests are skipped.
func (e *Exchanger) exchange(c *conn, r Request) (*Response, error) {
	headBytes := encodeHead(r)
	writeDone := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes {
		_, err := c.Write(append(headBytes, r.Body...))
		if err != nil {
			// The endpoint may have received the request before the write failed.
			return nil, &Failure{SendState: PossiblySent, Cause: errors.Wrap(err, "write request")}
		}
		writeDone <- nil
	} else {
		buffers := net.Buffers{headBytes, r.Body}
		go c.writeRequest(buffers, writeDone)
	}
	for range maxSkippedResponses + 1 {
		c.limitHead()
		response, err := http.ReadResponse(c.reader, r.Head) //nolint:bodyclose // Response.Close ends the exchange
		c.unlimit()
		if err != nil {
			return nil, &Failure{SendState: PossiblySent, Cause: errors.Wrap(c.explain(err), "read response")}
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
	return nil, &Failure{SendState: PossiblySent, Cause: errors.New("response belongs to another request")}
}

// discardBody reads and drops the body of a response to another request. It returns false if the end of the body can't
// be determined, the read fails or the body is too long; the connection is then unusable.
func discardBody(r *http.Response) bool {
	if !delimiter.New(r).MarksEnd() {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxSkippedBodyBytes))
	return err == nil && n < maxSkippedBodyBytes
}

// encodeHead returns the request line and the header in wire format.
func encodeHead(r Request) []byte {
	var b bytes.Buffer
	writeHead(&b, r.Head, len(r.Body))
	return b.Bytes()
}

// Read reads from the body. It returns io.EOF at the end of a complete body. If the delimiter does not mark the end, it
// returns io.EOF also when the endpoint crashed in the middle of the body, but only once the whole request has been written.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if !r.Delimiter().MarksEnd() {
			if err := r.awaitWrite(); err != nil {
				return n, errors.Wrap(err, "connection ended while the request was written")
			}
		}
		r.bodyComplete = true
	case err != nil:
		err = r.conn.explain(err)
	}
	return n, err
}

// awaitWrite waits until the request has been written, and returns the error of that. The kernel reports a reset of the connection
// once: if it reports it to the write, reads see an ordinary end. The write ends at the latest when the context ends.
func (r *Response) awaitWrite() error {
	if r.written == nil {
		err := <-r.writeDone
		r.written = &err
	}
	return *r.written
}

// Close ends the exchange. The connection is kept for reuse if the request was written completely, the response was
// read completely and nothing follows it. Otherwise it is closed.
func (r *Response) Close() {
	if !r.stopCancel() || !r.reusable() {
		r.conn.close()
		return
	}
	r.exchanger.putIdle(r.conn)
}

// reusable reports whether the connection can carry another exchange. A body that ends with the connection makes it
// unusable.
func (r *Response) reusable() bool {
	if r.singleUse || !r.bodyComplete || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if !r.Delimiter().MarksEnd() {
		return false
	}
	select {
	case err := <-r.writeDone:
		return err == nil
	default:
		return false
	}
}

// Delimiter returns what delimits the body.
func (r *Response) Delimiter() delimiter.Delimiter {
	return delimiter.New(r.Response)
}

// acquire returns an idle connection that is still open, or dials a new one. With newConnection set it always dials.
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
	limited := &limitedConn{Conn: raw}
	return &conn{limitedConn: limited, address: address, reader: bufio.NewReaderSize(limited, readBufferBytes)}, nil
}

// popIdle removes and returns the most recently used idle connection to an address, or nil if there is none.
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

// putIdle keeps a connection for reuse, or closes it if enough idle connections to its address are kept.
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
	*limitedConn
	// address is the key of the connection in the pool.
	address string
	// reader reads from limitedConn.
	reader *bufio.Reader
	// expiresAt is the time on the exchanger's clock from which an idle connection is not reused.
	expiresAt time.Duration
}

func (c *conn) close() {
	// The only possible error is that the connection is closed already.
	_ = c.Close()
}

// writeRequest writes a large request and sends the result to done. It runs in its own goroutine while the response is
// read, because an endpoint may respond before it has read the whole request.
func (c *conn) writeRequest(buffers net.Buffers, done chan<- error) {
	_, err := buffers.WriteTo(c.Conn)
	done <- err
}

// isIdle reports whether an idle connection is still open and has no unread bytes. Unread bytes belong to no request,
// so they would be taken for the response to the next one. The check peeks at the socket without blocking.
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
