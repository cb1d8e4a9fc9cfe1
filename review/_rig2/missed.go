package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["missed"] = playMissed }

// playMissed: the store comes back from a copy 8 s old and rejects one machine for 9 s. A configuration is written meanwhile.
func playMissed(r *rig) bool {
	write := func(version int, service string) {
		revision, ok := r.store.put("op/config", fmt.Appendf(nil, config2, version, service))
		if !ok {
			cannotRun("the store did not take version %d", version)
		}
		r.note("version %d, in which the route leads to %s, is confirmed at revision %d", version, service, revision)
	}
	write(3, "app")
	var replicas []*replica
	for i := range 4 {
		time.Sleep(heartbeat / 4)
		service := "app"
		if i >= 2 {
			service = "app-2"
		}
		replicas = append(replicas, newReplica(r.store, r.ip(50+i), fmt.Sprintf("i-%07x", 0x7f3a910+i), service, fmt.Sprintf("zone-%c", 'a'+i), 6, 40*time.Millisecond, 0))
	}
	for _, g := range r.newGateways(3) {
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
	by := map[string]*gateway{}
	stop := make(chan struct{})
	for n, g := range r.gateways {
		sent.Add(1)
		go func() {
			defer sent.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				sent.Add(1)
				go func() {
					defer sent.Done()
					q := request{id: fmt.Sprintf("%04x%04x", n, i), method: http.MethodGet, path: "/read/1", key: key, budget: 4 * time.Second}
					res := q.send(g)
					mu.Lock()
					results[q.id], by[q.id] = res, g
					mu.Unlock()
				}()
			}
		}()
	}
	time.Sleep(7 * time.Second)
	lost := r.store.currentRevision()
	b := r.gateways[2]
	if r.trouble {
		r.store.setDown(true)
		r.note("the store goes away at revision %d", lost)
		time.Sleep(time.Second)
		r.store.restore(taken)
		r.store.reject(b.store, true)
		r.store.setDown(false)
		r.note("the store is back from a copy %.1f s old, of revision %d; the era rises; it rejects %s with 503", time.Since(taken.takenAt).Seconds(), taken.revision, b.name)
	} else {
		time.Sleep(time.Second)
	}
	backAt := time.Now()
	for _, p := range replicas {
		p.beat()
	}
	time.Sleep(time.Until(backAt.Add(contactTime)))
	write(4, "app-2")
	time.Sleep(time.Until(backAt.Add(9 * time.Second)))
	r.store.reject(b.store, false)
	calmAt := time.Now()
	r.note("the store serves %s again, at revision %d", b.name, r.store.currentRevision())
	// The machine is in touch after contact_ms, and the version is in force.
	time.Sleep(contactTime + 2*time.Second + 6*time.Second)
	r.noteReadiness()
	close(stop)
	sent.Wait()
	stale, right, total := map[string]int{}, map[string]int{}, 0
	for i, p := range replicas {
		for _, a := range p.seen() {
			res, known := results[a.id]
			if !known || res.sentAt.Before(calmAt.Add(contactTime+2*time.Second)) || !a.ran {
				continue
			}
			total++
			if i < 2 {
				stale[by[a.id].name]++
			} else {
				right[by[a.id].name]++
			}
		}
	}
	served := 0
	for _, res := range results {
		if res.status == http.StatusOK {
			served++
		}
	}
	broken := 0
	for _, g := range r.gateways {
		r.note("%s, from contact_ms + config_apply_ms after the rejection: %d requests run by the old service, %d by the new one", g.name, stale[g.name], right[g.name])
		broken += stale[g.name]
	}
	r.note("%d requests sent, %d served", len(results), served)
	if served < len(results)/2 || total == 0 {
		cannotRun("too few requests were served")
	}
	return broken > 0
}

// config2 is a configuration with two services. Its arguments are the version and the service of the route.
const config2 = `{"version":%d,"routes":[
 {"name":"read","host":"app.example","prefix":"/read/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"%s","max_attempts":2,"skip_auth":false,"use_affinity":false}],
 "services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","use_tls":false},{"name":"app-2","health_path":"/healthz","max_conns":96,"protocol":"h1","use_tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"tenant","api_keys":["` + key + `"],"priority":1,"unit":"token_stream","plain_tokens":200,"rate_per_s":117482,"burst":117482}]}`
