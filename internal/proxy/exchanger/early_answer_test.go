package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
)

// wholeAnswer is the body that an early server answers with.
var wholeAnswer = strings.Repeat("0123456789", 80)

// earlyServer answers requests before it has read their bodies.
type earlyServer struct {
	// bufferBytes is the size of its receive buffer, or zero for the usual one.
	bufferBytes int
	// head holds further header lines, and sent how much of the answer it sends.
	head string
	sent int
	// end ends the connection after the answer. body is the rest of the request's body.
	end func(c *net.TCPConn, body io.Reader)
}

// start starts the server and returns its address.
func (s earlyServer) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn)) //nolint:forcetypeassert // a TCP listener accepts TCP connections
		}
	}()
	return l.Addr().String()
}

// serve answers one request once it has read the first part of its body.
func (s earlyServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	if s.bufferBytes > 0 {
		_ = c.SetReadBuffer(s.bufferBytes)
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, 8<<10); err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\n%s", s.head, wholeAnswer[:s.sent])
	time.Sleep(20 * time.Millisecond)
	s.end(c, r.Body)
}

// reset resets the connection.
func reset(c *net.TCPConn, _ io.Reader) {
	_ = c.SetLinger(0)
}

// readRest reads the rest of the request first.
func readRest(_ *net.TCPConn, body io.Reader) {
	_, _ = io.Copy(io.Discard, body)
}

// readRestAfterEnd ends the answer, and then reads the rest of the request.
func readRestAfterEnd(c *net.TCPConn, body io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	_, _ = io.Copy(io.Discard, body)
}

// exchangeBody sends a body of some bytes and returns the body of the answer.
func exchangeBody(t *testing.T, address string, bytes int) (string, error) {
	t.Helper()
	e := exchanger.New(exchanger.Options{DialTimeout: time.Second, IdleTimeout: time.Second}, clock.SinceBoot)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	head := &http.Request{Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}}
	response, err := e.Do(ctx, address, exchanger.Request{Head: head, Body: make([]byte, bytes)})
	if err != nil {
		return "", err
	}
	defer response.Close()
	b, err := io.ReadAll(response)
	return string(b), err
}

// bodySizes are sizes of requests, from one segment to the largest that a configuration may allow.
var bodySizes = []int{9 << 10, 17 << 10, 64 << 10, 300 << 10, 1 << 20, 4_000_000, 4_194_304}

// An endpoint may answer before it has read a long request. When it resets the connection then, the blocked write learns of it and
// the read sees an ordinary end, so that half an answer without a length looked whole (review/7).
func TestResetWhileRequestIsWrittenLooksLikeEnd(t *testing.T) {
	for _, bufferBytes := range []int{0, 4 << 10, 32 << 10} {
		address := earlyServer{bufferBytes: bufferBytes, sent: 400, end: reset}.start(t)
		for _, bytes := range bodySizes {
			for range 5 {
				if body, err := exchangeBody(t, address, bytes); err == nil {
					t.Errorf("request of %d bytes, receive buffer of %d: got %d bytes of an answer of %d as a whole one", bytes, bufferBytes, len(body), len(wholeAnswer))
				}
			}
		}
	}
}

// Early answers that are whole must reach the caller: those that mark their end, whatever becomes of the connection, and those whose
// endpoint has read the request.
func TestWholeEarlyAnswerIsTakenForBroken(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(wholeAnswer))
	for name, server := range map[string]earlyServer{
		"length, reset":               {head: length, sent: len(wholeAnswer), end: reset},
		"length, rest is read":        {head: length, sent: len(wholeAnswer), end: readRest},
		"no length, rest is read":     {sent: len(wholeAnswer), end: readRest},
		"no length, half of it first": {sent: len(wholeAnswer), end: readRestAfterEnd},
	} {
		t.Run(name, func(t *testing.T) {
			address := server.start(t)
			for _, bytes := range bodySizes {
				if body, err := exchangeBody(t, address, bytes); err != nil || body != wholeAnswer {
					t.Errorf("request of %d bytes: got %d bytes and error %v, want the whole answer", bytes, len(body), err)
				}
			}
		})
	}
}
