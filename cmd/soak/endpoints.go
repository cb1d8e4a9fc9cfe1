package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/soak/proxier"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// endpoint is a stand-in endpoint and the proxy in front of it.
type endpoint struct {
	*standin.Endpoint
	proxy *proxier.Proxier
	// leaving is set before the endpoint is announced to leave.
	leaving bool
	// quiet is set before the endpoint says in its answers that it leaves.
	quiet bool
	// replaced and expired are set when another endpoint has started after a crash, and when the entry has been removed.
	replaced bool
	expired  bool
	// listedUntil is when the entry expires that a drill has brought back.
	listedUntil time.Time
}

// state returns the state that the endpoint announces in the store. The caller must hold the lock of the testbed.
func (e *endpoint) state() string {
	if e.leaving {
		return "draining"
	}
	return "ready"
}

// newEndpointID returns an ID that no other endpoint has. Parallel testbeds have different ones, because the port of an
// endpoint that crashed may be assigned to one of another testbed.
func (b *testbed) newEndpointID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedEndpoints++
	return fmt.Sprintf("e%d-%d", b.slot, b.startedEndpoints)
}

// addEndpoint starts an endpoint with a proxy in front of it and writes its entry to the store. An empty stage
// makes it an endpoint of the plain service.
func (b *testbed) addEndpoint(stage string) error {
	id := b.newEndpointID()
	service := modelService
	if stage == "" {
		service = plainService
	}
	e, err := standin.NewEndpoint(id, service, domainOf(id), stage)
	if err != nil {
		return errors.Wrap(err, "start endpoint")
	}
	proxy, err := proxier.New(e.Address())
	if err != nil {
		return err
	}
	added := &endpoint{Endpoint: e, proxy: proxy}
	e.SetAnswers(func(r standin.Run) standin.Answer { return b.answerOf(id, r) })
	e.Crashes, e.HangTime = isCrashing, b.hangTime
	e.SetOnCrash(func() { b.handleCrash(added) })
	e.EchoRequestID, e.AdvertisedAddress, e.EventsPerStream, e.EventInterval, e.ServiceTime = true, proxy.Address(),
		eventsPerStream, 20*time.Millisecond, 20*time.Millisecond
	b.mu.Lock()
	b.endpoints = append(b.endpoints, added)
	b.mu.Unlock()
	b.store.Put(e.StoreEntry("ready"))
	return nil
}

// replaceEndpoint starts an endpoint of the same stage as endpoint i (modulo their number), and announces that endpoint
// i leaves. It does nothing when endpoint i is leaving already.
func (b *testbed) replaceEndpoint(i int) error {
	b.mu.Lock()
	replaced := b.endpoints[i%len(b.endpoints)]
	gone := replaced.leaving || replaced.quiet || !replaced.CrashedAt().IsZero()
	if !gone {
		replaced.leaving = true
	}
	b.mu.Unlock()
	if gone {
		return nil
	}
	if err := b.addEndpoint(replaced.Stage); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.Put(replaced.StoreEntry(replaced.state()))
	b.leavingSince[replaced.ID] = time.Now()
	return nil
}

// runHeartbeat writes the entries of all endpoints to the store and replaces those that crashed, with pauses of
// heartbeatInterval, until stop is closed.
func (b *testbed) runHeartbeat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
		b.writeHeartbeats()
		if err := b.replaceCrashed(); err != nil {
			b.log.Error().Err(err).Msg("endpoint not replaced")
		}
	}
}

// writeHeartbeats writes the entries of all endpoints that have not crashed to the store. It holds the lock meanwhile, so
// that no entry of a leaving endpoint is overwritten by an older state.
func (b *testbed) writeHeartbeats() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.endpoints {
		if e.CrashedAt().IsZero() {
			b.store.Put(e.StoreEntry(e.state()))
		}
	}
}

// domainOf returns the failure domain of an endpoint, one of three. Endpoints are added by several goroutines, so it depends
// on the ID alone.
func domainOf(id string) string {
	return string(rune('a' + xxhash.Sum64String(id)%3))
}

// pickEndpoint returns a random endpoint, which may be leaving.
func (b *testbed) pickEndpoint(rng *rand.Rand) *endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoints[rng.IntN(len(b.endpoints))]
}
