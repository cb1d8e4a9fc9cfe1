package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drill"] = playDrill }

// playDrill: the store is away for a second and comes back from a copy 8 s old. A replica leaves later.
func playDrill(r *rig) bool {
	r.store.put("op/config", fmt.Appendf(nil, config, 3, `"`+key+`"`))
	var replicas []*replica
	for i := range 4 {
		time.Sleep(heartbeat / 4)
		replicas = append(replicas, newReplica(r.store, r.ip(50+i), fmt.Sprintf("i-%07x", 0x7f3a910+i), "app", fmt.Sprintf("zone-%c", 'a'+i), 6, 200*time.Millisecond, 0))
	}
	for _, g := range r.newGateways(2) {
		g.start()
	}
	for _, g := range r.gateways {
		g.awaitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	r.note("all are ready; the store is at revision %d", r.store.currentRevision())
	taken := r.store.takeCopy()
	var sent sync.WaitGroup
	var mu sync.Mutex
	results := map[string]result{}
	stop := make(chan struct{})
	for n, g := range r.gateways {
		sent.Add(1)
		go func() {
			defer sent.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				sent.Add(1)
				go func() {
					defer sent.Done()
					q := request{id: fmt.Sprintf("%04x%04x", n, i), method: http.MethodPost, path: "/book/1", key: key, body: "rack 7", budget: 4 * time.Second}
					res := q.send(g)
					mu.Lock()
					results[q.id] = res
					mu.Unlock()
				}()
			}
		}()
	}
	time.Sleep(7 * time.Second)
	lost := r.store.currentRevision()
	if r.trouble {
		r.store.setDown(true)
		r.note("the store goes away at revision %d", lost)
		time.Sleep(time.Second)
		r.store.restore(taken)
		r.store.setDown(false)
		r.note("the store is back from a copy %.1f s old, of revision %d; the era rises", time.Since(taken.takenAt).Seconds(), taken.revision)
	} else {
		time.Sleep(time.Second)
	}
	backAt := time.Now()
	for _, p := range replicas {
		p.beat() // what the replicas wrote is written again
	}
	time.Sleep(time.Until(backAt.Add(contactTime + 500*time.Millisecond)))
	leaving := replicas[1]
	revision := leaving.unlist()
	confirmedAt := time.Now()
	r.note("the entry of %s is removed, confirmed at revision %d, %.1f s after the return; it goes on serving", leaving.id, revision,
		confirmedAt.Sub(backAt).Seconds())
	time.Sleep(10 * time.Second)
	leaving.crash()
	exitedAt := time.Now()
	r.note("%s exits, %.1f s after its entry was removed", leaving.id, exitedAt.Sub(confirmedAt).Seconds())
	time.Sleep(2 * time.Second)
	close(stop)
	sent.Wait()
	late, total, last := 0, 0, time.Duration(0)
	for _, a := range leaving.seen() {
		res, known := results[a.id]
		if !known || res.sentAt.Before(confirmedAt) {
			continue
		}
		total++
		if res.sentAt.Sub(confirmedAt) > drainTime && a.at.Sub(confirmedAt) > drainTime {
			late++
			if late <= 5 {
				r.note("request %s, sent %.3f s after the confirmation, reaches %s after %.3f s and runs", a.id, res.sentAt.Sub(confirmedAt).Seconds(), a.replica,
					a.at.Sub(confirmedAt).Seconds())
			}
			last = max(last, a.at.Sub(confirmedAt))
		}
	}
	served, unserved := 0, 0
	for _, res := range results {
		if res.status == http.StatusOK {
			served++
		} else if res.sentAt.Sub(confirmedAt) > drainTime {
			unserved++
			r.note("client of %s: status %d, error %v %v", res.id, res.status, res.err, res.bodyErr)
		}
	}
	r.note("%d requests sent, %d answered with success; %d reached %s after the confirmation, %d of them sent later than drain_ms after it, the last %.1f s after it; %d sent later than drain_ms after it have no success",
		len(results), served, total, leaving.id, late, last.Seconds(), unserved)
	if served < len(results)*9/10 {
		cannotRun("only %d of %d requests were served", served, len(results))
	}
	return late > 0
}
