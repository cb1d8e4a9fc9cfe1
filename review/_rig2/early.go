package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["early"] = playEarly }

// playEarly: a replica answers long requests before it has read them, without a length, and resets some of the channels midway.
func playEarly(r *rig) bool {
	r.store.put("op/config", fmt.Appendf(nil, config, 3, `"`+key+`"`))
	var replicas []*replica
	faulty := 0
	var mu sync.Mutex
	for i := range 7 {
		p := newReplica(r.store, r.ip(50+i), fmt.Sprintf("i-%07x", 0x7f3a910+i), "app", fmt.Sprintf("zone-%c", 'a'+i), 6, 40*time.Millisecond, 32<<10)
		p.answer = func(c net.Conn, head *http.Request, body io.Reader) (bool, bool) {
			id := head.Header.Get("X-Pistachiovane-Attempt-Id")
			whole := p.body(id)
			lines := "X-Pistachiovane-Attempt-Id: " + id + "\r\n" + p.sealLine()
			// It answers once it has read the first part of the request.
			if _, err := io.CopyN(io.Discard, body, 64<<10); err != nil {
				return true, false
			}
			resets := r.trouble && i == 0 && rand.Float64() < 0.4
			part := whole
			if resets {
				part = whole[:400]
				mu.Lock()
				faulty++
				mu.Unlock()
				r.note("%s answers %s early, without a length, and resets the channel after %d of %d bytes", p.id, id, len(part), len(whole))
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", lines, part); err != nil {
				return true, false
			}
			time.Sleep(50 * time.Millisecond)
			if resets {
				_ = c.(*net.TCPConn).SetLinger(0)
				return true, false
			}
			_, _ = io.Copy(io.Discard, body)
			return true, false
		}
		replicas = append(replicas, p)
	}
	g := r.newGateways(1)[0]
	g.start()
	g.awaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	body := make([]byte, 4_000_000)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	broken, whole, failed, total := 0, 0, 0, 120
	for i := range total {
		q := request{id: fmt.Sprintf("e%07x", i), method: http.MethodPost, path: "/book/1", key: key, body: string(body), budget: 4 * time.Second}
		res := q.send(g)
		switch {
		case res.status == 200 && res.bodyErr == nil && len(res.body) < 800:
			broken++
			r.note("client of %s: 200, MAC %q, %d bytes of 800, and the channel ends in order: looks whole (marked %v)", q.id, res.seal, len(res.body), res.marked)
		case res.status == 200 && res.bodyErr == nil:
			whole++
		default:
			failed++
			r.note("client of %s: status %d, %d bytes, error %v %v", q.id, res.status, len(res.body), res.err, res.bodyErr)
		}
	}
	r.note("%d requests, %d answers whole, %d resets; %d seen as broken, %d seen as whole though they are not", total, whole, faulty, failed, broken)
	if whole < total/2 || (r.trouble && faulty == 0) {
		cannotRun("too few answers")
	}
	return broken > 0
}
