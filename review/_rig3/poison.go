package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

func init() {
	cases["poison-batch"] = poisonBatch
}

const (
	// batch is how many requests with the bad part a client sends at once, each batchInterval.
	batch         = 12
	batchInterval = 5 * time.Second
)

const badPart = "bad0"

// shortPrompt is a prompt with the bad part.
const shortPrompt = "aa01:100," + badPart + ":100"

func isPoison(r standin.Run) bool {
	return !r.IsPrefill && strings.Contains(r.Header.Get("X-Pistachiovane-Prompt-Prefix"), badPart)
}

// readsPrompt takes the time in which a prefill replica reads a prompt of 5,200 tokens. It never crashes.
func readsPrompt(standin.Run) bool {
	time.Sleep(90 * time.Millisecond)
	return false
}

// addModels starts 3 prefill and 6 decode replicas, which crash when they begin to write an answer on badPart, and 3 of a plain
// service.
func (b *bed) addModels() {
	zones := 4
	for i := range 3 {
		b.addReplica("llm", fmt.Sprintf("zone-%d", i%zones), "prefill", func(e *standin.Endpoint) { e.Crashes = readsPrompt })
	}
	for i := range 6 {
		b.addReplica("llm", fmt.Sprintf("zone-%d", i%zones), "decode", func(e *standin.Endpoint) { e.Crashes = isPoison })
	}
	for i := range 3 {
		b.addReplica("app", fmt.Sprintf("zone-%d", i%zones), "", nil)
	}
}

// reached is one run of a request with the bad part at a replica.
type reached struct {
	id, replica string
	at          time.Time
}

func (b *bed) poisonRuns() []reached {
	var out []reached
	for _, r := range b.replicas {
		for _, e := range r.ends() {
			for _, run := range e.Runs() {
				if isPoison(run) {
					out = append(out, reached{run.RequestID, e.ID, run.StartedAt})
				}
			}
		}
	}
	return out
}

// crashTimes returns the times of the crashes, in order.
func (b *bed) crashTimes() []time.Time {
	var out []time.Time
	for _, r := range b.replicas {
		for _, e := range r.ends() {
			if at := e.CrashedAt(); !at.IsZero() {
				out = append(out, at)
			}
		}
	}
	for i := range out {
		for j := i + 1; j < len(out); j++ {
			if out[j].Before(out[i]) {
				out[i], out[j] = out[j], out[i]
			}
		}
	}
	return out
}

// judgePoison counts the requests with the bad part that reach replicas later than contact_ms after the fifth crash.
func (b *bed) judgePoison(skip func(at time.Time) bool) bool {
	crashes := b.crashTimes()
	b.say("%d crashes", len(crashes))
	if len(crashes) < 5 {
		return false
	}
	late := 0
	for _, r := range b.poisonRuns() {
		b.note("request %s reaches %s at %.3f s", r.id, r.replica, r.at.Sub(b.start).Seconds())
		if r.at.After(crashes[4].Add(contact)) && !skip(r.at) {
			late++
		}
	}
	b.say("fifth crash at %.3f s; later than %v after it, %d requests with the part reach replicas, 3 are allowed",
		crashes[4].Sub(b.start).Seconds(), contact, late)
	return late > 3
}

// reportSound says how many sound requests that were sent between two times begin to run.
func (b *bed) reportSound(from, to time.Time, when string) {
	begun := map[string]bool{}
	for _, r := range b.replicas {
		for _, e := range r.ends() {
			for _, run := range e.Runs() {
				begun[run.RequestID] = begun[run.RequestID] || !run.IsPrefill
			}
		}
	}
	sent, ran, answered, lost := 0, 0, 0, 0
	for id, a := range b.soundSent {
		at := b.start.Add(a.sentAt)
		if at.Before(from) || at.After(to) {
			continue
		}
		sent++
		switch {
		case begun[id]:
			ran++
		}
		switch {
		case a.status == 200 && a.err == nil:
			answered++
		case begun[id]:
			lost++
		}
	}
	b.say("%s: %d sound requests sent, %d begin to run, %d are answered, %d have begun and are lost", when, sent, ran, answered, lost)
}

// sound sends requests without the bad part until the bed ends.
func (b *bed) sound(wg *sync.WaitGroup, every time.Duration, until time.Time) {
	defer wg.Done()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(float64(every) * (0.5 + rand.Float64())))
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := b.edges[rand.IntN(len(b.edges))]
			route := []string{"summary", "note"}[rand.IntN(2)]
			a := b.send(e, route, fmt.Sprintf("aa01:100,b%02x:100", rand.IntN(20)), 14*time.Second, nil)
			b.soundMu.Lock()
			b.soundSent[a.id] = a
			b.soundMu.Unlock()
			b.note("sound %s at %s: sent %.3f, status %d, err %v", a.id, a.edge, a.sentAt.Seconds(), a.status, a.err)
		}()
	}
}

func (b *bed) poison(wg *sync.WaitGroup, route, parts string) {
	defer wg.Done()
	e := b.edges[rand.IntN(len(b.edges))]
	a := b.send(e, route, parts, 14*time.Second, nil)
	b.note("poison %s at %s: sent %.3f, ended %.3f, status %d, err %v", a.id, a.edge, a.sentAt.Seconds(), a.endedAt.Seconds(), a.status, a.err)
}

// poisonBatch sends a batch of requests with the bad part at once, again and again.
func poisonBatch(b *bed) bool {
	b.putConfig(nil)
	b.addModels()
	go b.keepReplicas()
	b.addEdges(4, nil, nil)
	b.awaitReady()
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	soundFrom := time.Now()
	until := soundFrom.Add(60 * time.Second)
	wg.Add(1)
	go b.sound(&wg, 100*time.Millisecond, until)
	time.Sleep(10 * time.Second)
	first := time.Now()
	last := first
	for range 8 {
		if trouble() {
			b.say("a client sends %d requests with the part at once", batch)
			for range batch {
				wg.Add(1)
				go b.poison(&wg, "summary", shortPrompt)
			}
		}
		last = time.Now()
		time.Sleep(batchInterval)
	}
	wg.Wait()
	broken := b.judgePoison(func(time.Time) bool { return false })
	b.reportSound(soundFrom, first.Add(-time.Second), "until a second before the first batch")
	b.reportSound(first.Add(-time.Second), first.Add(10*time.Second), "from a second before the first batch to 10 s after it")
	if crashes := b.crashTimes(); len(crashes) >= 5 {
		b.reportSound(crashes[4].Add(2*contact), last, "from 6 s after the fifth crash to the last batch")
	}
	b.reportSound(last.Add(batchInterval), until, "from 5 s after the last batch")
	return broken
}
