package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["newcomer"] = playNewcomer }

// playNewcomer: a key is taken away; 9 s later the store comes back from a copy that still holds it. A machine that starts then reads it,
// though the others tell it of the newer version. The operator writes the version again 4 s after the return.
func playNewcomer(r *rig) bool {
	const taken, kept = "9wu3feq3zji9n73hh2b9", key
	write := func(version int, keys string) {
		revision, ok := r.store.put("op/config", fmt.Appendf(nil, config, version, keys))
		if !ok {
			cannotRun("the store did not take version %d", version)
		}
		r.note("version %d with the keys %s is confirmed at revision %d", version, keys, revision)
	}
	both, one := `"`+kept+`","`+taken+`"`, `"`+kept+`"`
	write(3, both)
	var replicas []*replica
	for i := range 4 {
		time.Sleep(heartbeat / 4)
		replicas = append(replicas, newReplica(r.store, r.ip(50+i), fmt.Sprintf("i-%07x", 0x7f3a910+i), "app", fmt.Sprintf("zone-%c", 'a'+i), 6, 20*time.Millisecond, 0))
	}
	gateways := r.newGateways(3)
	for _, g := range gateways[:2] {
		g.start()
	}
	for _, g := range gateways[:2] {
		g.awaitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	storeCopy := r.store.takeCopy()
	time.Sleep(200 * time.Millisecond)
	write(4, one)
	withdrawnAt := time.Now()
	time.Sleep(8500 * time.Millisecond)
	if r.trouble {
		r.store.setDown(true)
		r.note("the store goes away")
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.store.restore(storeCopy)
		r.store.setDown(false)
		r.note("the store is back from a copy %.1f s old", time.Since(storeCopy.takenAt).Seconds())
	}
	backAt := time.Now()
	for _, p := range replicas {
		p.beat()
	}
	time.Sleep(time.Until(backAt.Add(1500 * time.Millisecond)))
	b := gateways[2]
	b.start()
	b.awaitReady(5 * time.Second)
	r.note("%s has started, and is ready", b.name)
	var sent []result
	rewritten := false
	for n := 0; time.Since(backAt) < 8*time.Second; n++ {
		if !rewritten && time.Since(backAt) > 4*time.Second {
			rewritten = true
			if r.trouble {
				write(4, one)
			}
		}
		for i, g := range gateways {
			q := request{id: fmt.Sprintf("%02x%06x", i, n), method: http.MethodPost, path: "/book/1", key: taken, body: "rack 7", budget: 4 * time.Second}
			sent = append(sent, q.send(g))
		}
		time.Sleep(100 * time.Millisecond)
	}
	ran := map[string]bool{}
	for _, p := range replicas {
		for _, a := range p.seen() {
			ran[a.id] = a.ran
		}
	}
	broken := 0
	for _, res := range sent {
		if late := res.sentAt.Sub(withdrawnAt); ran[res.id] && late > 5*time.Second {
			broken++
			if broken <= 5 {
				r.note("request %s with the key that was taken away %.1f s before is run, status %d", res.id, late.Seconds(), res.status)
			}
		}
	}
	r.note("%d requests with that key, %d of them run", len(sent), broken)
	return broken > 0
}
