package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	headerID   = "X-Pistachiovane-Attempt-Id"
	headerSeal = "X-Pistachiovane-Server-Seal"
)

// request is a request of a client, and what became of it.
type request struct {
	id, method, path, gateway string
	// promptTokens and outputTokens are zero for requests to the plain service.
	promptTokens, outputTokens int
	budget                     time.Duration
	body                       string
	// uploadTime is how long the client takes to send the body.
	uploadTime time.Duration
	// patience is how long the client waits for an answer, if it is set.
	patience time.Duration

	headSentAt, lastByteAt, endedAt time.Time
	// status is zero if there was no answer, and complete is set if its body was whole.
	status   int
	complete bool
	events   int
	err      error
}

// newRequest returns a request with an ID of its own.
func newRequest(name, method, path string) *request {
	return &request{id: fmt.Sprintf("%s-%d", name, nextNumber.Add(1)), method: method, path: path, budget: 4 * time.Second}
}

// channel is a client's connection to a gateway, kept for several requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	record *record
	// closing is set once the gateway has said that it closes the channel.
	closing bool
}

// open opens a channel to the front address of a gateway.
func open(gateway string, rec *record) (*channel, error) {
	c, err := net.DialTimeout("tcp", gateway+":8360", time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, reader: bufio.NewReader(c), record: rec}, nil
}

// do sends a request and reads its answer. It returns when the answer or the channel has ended, or the time budget.
func (c *channel) do(r *request) *request {
	defer func() {
		r.endedAt = time.Now()
		c.record.printf("client: request %s ends: status %d, complete %t, %d events, %.3f s after its last byte, error %v",
			r.id, r.status, r.complete, r.events, r.endedAt.Sub(r.lastByteAt).Seconds(), r.err)
	}()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", r.method, r.path, host, headerID, r.id)
	fmt.Fprintf(&head, "X-Pistachiovane-Credential: %s\r\nX-Pistachiovane-Time-Budget-Ms: %d\r\n", apiKey, r.budget.Milliseconds())
	if r.promptTokens > 0 {
		fmt.Fprintf(&head, "X-Pistachiovane-Model: m\r\nX-Pistachiovane-Token-Counts: %d,%d\r\n", r.promptTokens, r.outputTokens)
		fmt.Fprintf(&head, "X-Pistachiovane-Prompt-Prefix: 5c1e07a2:200,%x:%d\r\n", time.Now().UnixNano(), r.promptTokens-200)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n")
	r.headSentAt = time.Now()
	_ = c.conn.SetDeadline(r.headSentAt.Add(r.budget))
	if r.err = c.send(head.String(), r); r.err != nil {
		return r
	}
	r.lastByteAt = time.Now()
	c.record.printf("client: request %s is sent whole", r.id)
	if r.patience > 0 {
		_ = c.conn.SetReadDeadline(r.lastByteAt.Add(r.patience))
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = answer.Body.Close() }()
	_ = c.conn.SetReadDeadline(r.headSentAt.Add(r.budget))
	r.status, c.closing = answer.StatusCode, answer.Close
	body, err := io.ReadAll(answer.Body)
	r.events = strings.Count(string(body), "\n\n")
	r.complete, r.err = err == nil, err
	return r
}

// send sends the head and then the body, evenly over the upload time.
func (c *channel) send(head string, r *request) error {
	const pieces = 20
	if r.uploadTime == 0 {
		_, err := io.WriteString(c.conn, head+r.body)
		return err
	}
	c.record.printf("client: request %s begins: %d bytes in %.2f s", r.id, len(r.body), r.uploadTime.Seconds())
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	for i := range pieces {
		time.Sleep(time.Until(r.headSentAt.Add(r.uploadTime * time.Duration(i+1) / pieces)))
		if _, err := io.WriteString(c.conn, r.body[len(r.body)*i/pieces:len(r.body)*(i+1)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

func (c *channel) close() {
	_ = c.conn.Close()
}
