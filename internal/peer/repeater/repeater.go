// Package repeater is an HTTP server for tests that sends the previous answer once more on each kept connection, once the
// next request has arrived.
package repeater

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Answer is the answer to one request. Header holds header lines, each with its line end.
type Answer struct {
	Header string
	Body   string
}

// Repeater is such a server. It is safe for concurrent use.
type Repeater struct {
	listener net.Listener
	answerOf func(r *http.Request, number int) Answer

	// mu guards the field below.
	mu sync.Mutex
	// requests is the number of requests so far.
	requests int
}

// New starts a Repeater on a free port of 127.0.0.1. answerOf returns the answer to a request; number counts the requests
// of all connections from zero.
func New(answerOf func(r *http.Request, number int) Answer) (*Repeater, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Repeater{listener: l, answerOf: answerOf}
	go r.loop()
	return r, nil
}

// Address returns the ip:port of the server.
func (r *Repeater) Address() string {
	return r.listener.Addr().String()
}

// Close closes the listener.
func (r *Repeater) Close() {
	_ = r.listener.Close()
}

// loop serves connections until the listener is closed.
func (r *Repeater) loop() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve answers the requests of one connection.
func (r *Repeater) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader, previous := bufio.NewReader(c), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := r.next(request)
		if _, err := io.WriteString(c, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

// next returns the answer to the next request as it is sent.
func (r *Repeater) next(request *http.Request) string {
	r.mu.Lock()
	number := r.requests
	r.requests++
	r.mu.Unlock()
	a := r.answerOf(request, number)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(a.Body), a.Header, a.Body)
}
