package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
)

// startServer answers each request with the next of the given responses, over all connections. An empty response closes
// the connection. conns counts the accepted connections.
func startServer(t *testing.T, responses ...string) (address string, conns *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = new(int)
	pending := make(chan string, len(responses))
	for _, response := range responses {
		pending <- response
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			*conns++
			go serveConn(c, pending)
		}
	}()
	return l.Addr().String(), conns
}

// serveConn answers the requests on a connection. After a response that ends in "unframed" it closes the connection.
func serveConn(c net.Conn, responses <-chan string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response := <-responses
		if response == "" {
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
		if strings.HasSuffix(response, "unframed") {
			return
		}
	}
}

// sendRequest sends a request that takes only responses with "Id: 1", and returns the body of the response.
func sendRequest(t *testing.T, e *exchanger.Exchanger, address string) (string, error) {
	t.Helper()
	head := &http.Request{Method: http.MethodPost, RequestURI: "/a?b", Host: "h", Header: http.Header{}}
	matches := func(h http.Header) bool { return h.Get("Id") == "1" }
	response, err := e.Do(context.Background(), address, exchanger.Request{
		Head: head, Body: []byte("body"), MatchesResponse: matches,
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	b, err := io.ReadAll(response)
	return string(b), err
}

func newExchanger() *exchanger.Exchanger {
	return exchanger.New(exchanger.Options{DialTimeout: time.Second, IdleTimeout: time.Second}, clock.SinceBoot)
}

const okResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ngood"

// Guards against opening a new connection for each request. A completely read response leaves the connection reusable.
func TestIdleConnectionIsReused(t *testing.T) {
	address, conns := startServer(t, okResponse, okResponse)
	e := newExchanger()
	for range 2 {
		if got, err := sendRequest(t, e, address); err != nil || got != "good" {
			t.Fatalf("got body %q and error %v, want \"good\" and no error", got, err)
		}
	}
	if *conns != 1 {
		t.Errorf("got %d opened connections, want 1", *conns)
	}
}

// Guards against delivering a response to the wrong request: an endpoint sends a response to another request first, on
// the same connection.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := startServer(t, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nstray"+okResponse)
	if got, err := sendRequest(t, newExchanger(), address); err != nil || got != "good" {
		t.Fatalf("got body %q and error %v, want \"good\" and no error", got, err)
	}
}

// Guards against delivering a surplus response to the next request. The endpoint sends two responses to one request.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	address, conns := startServer(t, okResponse+okResponse, okResponse)
	e := newExchanger()
	for range 2 {
		if got, err := sendRequest(t, e, address); err != nil || got != "good" {
			t.Fatalf("got body %q and error %v, want \"good\" and no error", got, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if *conns != 2 {
		t.Errorf("got %d opened connections, want 2: the first one has unread bytes", *conns)
	}
}

// Guards against reusing a connection whose response has neither a length nor chunked encoding. Such a response ends
// with the connection.
func TestConnectionOfUnframedResponseIsNotReused(t *testing.T) {
	address, conns := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nunframed", okResponse)
	e := newExchanger()
	if got, err := sendRequest(t, e, address); err != nil || got != "unframed" {
		t.Fatalf("got body %q and error %v, want \"unframed\" and no error", got, err)
	}
	if _, err := sendRequest(t, e, address); err != nil || *conns != 2 {
		t.Errorf("got %d opened connections and error %v, want 2 and no error", *conns, err)
	}
}

// Guards against taking a truncated body for a complete one. The connection closes before the announced length.
func TestTruncatedResponseIsAnError(t *testing.T) {
	address, _ := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nunframed")
	if got, err := sendRequest(t, newExchanger(), address); err == nil {
		t.Errorf("got body %q of a truncated response, want an error", got)
	}
}

// A connection that ended inside a line of the head or of the trailer was reported as a malformed line, so that a crash did
// not look like one (found by drawn exchanges).
func TestConnectionThatEndsInsideLineLooksMalformed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for n := range len(head) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, head[:n])
			_ = c.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // a TCP listener accepts these
		}()
		_, err = sendRequest(t, newExchanger(), l.Addr().String())
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("after %q: got error %v, want the end of the connection", head[:n], err)
		}
		_ = l.Close()
	}
}

// Guards against a wrong send state. A request that was possibly sent may have run, so retrying it could run it twice.
// The first endpoint closes the connection after reading the request; the second one does not listen.
func TestFailureReportsWhetherRequestWasSent(t *testing.T) {
	address, _ := startServer(t, "")
	_, err := sendRequest(t, newExchanger(), address)
	var f *exchanger.Failure
	if !errors.As(err, &f) || f.SendState != exchanger.PossiblySent {
		t.Errorf("got error %v, want a failure with state PossiblySent", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := l.Addr().String()
	_ = l.Close()
	_, err = sendRequest(t, newExchanger(), closedAddress)
	if !errors.As(err, &f) || f.SendState != exchanger.NotSent {
		t.Errorf("got error %v, want a failure with state NotSent", err)
	}
}

// Guards against an exchange that goes on after its context has ended. The endpoint keeps the connection open and sends
// nothing.
func TestContextTimeoutEndsExchange(t *testing.T) {
	address, _ := startServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	head := &http.Request{Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{}}
	if _, err := newExchanger().Do(ctx, address, exchanger.Request{Head: head}); err == nil {
		t.Fatal("got a response from a silent endpoint, want an error")
	}
	if elapsed := time.Since(startedAt); elapsed > 5*time.Second {
		t.Errorf("the exchange ended after %v, want at most 5s", elapsed)
	}
}
