package runner

import (
	"container/heap"
	"time"
)

// timeline is an event queue in virtual time. It runs the scheduled functions one at a time, in order of their
// time; functions with equal times run in the order in which they were scheduled.
type timeline struct {
	// now is the virtual time since the start of the run.
	now    time.Duration
	events eventHeap
	// sequence is the number of events scheduled so far.
	sequence uint64
}

// event is a function to run at a virtual time.
type event struct {
	at time.Duration
	// sequence orders events with equal times.
	sequence uint64
	run      func()
}

// after schedules run for the virtual time d from now.
func (t *timeline) after(d time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.events, event{at: t.now + d, sequence: t.sequence, run: run})
}

// runUntil runs all events that are due by end, including those that these events schedule, and sets the time to
// end.
func (t *timeline) runUntil(end time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e, _ := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
	t.now = end
}

// eventHeap is a min-heap of events by time and sequence, for container/heap.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event. Only container/heap calls it.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop removes and returns the last event. Only container/heap calls it.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
