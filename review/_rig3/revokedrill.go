package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["revoke-drill"] = revokeDrill }

const (
	oldKey         = "xd9dnn2ctnfzs989anu6"
	revokeDeadline = 5 * time.Second
	// rollGap is the pause between two SIGTERMs, as in the site file.
	rollGap = 1300 * time.Millisecond
	// writtenAgain is how long after the store's return the operator writes again what it had written.
	writtenAgain = 12 * time.Second
)

// revokeDrill takes a key away, restores the store from a copy in which it is still there, and stops and starts the gateways in
// turn.
func revokeDrill(b *bed) bool {
	account := func(keys ...string) func(c map[string]any) {
		return func(c map[string]any) {
			c["tenants"] = []map[string]any{{"name": tenant, "api_keys": keys, "plain_tokens": 200, "rate_per_s": 1e6, "burst": 1e6}}
		}
	}
	b.putConfig(account(apiKey, oldKey))
	for i := range 4 {
		b.addReplica("app", fmt.Sprintf("zone-%d", i), "", nil)
	}
	go b.keepReplicas()
	b.addEdges(4, nil, nil)
	b.awaitReady()
	time.Sleep(5 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	stop := make(chan struct{})
	sentAt := map[string]time.Time{}
	old := map[string]answer{}
	statuses := map[int]int{}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(float64(40*time.Millisecond) * (0.5 + rand.Float64()))):
			}
			e := b.edges[rand.IntN(len(b.edges))]
			withOld := rand.IntN(2) == 0
			wg.Add(1)
			go func() {
				defer wg.Done()
				at := time.Now()
				a := b.send(e, "book", "", 4*time.Second, func(q *http.Request) {
					if withOld {
						q.Header.Set("X-Pistachiovane-Credential", oldKey)
					}
				})
				b.note("%s at %s, withdrawn key %v: sent %.3f, status %d, err %v", a.id, a.edge, withOld, a.sentAt.Seconds(), a.status, a.err)
				mu.Lock()
				defer mu.Unlock()
				if withOld {
					sentAt[a.id], old[a.id] = at, a
					statuses[a.status]++
				}
			}()
		}
	}()
	time.Sleep(2 * time.Second)
	copied := b.store.Copy()
	b.say("a copy of the store is made")
	time.Sleep(time.Second)
	b.putConfig(account(apiKey))
	withdrawnAt := time.Now()
	b.say("a configuration takes a key away; the store has confirmed it")
	time.Sleep(time.Second)
	if trouble() {
		b.store.SetDown(true)
		b.say("the store is away")
		time.Sleep(300 * time.Millisecond)
		b.store.Restore(copied)
		b.say("the store is back from the copy")
		time.AfterFunc(writtenAgain, func() {
			b.version -= 3
			b.putConfig(account(apiKey))
			b.say("the operator writes the configuration again")
		})
	}
	back := time.Now()
	time.Sleep(300 * time.Millisecond)
	var rolls sync.WaitGroup
	for _, e := range b.edges {
		rolls.Add(1)
		go func() {
			defer rolls.Done()
			b.say("SIGTERM to %s", e.name)
			orderly := e.process.Terminate(8 * time.Second)
			time.Sleep(100 * time.Millisecond)
			b.restart(e)
			b.say("%s has ended, in its grace %v, and is started", e.name, orderly)
		}()
		time.Sleep(rollGap)
	}
	rolls.Wait()
	time.Sleep(time.Until(back.Add(writtenAgain + 2*time.Second)))
	close(stop)
	wg.Wait()

	late, before := 0, 0
	for _, r := range b.replicas {
		for _, e := range r.ends() {
			for _, run := range e.Runs() {
				at, is := sentAt[run.RequestID]
				switch {
				case !is:
				case at.Sub(withdrawnAt) > revokeDeadline:
					late++
					a := old[run.RequestID]
					b.note("%s with the withdrawn key, sent to %s %.3f s after the confirmation, runs at %s; status %d", run.RequestID, a.edge, at.Sub(withdrawnAt).Seconds(), e.ID, a.status)
					if late <= 5 {
						fmt.Printf("%s with the withdrawn key, sent to %s %.3f s after the confirmation, runs at %s; status %d\n", run.RequestID, a.edge, at.Sub(withdrawnAt).Seconds(), e.ID, a.status)
					}
				default:
					before++
				}
			}
		}
	}
	b.say("requests with the key: %d run that were sent before the deadline; %d run that were sent later than revoke_deadline_ms after the confirmation, 0 are allowed; statuses %v", before, late, statuses)
	return late > 0
}
