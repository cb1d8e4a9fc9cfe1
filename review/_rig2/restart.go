package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["restart"] = playRestart }

// playRestart: a replica starts again under its id and turns requests away with Retry-After until it is warm. Its entry shows the new
// start a second later.
func playRestart(r *rig) bool {
	r.store.put("op/config", fmt.Appendf(nil, config, 3, `"`+key+`"`))
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, newReplica(r.store, r.ip(50+i), fmt.Sprintf("i-%07x", 0x7f3a910+i), "app", fmt.Sprintf("zone-%c", 'a'+i), 12, 40*time.Millisecond, 0))
	}
	g := r.newGateways(1)[0]
	g.start()
	g.awaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	n, served, total := 0, 0, 0
	play := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			for _, res := range clump(g, 28, func() request {
				n++
				return request{id: fmt.Sprintf("c%07x", n), method: http.MethodGet, path: "/read/1", key: key, budget: 4 * time.Second}
			}) {
				total++
				if res.status == 200 {
					served++
				}
			}
		}
	}
	play(3 * time.Second)
	x := replicas[0]
	const warm = 8 * time.Second
	if r.trouble {
		x.crash()
		time.Sleep(100 * time.Millisecond)
		x = x.startAgain(1200 * time.Millisecond)
		r.note("%s has started again under its id; it writes its entry in 1.2 s, and is warm in %v", x.id, warm)
	}
	x.mu.Lock()
	x.pausedUntil = time.Now().Add(warm)
	x.mu.Unlock()
	play(warm + time.Second)
	var first time.Time
	late := 0
	for _, a := range x.seen() {
		if a.ran {
			continue
		}
		if first.IsZero() {
			first = a.at
			r.note("%.3f s: %s answers %s with 503 and Retry-After: %.1f", a.at.Sub(r.started).Seconds(), x.id, a.id, x.pausedUntil.Sub(a.at).Seconds())
			continue
		}
		if a.at.Sub(first) > 500*time.Millisecond && a.at.Before(x.pausedUntil) {
			late++
			r.note("%.3f s: %s reaches %s, %.3f s after that answer", a.at.Sub(r.started).Seconds(), a.id, x.id, a.at.Sub(first).Seconds())
		}
	}
	r.note("%d requests, %d served; %d reached %s between half a second after its 503 with Retry-After and the end of that time", total, served, late, x.id)
	if first.IsZero() || served < total*9/10 {
		cannotRun("no request was turned away, or too few were served")
	}
	return late > 2
}
