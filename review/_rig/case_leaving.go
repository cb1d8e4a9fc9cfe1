package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["leaving"] = leavingCase }

// leavingCase drains a decode replica while a long prompt is read for a request that is to run there.
func leavingCase(folder string) (verdict, error) {
	const (
		tokensPerEvent = 5
		drain          = 2 * time.Second
		promptTokens   = 45000
		// The replica ends leavesAfter after the confirmation: drain_ms and a little longer.
		leavesAfter = 3 * time.Second
	)
	b, err := newTestbed(folder, 3, tokensPerEvent)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return verdict{}, err
	}
	if err := addModelReplicas(b, 1, 6, tokensPerEvent, func(int) time.Duration { return 5 * time.Millisecond }); err != nil {
		return verdict{}, err
	}
	if err := b.awaitReady(); err != nil {
		return verdict{}, err
	}
	var wait sync.WaitGroup
	var requests []*request
	start := time.Now().Add(100 * time.Millisecond)
	for _, g := range b.gateways {
		c, err := open(g.ip, b.record)
		if err != nil {
			return verdict{}, err
		}
		defer c.close()
		// A stream that may not be resumed.
		r := streamRequest("long", ncrDraft, promptTokens, 200)
		requests = append(requests, r)
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Until(start))
			c.do(r)
		}()
	}
	// The replica that leaves is one at which a request has its place, of those whose prompts are read last.
	time.Sleep(time.Until(start.Add(60 * time.Millisecond)))
	var leaving *replica
	for _, p := range b.replicas {
		p.mu.Lock()
		if p.stage == "decode" && len(p.holds) > 0 && (leaving == nil || p.lastHoldAt().After(leaving.lastHoldAt())) {
			leaving = p
		}
		p.mu.Unlock()
	}
	if leaving == nil {
		return verdict{}, fmt.Errorf("no replica has a reservation")
	}
	var confirmedAt time.Time
	if b.trouble {
		leaving.setState("draining")
		confirmedAt = b.store.put(leaving.entry())
		b.record.printf("the store confirms that replica %s is draining", leaving.id)
		time.AfterFunc(leavesAfter, leaving.leave)
	}
	wait.Wait()
	broken, answered := 0, 0
	for _, a := range leaving.runs() {
		if after := a.At.Sub(confirmedAt); b.trouble && after > drain {
			broken++
			b.record.printf("DRAIN: request %s reaches replica %s %.3f s after the confirmation", a.ID, a.Replica, after.Seconds())
		}
	}
	for _, r := range requests {
		if r.complete && r.status == 200 {
			answered++
		}
	}
	text := fmt.Sprintf("%d requests reach the leaving replica later than %s, %d of %d answered", broken, drain, answered, len(requests))
	if !b.trouble {
		return verdict{broken: answered != len(requests), text: text + ", no replica leaves"}, nil
	}
	return verdict{broken: broken > 0, text: text}, nil
}

// lastHoldAt returns when the latest reservation was taken. It is called with the lock.
func (p *replica) lastHoldAt() time.Time {
	return p.holdAt
}
