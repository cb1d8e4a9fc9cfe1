package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonCase }

// poisonCase sends a request that crashes each replica that runs it: the process hangs and ends some seconds later.
func poisonCase(folder string) (verdict, error) {
	const (
		poison   = "poison"
		hangTime = 3 * time.Second
		// A crashed replica is back as a new one after restart.
		restart = 3 * time.Second
		// contact is contact_ms.
		contact  = 3 * time.Second
		playTime = 62 * time.Second
		// interval is the time between two ordinary requests; each poisonEvery-th is followed by the one that crashes replicas.
		interval    = 400 * time.Millisecond
		poisonEvery = 15
		// patience is how long a client waits for the first event: four times the objective.
		patience       = 3600 * time.Millisecond
		tokensPerEvent = 5
	)
	b, err := newTestbed(folder, 3, tokensPerEvent)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return verdict{}, err
	}
	var startReplica func(stage, zone string) error
	startReplica = func(stage, zone string) error {
		p := &replica{
			service: modelService, stage: stage, zone: zone, tokensPerEvent: tokensPerEvent, hangTime: hangTime,
			tokenTime: func(int) time.Duration { return 5 * time.Millisecond },
		}
		p.hangs = func(body string) bool { return b.trouble && strings.HasPrefix(body, poison) }
		p.onCrash = func() {
			time.AfterFunc(3*heartbeat, func() { key, _ := p.entry(); b.store.remove(key) })
			time.AfterFunc(restart, func() { _ = startReplica(stage, zone) })
		}
		return b.addReplica(p)
	}
	for n := range 9 {
		stage := "decode"
		if n < 2 {
			stage = "prefill"
		}
		if err := startReplica(stage, fmt.Sprintf("fi-south-%c", 'a'+n%4)); err != nil {
			return verdict{}, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return verdict{}, err
	}
	var wait sync.WaitGroup
	send := func(g *gateway, r *request) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, err := open(g.ip, b.record)
			if err != nil {
				r.err = err
				return
			}
			defer c.close()
			c.do(r)
		}()
	}
	var ordinary, poisoned []*request
	end := time.Now().Add(playTime)
	for n := 0; time.Now().Before(end); n++ {
		r := streamRequest("usual", lotSummary, 1000, 60)
		r.body = fmt.Sprintf("%d ", n) + r.body
		ordinary = append(ordinary, r)
		send(b.gateways[n%3], r)
		if n%poisonEvery == poisonEvery-1 {
			// The same path, caller and body, at any machine.
			r := streamRequest("poison", lotSummary, 1000, 60)
			r.body, r.patience = poison+strings.Repeat("x", 5000), patience
			poisoned = append(poisoned, r)
			send(b.gateways[len(poisoned)%3], r)
		}
		time.Sleep(interval)
	}
	wait.Wait()
	var crashes, arrivals []time.Time
	b.mu.Lock()
	for _, p := range b.replicas {
		p.mu.Lock()
		if !p.crashedAt.IsZero() {
			crashes = append(crashes, p.crashedAt)
		}
		for _, a := range p.arrivals {
			if a.Kind == "run" && strings.HasPrefix(a.ID, "poison") {
				arrivals = append(arrivals, a.At)
			}
		}
		p.mu.Unlock()
	}
	b.mu.Unlock()
	sortTimes(crashes)
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.After(crashes[2].Add(contact)) {
				late++
			}
		}
	}
	served := 0
	for _, r := range append(ordinary, poisoned...) {
		if r.status == 200 && r.complete {
			served++
		}
	}
	text := fmt.Sprintf("the request was sent %d times and reached replicas %d times, %d replicas crashed; %d arrivals later than %s after the third crash; %d of %d requests served",
		len(poisoned), len(arrivals), len(crashes), late, contact, served, len(ordinary)+len(poisoned))
	b.record.printf("%s", text)
	if !b.trouble && served != len(ordinary)+len(poisoned) {
		return verdict{broken: true, text: text}, nil
	}
	return verdict{broken: late > 3, text: text}, nil
}

// sortTimes sorts times, the earliest first.
func sortTimes(times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
}
