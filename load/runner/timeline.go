package runner

import (
	"container/heap"
	"time"
)

// timeline runs functions in virtual time, in order of time and then of scheduling.
type timeline struct {
	now      time.Duration
	events   eventHeap
	sequence uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules run for later.
func (t *timeline) after(d time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.events, event{at: t.now + d, sequence: t.sequence, run: run})
}

// runUntil runs events up to end; it returns false when none was left.
func (t *timeline) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e, _ := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is called by container/heap only.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop is called by container/heap only.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
