package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// configPace returns how long a watch of the configuration waits; its changes are taken in without a pause.
func (d *Daemon) configPace() (wait, pause time.Duration) {
	_, heard := d.broadcaster.Place(heardLately)
	longest := min(configWaitMost, max(configWaitLeast, time.Duration(heard)*configWait))
	// A change ends all watches at once; without chance they would go on ending together.
	return longest/3 + rand.N(longest*2/3), 0
}

// endpointPace returns how often the endpoint list is read.
func (d *Daemon) endpointPace() (wait, pause time.Duration) {
	if place, _ := d.broadcaster.Place(heardLately); place >= readers {
		return endpointWait, listenerPause
	}
	return endpointWait, endpointPause
}

// Compose returns what to tell the other gateways.
func (d *Daemon) Compose(levels bool) (m broadcaster.Message, busy bool) {
	m, busy = d.controller.Compose(levels)
	now := clock.Boot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stayCurrent(now)
	for _, c := range d.lister.Recent(tellFor, removedFor, now, tellMost) {
		entry := broadcaster.Entry{Key: c.Key, Revision: c.Revision, Gone: c.Gone}
		if !c.Gone {
			endpoint := c.Endpoint
			entry.Endpoint = &endpoint
		}
		m.Entries = append(m.Entries, entry)
	}
	return m, busy
}

// Receive takes in what another gateway tells.
func (d *Daemon) Receive(m broadcaster.Message) {
	d.controller.Receive(m)
	now := clock.Boot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catchUp(m.Version, now)
	var changed []lister.Entry
	for _, c := range m.Entries {
		entry := lister.Entry{Key: c.Key, Revision: c.Revision, Gone: c.Gone}
		if c.Endpoint != nil {
			entry.Endpoint = *c.Endpoint
		} else {
			entry.Gone = true
		}
		if d.lister.Apply(entry, now) {
			changed = append(changed, entry)
		}
	}
	d.relist(changed, m.From)
}

// stayCurrent has the configuration read anew where neither the own watch nor another gateway has shown for a while that
// it is the newest.
func (d *Daemon) stayCurrent(now time.Duration) {
	if _, age := d.tracker.Current(); age < nudgeAge+rand.N(nudgeSpread) || now-d.nudgedAt < nudgeEvery {
		return
	}
	d.nudgedAt = now
	d.config.Nudge()
}

// catchUp has the configuration read anew where another gateway has had a newer one for a while.
func (d *Daemon) catchUp(version uint64, now time.Duration) {
	if own, _ := d.tracker.Seen(); version <= own {
		if version == own {
			d.behindAt = 0
		}
		return
	}
	switch {
	case d.behindAt == 0:
		d.behindAt = now
	case now-d.behindAt > behindFor:
		d.behindAt = now
		d.config.Nudge()
	}
}

// Left forgets another gateway.
func (d *Daemon) Left(gateway string) {
	d.controller.RemovePeer(gateway)
}
