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

// startServer answers each request on a connection with the next text; an empty text closes it.
func startServer(t *testing.T, responses ...string) (address string, conns *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = new(int)
	pending := make(chan string, len(responses))
	for _, a := range responses {
		pending <- a
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

func sendRequest(t *testing.T, e *exchanger.Exchanger, address string) (string, error) {
	t.Helper()
	head := &http.Request{Method: http.MethodPost, RequestURI: "/a?b", Host: "h", Header: http.Header{}}
	matches := func(h http.Header) bool { return h.Get("Id") == "1" }
	response, err := e.Do(context.Background(), address, exchanger.Request{Head: head, Body: []byte("body"), MatchesResponse: matches})
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

func TestIdleConnectionIsReused(t *testing.T) {
	address, conns := startServer(t, okResponse, okResponse)
	e := newExchanger()
	for range 2 {
		if got, err := sendRequest(t, e, address); err != nil || got != "good" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if *conns != 1 {
		t.Errorf("%d connections were opened, want 1", *conns)
	}
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := startServer(t, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nstray"+okResponse)
	if got, err := sendRequest(t, newExchanger(), address); err != nil || got != "good" {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	address, conns := startServer(t, okResponse+okResponse, okResponse)
	e := newExchanger()
	for range 2 {
		if got, err := sendRequest(t, e, address); err != nil || got != "good" {
			t.Fatalf("got %q, %v", got, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if *conns != 2 {
		t.Errorf("%d connections were opened, want 2: the first had bytes that belong to no request", *conns)
	}
}

func TestConnectionOfUnframedResponseIsNotReused(t *testing.T) {
	address, conns := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nunframed", okResponse)
	e := newExchanger()
	if got, err := sendRequest(t, e, address); err != nil || got != "unframed" {
		t.Fatalf("got %q, %v", got, err)
	}
	if _, err := sendRequest(t, e, address); err != nil || *conns != 2 {
		t.Errorf("%d connections, %v", *conns, err)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	address, _ := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nunframed")
	if got, err := sendRequest(t, newExchanger(), address); err == nil {
		t.Errorf("a cut answer was read as %q", got)
	}
}

func TestFailureReportsWhetherRequestWasSent(t *testing.T) {
	address, _ := startServer(t, "")
	_, err := sendRequest(t, newExchanger(), address)
	var f *exchanger.Failure
	if !errors.As(err, &f) || f.SendState != exchanger.PossiblySent {
		t.Errorf("got %v, want a request that may have run", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := l.Addr().String()
	_ = l.Close()
	_, err = sendRequest(t, newExchanger(), closedAddress)
	if !errors.As(err, &f) || f.SendState != exchanger.NotSent {
		t.Errorf("got %v, want a request that was not sent", err)
	}
}

func TestContextTimeoutEndsExchange(t *testing.T) {
	address, _ := startServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	head := &http.Request{Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{}}
	if _, err := newExchanger().Do(ctx, address, exchanger.Request{Head: head}); err == nil {
		t.Fatal("an answer came from nowhere")
	}
	if elapsed := time.Since(startedAt); elapsed > 5*time.Second {
		t.Errorf("the exchange ended after %v", elapsed)
	}
}
