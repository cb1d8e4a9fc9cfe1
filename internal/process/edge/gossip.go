package edge

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/gossiper"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// configPace returns how long a watch of the configuration waits; its changes are taken in without a pause.
func (e *Edge) configPace() (wait, pause time.Duration) {
	_, heard := e.gossiper.Place(heardLately)
	longest := min(configWaitMost, max(configWaitLeast, time.Duration(heard)*configWait))
	// A change ends all watches at once; without chance they would go on ending together.
	return longest/3 + rand.N(longest*2/3), 0
}

// endpointPace returns how often the endpoint list is read.
func (e *Edge) endpointPace() (wait, pause time.Duration) {
	if place, _ := e.gossiper.Place(heardLately); place >= readers {
		return endpointWait, listenerPause
	}
	return endpointWait, endpointPause
}

// Compose returns what to tell the other gateways.
func (e *Edge) Compose(levels bool) (m gossiper.Message, busy bool) {
	m, busy = e.director.Compose(levels)
	now := clock.Boot()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stayCurrent(now)
	for _, c := range e.lister.Recent(tellFor, removedFor, now, tellMost) {
		entry := gossiper.Entry{Key: c.Key, Revision: c.Revision, Gone: c.Gone}
		if !c.Gone {
			endpoint := c.Endpoint
			entry.Endpoint = &endpoint
		}
		m.Entries = append(m.Entries, entry)
	}
	return m, busy
}

// Receive takes in what another gateway tells.
func (e *Edge) Receive(m gossiper.Message) {
	e.director.Receive(m)
	now := clock.Boot()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.catchUp(m.Version, now)
	var changed []lister.Entry
	for _, c := range m.Entries {
		entry := lister.Entry{Key: c.Key, Revision: c.Revision, Gone: c.Gone}
		if c.Endpoint != nil {
			entry.Endpoint = *c.Endpoint
		} else {
			entry.Gone = true
		}
		if e.lister.Apply(entry, now) {
			changed = append(changed, entry)
		}
	}
	e.relist(changed, m.From)
}

// stayCurrent has the configuration read anew where neither the own watch nor another gateway has shown for a while that
// it is the newest.
func (e *Edge) stayCurrent(now time.Duration) {
	if _, age := e.tracker.Current(); age < nudgeAge+rand.N(nudgeSpread) || now-e.nudgedAt < nudgeEvery {
		return
	}
	e.nudgedAt = now
	e.config.Nudge()
}

// catchUp has the configuration read anew where another gateway has had a newer one for a while.
func (e *Edge) catchUp(version uint64, now time.Duration) {
	if own, _ := e.tracker.Seen(); version <= own {
		if version == own {
			e.behindAt = 0
		}
		return
	}
	switch {
	case e.behindAt == 0:
		e.behindAt = now
	case now-e.behindAt > behindFor:
		e.behindAt = now
		e.config.Nudge()
	}
}

// Left forgets another gateway.
func (e *Edge) Left(gateway string) {
	e.director.Left(gateway)
}
