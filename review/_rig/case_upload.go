package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["upload"] = uploadCase }

// warmUp sends a request over a new channel and keeps the channel. It fails unless the request is served.
func warmUp(b *testbed, g *gateway, r *request) (*channel, error) {
	c, err := open(g.ip, b.record)
	if err != nil {
		return nil, err
	}
	r.gateway = g.ip
	if c.do(r); r.status != 200 || !r.complete {
		return nil, fmt.Errorf("request %s before the case has status %d: %v", r.id, r.status, r.err)
	}
	return c, nil
}

// streamRequest returns a request for a stream with a short body.
func streamRequest(name, path string, promptTokens, outputTokens int) *request {
	r := newRequest(name, "POST", path)
	r.promptTokens, r.outputTokens, r.budget = promptTokens, outputTokens, 14*time.Second
	r.body = strings.Repeat("p", 5000)
	return r
}

// addModelReplicas starts prefill and decode replicas of the model service.
func addModelReplicas(b *testbed, prefill, decode, tokensPerEvent int, tokenTime func(active int) time.Duration) error {
	for n := range prefill + decode {
		p := &replica{
			service: modelService, stage: "decode", zone: fmt.Sprintf("fi-south-%c", 'a'+n%4), tokensPerEvent: tokensPerEvent,
			tokenTime: tokenTime,
		}
		if n < prefill {
			p.stage = "prefill"
		}
		if err := b.addReplica(p); err != nil {
			return err
		}
	}
	return nil
}

// runOf returns when a request reached a replica that runs it.
func (b *testbed) runOf(id string) (r run, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.replicas {
		for _, a := range p.runs() {
			if a.ID == id && a.Kind == "run" {
				return a, true
			}
		}
	}
	return run{}, false
}

const (
	drainGrace = 8 * time.Second
	// lossSlack is loss_slack_ms.
	lossSlack = 200 * time.Millisecond
)

// lostAround reports whether a request counts as lost by the rule LOST around a SIGTERM: the process had read it whole, it
// was passed on to a replica, and the channel ended without a complete answer.
func (b *testbed) lostAround(r *request, termAt time.Time) bool {
	if r.lastByteAt.IsZero() || r.complete || r.status >= 400 {
		return false
	}
	if r.endedAt.Before(termAt) || r.endedAt.After(termAt.Add(drainGrace+time.Second)) {
		return false
	}
	if _, ran := b.runOf(r.id); !ran {
		return false
	}
	// Not counted: the time budget, or the replica at work in the last sixth of the grace on an early request.
	if r.endedAt.Sub(r.headSentAt) >= r.budget-50*time.Millisecond {
		return false
	}
	early := r.headSentAt.Before(termAt.Add(3 * time.Second))
	return !early || r.endedAt.Before(termAt.Add(drainGrace*5/6))
}

// uploadCase stops a gateway while clients send the bodies of their requests. Nothing else is in progress there.
func uploadCase(folder string) (verdict, error) {
	const (
		// Half of the clients send bookings, half of them ask for streams.
		clients    = 8
		uploadTime = 1050 * time.Millisecond
		// The bodies are whole between firstEnd and firstEnd + (clients-1) x spacing after SIGTERM.
		firstEnd = 2600 * time.Millisecond
		spacing  = 25 * time.Millisecond
		// bookingTime is how long a booking takes at its replica.
		bookingTime = 400 * time.Millisecond
	)
	b, err := newTestbed(folder, 3, 4)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return verdict{}, err
	}
	if err := addModelReplicas(b, 2, 4, 4, func(int) time.Duration { return 10 * time.Millisecond }); err != nil {
		return verdict{}, err
	}
	for n := range 4 {
		p := &replica{service: plainService, zone: fmt.Sprintf("fi-south-%c", 'a'+n%4)}
		p.work = func(*http.Request, string) time.Duration { return bookingTime }
		if err := b.addReplica(p); err != nil {
			return verdict{}, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return verdict{}, err
	}
	g := b.gateways[0]
	newUpload := func(i int) *request {
		if i%2 == 0 {
			r := newRequest("booking", "POST", rackBook)
			r.body = strings.Repeat("b", 3600)
			return r
		}
		r := streamRequest("stream", lotSummary, 5000, 120)
		r.body = strings.Repeat("p", 50000)
		return r
	}
	channels := make([]*channel, clients)
	requests := make([]*request, clients)
	for i := range clients {
		if channels[i], err = warmUp(b, g, newUpload(i)); err != nil {
			return verdict{}, err
		}
		defer channels[i].close()
		requests[i] = newUpload(i)
		requests[i].gateway, requests[i].uploadTime = g.ip, uploadTime
	}
	termAt := b.terminate(g)
	var wait sync.WaitGroup
	for i, r := range requests {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Until(termAt.Add(firstEnd + time.Duration(i)*spacing - uploadTime)))
			channels[i].do(r)
		}()
	}
	wait.Wait()
	return b.judgeLost(requests, termAt), nil
}

// judgeLost counts the requests that were lost around a SIGTERM. Without one, all must have been answered.
func (b *testbed) judgeLost(requests []*request, termAt time.Time) verdict {
	lost, answered := 0, 0
	for _, r := range requests {
		if b.trouble && b.lostAround(r, termAt) {
			lost++
			a, _ := b.runOf(r.id)
			b.record.printf("LOST: request %s was run by replica %s and not answered; sent whole %.3f s, channel ended %.3f s after SIGTERM",
				r.id, a.Replica, r.lastByteAt.Sub(termAt).Seconds(), r.endedAt.Sub(termAt).Seconds())
		}
		if r.complete && r.status == 200 {
			answered++
		}
	}
	text := fmt.Sprintf("%d of %d requests lost, %d answered", lost, len(requests), answered)
	if !b.trouble {
		return verdict{broken: answered != len(requests), text: text + ", without SIGTERM"}
	}
	return verdict{broken: lost > 0, text: text}
}
