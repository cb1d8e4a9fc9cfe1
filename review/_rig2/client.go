package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client, on a channel of its own.
type request struct {
	id, method, path, body, key string
	budget                      time.Duration
	// headers are further header lines, each with its line end.
	headers string
	sentAt  time.Time
}

// result is what the client has seen of the answer.
type result struct {
	request
	status   int
	seal     string
	retry    string
	body     string
	header   http.Header
	marked   bool
	err      error
	bodyErr  error
	answered time.Duration
}

// send sends a request to a gateway and reads the answer to its end.
func (q request) send(g *gateway) (r result) {
	r.request = q
	r.sentAt = time.Now()
	defer func() {
		current.trace(r.sentAt, "sent %s %s to %s: answered %d after %d ms, MAC %q, %d bytes, errors %v %v", q.id, q.method, g.name, r.status,
			r.answered.Milliseconds(), r.seal, len(r.body), r.err, r.bodyErr)
	}()
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.budget + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\nX-Pistachiovane-Attempt-Id: %s\r\n"+
		"X-Pistachiovane-Time-Budget-Ms: %d\r\nX-Pistachiovane-Credential: %s\r\n%s",
		q.method, q.path, q.id, q.budget.Milliseconds(), q.key, q.headers)
	if q.body != "" || q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	go func() { _, _ = io.WriteString(c, head+"\r\n"+q.body) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		r.err, r.answered = err, time.Since(r.sentAt)
		return r
	}
	r.status, r.seal, r.retry, r.header = resp.StatusCode, resp.Header.Get("X-Pistachiovane-Server-Seal"), resp.Header.Get("Retry-After"), resp.Header
	r.marked = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	r.body, r.bodyErr, r.answered = string(b), err, time.Since(r.sentAt)
	return r
}
