package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison-long"] = poisonLong }

const (
	// turns is how many parts of its own a long conversation has before the bad part.
	turns = 70
	// longInterval is the mean pause between two requests with the bad part.
	longInterval = 2 * time.Second
)

// conversation returns the parts of a conversation of many turns in which the bad part comes late.
func conversation(n int) string {
	parts := []string{"aa01:100"}
	for i := range turns {
		parts = append(parts, fmt.Sprintf("c%04x%02x:70", n, i))
	}
	return strings.Join(append(parts, badPart+":100"), ",")
}

// poisonLong sends requests with the bad part one after another. Each is a long conversation of its own.
func poisonLong(b *bed) bool {
	b.putConfig(nil)
	b.addModels()
	go b.keepReplicas()
	b.addEdges(4, nil, nil)
	b.awaitReady()
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	soundFrom := time.Now()
	until := soundFrom.Add(70 * time.Second)
	wg.Add(1)
	go b.sound(&wg, 100*time.Millisecond, until)
	time.Sleep(10 * time.Second)
	first := time.Now()
	for n := 0; time.Now().Before(until.Add(-10 * time.Second)); n++ {
		if trouble() {
			wg.Add(1)
			go b.poison(&wg, "note", conversation(n))
		}
		time.Sleep(time.Duration(float64(longInterval) * (0.5 + rand.Float64())))
	}
	last := time.Now()
	wg.Wait()
	broken := b.judgePoison(func(time.Time) bool { return false })
	b.reportSound(soundFrom, first.Add(-time.Second), "until a second before the first request with the part")
	b.reportSound(first.Add(-time.Second), last, "from then to the last one")
	return broken
}
