package main

import (
	"time"

	"github.com/phuslu/log"
)

const (
	// tickInterval is the time between two ticks of the soak's own loop, and stallThreshold the time between two ticks from
	// which it counts as stalled.
	tickInterval   = 200 * time.Millisecond
	stallThreshold = time.Second
	// tickLogInterval is the time between two log lines of a loop that does not stall.
	tickLogInterval = 2 * time.Second
)

// ticker watches the soak's own loop. A stall of the whole machine stalls it too, one of the gateways' programs does
// not.
type ticker struct {
	log *log.Logger
	// stalls is how often the loop stalled, and longest the longest time between two ticks.
	stalls  int
	longest time.Duration
}

// run logs the ticks until stop is closed.
func (t *ticker) run(stop <-chan struct{}) {
	// Times have a monotonic reading, so that a change of the time of day is no stall.
	last, logged := time.Now(), time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(tickInterval):
		}
		now := time.Now()
		gap := now.Sub(last)
		t.longest = max(t.longest, gap)
		switch {
		case gap >= stallThreshold:
			t.stalls++
			t.log.Warn().Int64("gap_ms", gap.Milliseconds()).Msg("tick: the soak itself stalled")
		case now.Sub(logged) >= tickLogInterval:
			t.log.Info().Int64("gap_ms", gap.Milliseconds()).Msg("tick")
			logged = now
		}
		last = now
	}
}
