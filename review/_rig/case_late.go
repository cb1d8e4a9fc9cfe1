package main

import (
	"sync"
	"time"
)

func init() { cases["late"] = lateCase }

// lateCase stops a gateway that has a long stream in progress. Clients go on using the channels that they have to it. It
// accepts their requests because earlier ones took little time, and ends before the answers.
func lateCase(folder string) (verdict, error) {
	const tokensPerEvent = 5
	b, err := newTestbed(folder, 3, tokensPerEvent)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return verdict{}, err
	}
	// A token takes longer the more requests run.
	tokenTime := func(active int) time.Duration {
		return 6*time.Millisecond + time.Duration(active)*2*time.Millisecond
	}
	if err := addModelReplicas(b, 1, 2, tokensPerEvent, tokenTime); err != nil {
		return verdict{}, err
	}
	if err := b.awaitReady(); err != nil {
		return verdict{}, err
	}
	g, other := b.gateways[0], b.gateways[1]
	// Some streams of the route while there is little load.
	var late []*channel
	for range 8 {
		c, err := warmUp(b, g, streamRequest("before", ncrDraft, 1000, 100))
		if err != nil {
			return verdict{}, err
		}
		defer c.close()
		late = append(late, c)
	}
	late = late[5:]
	var wait sync.WaitGroup
	send := func(g *gateway, c *channel, r *request, at time.Time) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Until(at))
			if c == nil {
				var err error
				if c, err = open(g.ip, b.record); err != nil {
					r.err = err
					return
				}
				defer c.close()
			}
			c.do(r)
		}()
	}
	start := time.Now()
	long := streamRequest("long", lotSummary, 1000, 700)
	send(g, nil, long, start)
	time.Sleep(time.Until(start.Add(time.Second)))
	termAt := b.terminate(g)
	// Other clients' usual requests at another gateway.
	for i := range 18 {
		send(other, nil, streamRequest("other", lotSummary, 1000, 150), termAt.Add(4800*time.Millisecond+time.Duration(i)*5*time.Millisecond))
	}
	var requests []*request
	for i, c := range late {
		r := streamRequest("late", ncrDraft, 1000, 100)
		requests = append(requests, r)
		send(g, c, r, termAt.Add(5300*time.Millisecond+time.Duration(i)*150*time.Millisecond))
	}
	wait.Wait()
	return b.judgeLost(append(requests, long), termAt), nil
}
