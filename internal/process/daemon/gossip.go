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
	_, recentGateways := d.broadcaster.Rank(peerTimeout)
	maxWait := min(maxConfigWait, max(minConfigWait, time.Duration(recentGateways)*configWaitPerGateway))
	// A change ends all watches at once; without chance they would go on ending together.
	return maxWait/3 + rand.N(maxWait*2/3), 0
}

// endpointPace returns how often the endpoint list is read.
func (d *Daemon) endpointPace() (wait, pause time.Duration) {
	if rank, _ := d.broadcaster.Rank(peerTimeout); rank >= listReaders {
		return listWatchTimeout, listDefaultPause
	}
	return listWatchTimeout, listReaderPause
}

// Compose returns what to tell the other gateways.
func (d *Daemon) Compose(availableTokens bool) (m broadcaster.Message, busy bool) {
	m, busy = d.controller.Compose(availableTokens)
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rereadOldConfig(now)
	for _, c := range d.lister.RecentChanges(changeGossipPeriod, removalRetention, now, maxChangesPerMessage) {
		entry := broadcaster.EndpointChange{Key: c.Key, Revision: c.Revision, Removed: c.Removed}
		if !c.Removed {
			endpoint := c.Endpoint
			entry.Endpoint = &endpoint
		}
		m.EndpointChanges = append(m.EndpointChanges, entry)
	}
	return m, busy
}

// Receive takes in what another gateway tells.
func (d *Daemon) Receive(m broadcaster.Message) {
	d.controller.Receive(m)
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rereadBehindConfig(m.ConfigVersion, now)
	var changed []lister.Entry
	for _, c := range m.EndpointChanges {
		entry := lister.Entry{Key: c.Key, Revision: c.Revision, Removed: c.Removed}
		if c.Endpoint != nil {
			entry.Endpoint = *c.Endpoint
		} else {
			entry.Removed = true
		}
		if d.lister.Apply(entry, now) {
			changed = append(changed, entry)
		}
	}
	d.activateListChanges(changed, m.From)
}

// rereadOldConfig has the configuration read anew where neither the own watch nor another gateway has shown for a while that
// it is the newest.
func (d *Daemon) rereadOldConfig(now time.Duration) {
	if _, age := d.tracker.Active(); age < minRereadAge+rand.N(rereadAgeJitter) || now-d.lastRereadAt < rereadInterval {
		return
	}
	d.lastRereadAt = now
	d.configFollower.Refresh()
}

// rereadBehindConfig has the configuration read anew where another gateway has had a newer one for a while.
func (d *Daemon) rereadBehindConfig(version uint64, now time.Duration) {
	if ownVersion, _ := d.tracker.StoreConfirmed(); version <= ownVersion {
		if version == ownVersion {
			d.behindSince = 0
		}
		return
	}
	switch {
	case d.behindSince == 0:
		d.behindSince = now
	case now-d.behindSince > behindBeforeReread:
		d.behindSince = now
		d.configFollower.Refresh()
	}
}

// RemovePeer forgets another gateway.
func (d *Daemon) RemovePeer(gateway string) {
	d.controller.RemovePeer(gateway)
}
