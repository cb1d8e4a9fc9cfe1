package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

func init() { cases["silence"] = silence }

const (
	// preempted is how long a replica leaves a stream before its fourth event. Clients wait for 3.6 s.
	preempted = 3 * time.Second
	grace     = 8 * time.Second
)

// silence stops a gateway while streams run that their replicas have preempted.
func silence(b *bed) bool {
	b.putConfig(nil)
	var on sync.Map
	for i := range 3 {
		b.addReplica("llm", fmt.Sprintf("zone-%d", i), "prefill", nil)
	}
	for i := range 6 {
		b.addReplica("llm", fmt.Sprintf("zone-%d", i%4), "decode", func(e *standin.Endpoint) {
			e.EventsPerStream, e.EventInterval = 12, 100*time.Millisecond
			e.Event = func(n int) string {
				if _, full := on.Load("full"); full && n == 4 {
					time.Sleep(preempted)
				}
				return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
			}
		})
	}
	go b.keepReplicas()
	b.addEdges(4, nil, nil)
	b.awaitReady()
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	stopping := b.edges[0]
	send := func(e *edge) {
		defer wg.Done()
		a := b.send(e, "summary", fmt.Sprintf("aa01:100,b%02x:100", rand.IntN(20)), 14*time.Second, nil)
		mu.Lock()
		answers = append(answers, a)
		mu.Unlock()
		b.note("%s at %s: sent %.3f, ended %.3f, status %d, %d events, err %v", a.id, a.edge, a.sentAt.Seconds(), a.endedAt.Seconds(), a.status, strings.Count(a.body, "id: "), a.err)
	}
	// Streams begin at all gateways, 4 a second.
	var down sync.Map
	end := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-end:
				return
			case <-time.After(250 * time.Millisecond):
			}
			e := b.edges[rand.IntN(len(b.edges))]
			if _, is := down.Load(e); is {
				continue
			}
			wg.Add(1)
			go send(e)
		}
	}()
	time.Sleep(4 * time.Second)
	on.Store("full", true)
	b.say("the memory of the decode replicas runs full: each stream is preempted once, for %v", preempted)
	time.Sleep(time.Second)
	for range 3 {
		wg.Add(1)
		go send(stopping)
	}
	time.Sleep(200 * time.Millisecond)
	termAt := time.Since(b.start)
	if trouble() {
		down.Store(stopping, true)
		b.say("SIGTERM to %s", stopping.name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			orderly := stopping.process.Terminate(grace)
			b.say("%s has ended, within its grace: %v", stopping.name, orderly)
		}()
	}
	time.Sleep(10 * time.Second)
	close(end)
	wg.Wait()
	n, others := 0, 0
	for _, a := range answers {
		if a.err == nil || a.status != 200 {
			continue
		}
		if a.edge == stopping.name && a.sentAt < termAt && a.endedAt > termAt && trouble() {
			b.say("%s, sent %.3f s before the SIGTERM, ends %.3f s after it with %d of 12 events: %v", a.id, (termAt - a.sentAt).Seconds(), (a.endedAt - termAt).Seconds(), strings.Count(a.body, "id: "), a.err)
			if a.endedAt-termAt < grace-grace/6 {
				n++
			}
			continue
		}
		others++
	}
	b.say("%d streams that the stopping gateway had passed on end without a complete answer, before the last sixth of its grace; 0 are allowed (other streams that broke off: %d)", n, others)
	return n > 0
}
