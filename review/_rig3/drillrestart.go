package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

func init() { cases["drill-restart"] = drillRestart }

const (
	// drainTime is drain_ms of the settings.
	drainTime = 2 * time.Second
	// ackTime is how long after the removal of an entry the check takes a gateway to have acknowledged it.
	ackTime = 300 * time.Millisecond
)

// clientRequest is what the rig knows of a request that a client sent.
type clientRequest struct {
	edge   string
	sentAt time.Time
	answer answer
}

// drillRestart takes two replicas away, restarts one gateway, and restores the store from a copy in which the replicas are listed.
func drillRestart(b *bed) bool {
	b.putConfig(nil)
	slow := func(e *standin.Endpoint) { e.EventInterval = 300 * time.Millisecond }
	for i := range 2 {
		b.addReplica("llm", fmt.Sprintf("zone-%d", i), "prefill", nil)
	}
	var leavers []*replica
	for i := range 4 {
		r := b.addReplica("llm", fmt.Sprintf("zone-%d", i), "decode", slow)
		s := b.addReplica("app", fmt.Sprintf("zone-%d", i), "", nil)
		if i == 0 {
			leavers = []*replica{r, s}
		}
	}
	go b.keepReplicas()
	b.addEdges(4, nil, nil)
	b.awaitReady()
	time.Sleep(5 * time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	requests := map[string]clientRequest{}
	resting := sync.Map{}
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(float64(50*time.Millisecond) * (0.5 + rand.Float64()))):
			}
			e := b.edges[rand.IntN(len(b.edges))]
			if _, is := resting.Load(e); is {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				at := time.Now()
				var a answer
				if route := []string{"read", "book", "book", "note"}[rand.IntN(4)]; route == "note" {
					a = b.send(e, route, fmt.Sprintf("aa01:100,b%02x:100", rand.IntN(20)), 14*time.Second, nil)
				} else {
					a = b.send(e, route, "", 4*time.Second, nil)
				}
				mu.Lock()
				requests[a.id] = clientRequest{e.name, at, a}
				mu.Unlock()
				b.note("%s at %s: sent %.3f, ended %.3f, status %d, err %v", a.id, a.edge, a.sentAt.Seconds(), a.endedAt.Seconds(), a.status, a.err)
			}()
		}
	}()
	time.Sleep(2 * time.Second)

	// One gateway is restarted. The platform sends it no clients from the SIGTERM on, until it is ready again.
	restarting := b.edges[3]
	resting.Store(restarting, true)
	b.say("SIGTERM to %s", restarting.name)
	orderly := restarting.process.Terminate(8 * time.Second)
	b.say("%s has ended, in its grace: %v", restarting.name, orderly)
	copied := b.store.Copy()
	b.say("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	// The replicas leave as those do that never report draining: their entries are removed, and they go on serving.
	var left []*standin.Endpoint
	for _, r := range leavers {
		r.mu.Lock()
		left = append(left, r.endpoint)
		r.endpoint.SetHeader("Server-Leaving: 1\r\n")
		r.unlisted = true
		key, _ := r.endpoint.StoreEntry("ready")
		b.store.Remove(key)
		r.mu.Unlock()
		b.say("%s leaves, its entry is removed", r.endpoint.ID)
	}
	leftAt := time.Now()
	time.Sleep(ackTime)
	b.restart(restarting)
	b.say("%s is started", restarting.name)
	time.AfterFunc(1500*time.Millisecond, func() { resting.Delete(restarting) })
	time.Sleep(2 * time.Second)
	if trouble() {
		b.store.SetDown(true)
		b.say("the store is away")
		time.Sleep(500 * time.Millisecond)
		b.store.Restore(copied)
		b.say("the store is back from the copy")
		time.AfterFunc(3*heartbeat, func() {
			for _, e := range left {
				key, _ := e.StoreEntry("ready")
				b.store.Remove(key)
			}
			b.say("the entries of the replicas that left expire")
		})
	}
	time.Sleep(time.Until(leftAt.Add(5500 * time.Millisecond)))
	for _, e := range left {
		e.Crash()
		b.say("%s exits", e.ID)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	late, early, lost := 0, 0, 0
	for _, e := range left {
		for _, run := range e.Runs() {
			if run.IsPrefill || !run.StartedAt.After(leftAt) {
				continue
			}
			r := requests[run.RequestID]
			sent := r.sentAt.Sub(leftAt)
			b.say("%s reaches %s from %s %.3f s after its entry was removed, sent by its client %.3f s after; the client gets status %d, error %v",
				run.RequestID, e.ID, r.edge, run.StartedAt.Sub(leftAt).Seconds(), sent.Seconds(), r.answer.status, r.answer.err)
			switch {
			case sent > drainTime && r.edge != restarting.name:
				late++
				if r.answer.err != nil || r.answer.status == 502 {
					lost++
				}
			case sent > ackTime && sent <= drainTime:
				early++
			}
		}
	}
	b.say("from the three gateways that ran all the while: %d requests reach the replicas 0.3 to 2 s after their entries were removed (0 shows that it was acknowledged)", early)
	b.say("from them %d requests reach the replicas that were sent later than drain_ms after it, 0 are allowed; %d of these are lost", late, lost)
	return late > 0
}
