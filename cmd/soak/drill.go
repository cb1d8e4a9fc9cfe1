package main

import (
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// copyInterval is the time between two copies of the store, and keptCopies the number of the latest that are kept.
	copyInterval = 500 * time.Millisecond
	keptCopies   = 16
	// maxDrills is the largest number of drills of a seed, and maxAwayTime the longest time for which the store is away in one.
	maxDrills   = 3
	maxAwayTime = 2 * time.Second
)

// runCopies takes copies of the store, from which drills restore it, until stop is closed.
func (b *testbed) runCopies(stop <-chan struct{}) {
	for {
		b.mu.Lock()
		b.copies = append(b.copies, b.store.Copy())
		b.copies = b.copies[max(0, len(b.copies)-keptCopies):]
		b.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(copyInterval):
		}
	}
}

// addDrills injects up to maxDrills drills, starting at random times within the duration.
func (i *injector) addDrills(duration time.Duration) {
	for range 1 + i.rng.IntN(maxDrills) {
		delay := time.Duration(i.rng.Int64N(int64(duration)))
		away := time.Duration(i.rng.Int64N(int64(maxAwayTime)))
		age, number := 1+i.rng.IntN(keptCopies), i.rng.IntN(1000)
		i.wait.Add(1)
		go func() {
			defer i.wait.Done()
			i.runSeries(delay, 1, func() error { return i.testbed.drill(away, age, number) })
		}()
	}
}

// drill lets the store be away for a while and come back from a copy, the latest but age - 1. What the operator and the endpoints
// wrote since is written again. Entries of endpoints that crashed are not; they expire. Once gateways must follow the store again,
// a key is withdrawn and the endpoint with a number, modulo the number of endpoints, replaced.
func (b *testbed) drill(away time.Duration, age, number int) error {
	b.awayInDrill(away, age)
	time.Sleep(reconnectTime)
	b.withdrawKey(bigAccount)
	return b.replaceEndpoint(number)
}

// awayInDrill is the part of a drill in which promises that need the store are not checked.
func (b *testbed) awayInDrill(away time.Duration, age int) {
	defer b.beginFault("drill")()
	b.store.SetDown(true)
	time.Sleep(away)
	b.restore(b.pickCopy(age))
	b.writeHeartbeats()
}

// pickCopy returns the latest copy but age - 1, or the oldest that is kept.
func (b *testbed) pickCopy(age int) standin.Copy {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.copies) == 0 {
		return b.store.Copy()
	}
	return b.copies[max(0, len(b.copies)-age)]
}

// restore restores the store from a copy and writes the newest configuration again.
func (b *testbed) restore(c standin.Copy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.Restore(c)
	b.copies = []standin.Copy{c}
	b.store.Put("op/config", b.config)
	for _, e := range b.endpoints {
		if e.expired {
			e.expired, e.listedUntil = false, time.Now().Add(crashedEntryTime)
		}
	}
}
