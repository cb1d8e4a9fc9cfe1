package main

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// newEndpointTestbed returns a testbed with a store and the given number of endpoints, without gateways.
func newEndpointTestbed(t *testing.T, endpoints int) *testbed {
	t.Helper()
	b := &testbed{
		rng: rand.New(rand.NewPCG(1, 1)), store: standin.NewStore(), leavingSince: map[string]time.Time{},
		faultCounts: map[string]int{},
	}
	t.Cleanup(b.close)
	for range endpoints {
		if err := b.addEndpoint(stageDecode); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// The heartbeat and the injector read the endpoints while others are being replaced. Without the lock, the race
// detector fails this test, and a heartbeat could announce a leaving endpoint as ready again.
func TestEndpointsAreReplacedDuringHeartbeats(t *testing.T) {
	const replacements = 8
	b := newEndpointTestbed(t, replacements)
	var done sync.WaitGroup
	done.Add(2)
	go func() {
		defer done.Done()
		for range 50 * replacements {
			b.writeHeartbeats()
		}
	}()
	go func() {
		defer done.Done()
		rng := rand.New(rand.NewPCG(2, 2))
		for range 50 * replacements {
			b.pickEndpoint(rng)
		}
	}()
	for i := range replacements {
		if err := b.replaceEndpoint(i); err != nil {
			t.Error(err)
		}
	}
	done.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, e := range b.endpoints[:replacements] {
		if e.state() != "draining" {
			t.Errorf("endpoint %d: got state %q after its replacement, want draining", i, e.state())
		}
	}
	if got := len(b.endpoints); got != 2*replacements {
		t.Errorf("got %d endpoints, want %d", got, 2*replacements)
	}
}
