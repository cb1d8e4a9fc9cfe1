// Package flooder is a server in trouble: it sends bytes without end in place of an answer. Tests use it to see how much of them
// a client reads.
package flooder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// chunkBytes is the least number of bytes that are sent at once.
const chunkBytes = 64 << 10

// Flooder answers the first request on its first connection with a start and then fillers, until the connection is closed or
// maxBytes are sent.
type Flooder struct {
	listener net.Listener
	start    string
	filler   func(n int) string
	maxBytes int
	// sent receives the number of bytes that were sent once no more are.
	sent chan int
}

// New starts a Flooder on a free port of the loopback interface. filler returns the filler with a number, from 0. Close must be
// called. New fails if there is no free port.
func New(start string, filler func(n int) string, maxBytes int) (*Flooder, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start flooder")
	}
	f := &Flooder{listener: l, start: start, filler: filler, maxBytes: maxBytes, sent: make(chan int, 1)}
	go f.run()
	return f, nil
}

// Repeat returns fillers that are all the same.
func Repeat(text string) func(n int) string {
	return func(int) string { return text }
}

// Address returns the host and port of the Flooder.
func (f *Flooder) Address() string {
	return f.listener.Addr().String()
}

// Sent receives the number of bytes that were sent once no more are. A client that reads on until maxBytes has no limit.
func (f *Flooder) Sent() <-chan int {
	return f.sent
}

// Close closes the port.
func (f *Flooder) Close() {
	_ = f.listener.Close()
}

// run serves the first connection.
func (f *Flooder) run() {
	c, err := f.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	total, err := io.WriteString(c, f.start)
	for number := 0; err == nil && total < f.maxBytes; {
		var chunk strings.Builder
		for chunk.Len() < chunkBytes {
			chunk.WriteString(f.filler(number))
			number++
		}
		var n int
		n, err = io.WriteString(c, chunk.String())
		total += n
	}
	f.sent <- total
}
