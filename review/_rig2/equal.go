package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["equal"] = playEqual }

// playEqual: the store comes back from a copy that is older than the newest configuration. The operator takes a key away and writes the
// newest configuration again; it gets the revision that the one before it had in the old era.
func playEqual(r *rig) bool {
	const taken, kept = "9wu3feq3zji9n73hh2b9", key
	both, one := `"`+kept+`","`+taken+`"`, `"`+kept+`"`
	write := func(version int, keys string) time.Time {
		revision, ok := r.store.put("op/config", fmt.Appendf(nil, config, version, keys))
		if !ok {
			cannotRun("the store did not take version %d", version)
		}
		r.note("version %d with the keys %s is confirmed at revision %d", version, keys, revision)
		return time.Now()
	}
	write(3, both)
	var replicas []*replica
	for i := range 4 {
		time.Sleep(heartbeat / 4)
		replicas = append(replicas, newReplica(r.store, r.ip(50+i), fmt.Sprintf("i-%07x", 0x7f3a910+i), "app", fmt.Sprintf("zone-%c", 'a'+i), 6, 20*time.Millisecond, 0))
	}
	for _, g := range r.newGateways(3) {
		g.start()
	}
	for _, g := range r.gateways {
		g.awaitReady(15 * time.Second)
	}
	time.Sleep(4 * time.Second)
	storeCopy := r.store.takeCopy()
	write(4, both)
	time.Sleep(4 * time.Second)
	r.note("the store is at revision %d", r.store.currentRevision())
	if r.trouble {
		r.store.setDown(true)
		r.note("the store goes away")
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.store.restore(storeCopy)
		r.store.setDown(false)
		r.note("the store is back from a copy %.1f s old, of revision %d; the era rises", time.Since(storeCopy.takenAt).Seconds(), storeCopy.revision)
	}
	withdrawnAt := write(5, one)
	var sent []result
	for n := 0; time.Since(withdrawnAt) < 20*time.Second; n++ {
		for i, g := range r.gateways {
			q := request{id: fmt.Sprintf("%02x%06x", i, n), method: http.MethodPost, path: "/book/1", key: taken, body: "rack 7", budget: 4 * time.Second}
			sent = append(sent, q.send(g))
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.noteReadiness()
	ran := map[string]bool{}
	for _, p := range replicas {
		for _, a := range p.seen() {
			ran[a.id] = a.ran
		}
	}
	broken, by := 0, map[string]int{}
	for _, res := range sent {
		if late := res.sentAt.Sub(withdrawnAt); ran[res.id] && late > 5*time.Second {
			broken++
			by[res.id[:2]]++
			if broken <= 5 {
				r.note("request %s with the key that was taken away %.1f s before is run, status %d", res.id, late.Seconds(), res.status)
			}
		}
	}
	r.note("%d requests with that key; sent later than 5 s after the confirmation and run: %d, by machine %v", len(sent), broken, by)
	return broken > 0
}
