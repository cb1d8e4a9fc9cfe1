// Package announcer holds what is to be sent to peers because it has changed. Messages may be lost, so each change is sent
// several times, in several messages, and in turn with others.
package announcer

import "slices"

// Announcer holds the keys of changes that are still to be sent. It is not safe for concurrent use.
type Announcer[K comparable] struct {
	// times is how often a change is sent.
	times int
	// remaining is how often each change is still to be sent; it is positive. order holds the same keys in the order in which
	// they are sent.
	remaining map[K]int
	order     []K
}

// New returns an empty Announcer that sends each change the given number of times.
func New[K comparable](times int) *Announcer[K] {
	return &Announcer[K]{times: times, remaining: map[K]int{}}
}

// Announce adds a change. If an earlier one of the same key is still to be sent, the key is sent as often as a new one.
func (a *Announcer[K]) Announce(key K) {
	if a.remaining[key] == 0 {
		a.order = append(a.order, key)
	}
	a.remaining[key] = a.times
}

// IsPending reports whether a key is still to be sent.
func (a *Announcer[K]) IsPending(key K) bool {
	return a.remaining[key] > 0
}

// Next calls send for the next keys until send has returned true limit times. A key for which it returns false is gone and not
// sent again; it does not count. The others are sent again after all that wait.
func (a *Announcer[K]) Next(limit int, send func(key K) bool) {
	pending, sent := a.order, 0
	a.order = nil
	for i, key := range pending {
		if sent >= limit {
			a.order = append(slices.Clone(pending[i:]), a.order...)
			return
		}
		if !send(key) {
			delete(a.remaining, key)
			continue
		}
		sent++
		if a.remaining[key]--; a.remaining[key] > 0 {
			a.order = append(a.order, key)
			continue
		}
		delete(a.remaining, key)
	}
}
