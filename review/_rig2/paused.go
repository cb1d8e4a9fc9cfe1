package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["paused"] = playPaused }

// playPaused: a replica that runs requests turns one away with Retry-After, and crashes. Its answers have no length.
func playPaused(r *rig) bool {
	r.store.put("op/config", fmt.Appendf(nil, config, 3, `"`+key+`"`))
	var replicas []*replica
	for i := range 7 {
		p := newReplica(r.store, r.ip(50+i), fmt.Sprintf("i-%07x", 0x7f3a910+i), "app", fmt.Sprintf("zone-%c", 'a'+i), 6, 40*time.Millisecond, 0)
		p.answer = func(c net.Conn, head *http.Request, body io.Reader) (bool, bool) {
			id := head.Header.Get("X-Pistachiovane-Attempt-Id")
			whole := p.body(id)
			if _, err := io.Copy(io.Discard, body); err != nil {
				return true, false
			}
			time.Sleep(p.work)
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Pistachiovane-Attempt-Id: %s\r\n%s\r\n%s", id, p.sealLine(), whole[:400]); err != nil {
				return true, false
			}
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(c, whole[400:])
			return true, false
		}
		replicas = append(replicas, p)
	}
	g := r.newGateways(1)[0]
	g.start()
	g.awaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	n := 0
	next := func() request {
		n++
		return request{id: fmt.Sprintf("b%07x", n), method: http.MethodPost, path: "/book/1", key: key, body: "rack 7", budget: 4 * time.Second}
	}
	for range 3 {
		for _, res := range clump(g, 14, next) {
			if res.status != 200 || len(res.body) != 800 {
				cannotRun("an answer is wrong before the disruption: %d, %d bytes", res.status, len(res.body))
			}
		}
	}
	x := replicas[0]
	var all []result
	var mu sync.Mutex
	var done sync.WaitGroup
	send := func(count int) {
		done.Add(1)
		go func() {
			defer done.Done()
			results := clump(g, count, next)
			mu.Lock()
			all = append(all, results...)
			mu.Unlock()
		}()
	}
	send(18)
	time.Sleep(100 * time.Millisecond)
	x.mu.Lock()
	x.turnAway = 5 * time.Second
	x.mu.Unlock()
	send(12)
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		x.crash()
		r.note("%s crashes", x.id)
	}
	done.Wait()
	told := 0
	for _, a := range x.seen() {
		if !a.ran {
			told++
			r.note("%s has turned %s away with 503 and Retry-After: 5", x.id, a.id)
		}
	}
	broken, whole := 0, 0
	for _, res := range all {
		switch {
		case res.status == 200 && res.bodyErr == nil && len(res.body) < 800:
			broken++
			r.note("client of %s: 200, MAC %q, %d bytes of 800, and the channel ends in order: looks whole", res.id, res.seal, len(res.body))
		case res.status == 200 && res.bodyErr == nil:
			whole++
		default:
			r.note("client of %s: status %d, %d bytes, error %v %v", res.id, res.status, len(res.body), res.err, res.bodyErr)
		}
	}
	r.note("%d requests, %d answers whole, %d ended early and look whole", len(all), whole, broken)
	if told == 0 {
		cannotRun("no request was turned away")
	}
	return broken > 0
}
