// Package confirmer tracks up to which time a gateway knows all changes of the endpoint list. It learns them from the
// store and from peers, which send each change a few times and a digest of their list in every message. A gateway whose
// list differs for too long from that of one who knows later changes has missed one and must read the list itself.
package confirmer

import "time"

// Options configures a Confirmer.
type Options struct {
	// RepeatTime is the time for which peers of older builds repeat a change in their messages.
	RepeatTime time.Duration
	// MaxAge is the age of the list from which it must be read. It must be less than RepeatTime.
	MaxAge time.Duration
	// ReadInterval is the shortest time between two reads.
	ReadInterval time.Duration
}

// Confirmer holds the time up to which the list is complete. It is not safe for concurrent use.
type Confirmer struct {
	options Options
	// currentAt is a time up to which all changes are known.
	currentAt time.Duration
	// lastReadAt is when ReadDue last returned true.
	lastReadAt time.Duration
	// differs is set while a peer is known that has another list and knew all changes up to later than this gateway does:
	// since differsSince, and up to laterAt.
	differs      bool
	differsSince time.Duration
	laterAt      time.Duration
}

// New returns a Confirmer of a list that counts as complete now.
func New(o Options, now time.Duration) *Confirmer {
	return &Confirmer{options: o, currentAt: now, lastReadAt: now}
}

// Confirm records that the list was complete at the given time: the store said so, or a peer that knew all changes up to
// then has the same list.
func (c *Confirmer) Confirm(at time.Duration) {
	c.currentAt = max(c.currentAt, at)
	c.differs = c.differs && c.laterAt > c.currentAt
}

// RecordDifference records that a peer has another list and knew all changes up to the time at.
func (c *Confirmer) RecordDifference(at, now time.Duration) {
	if at <= c.currentAt {
		return
	}
	if !c.differs {
		c.differs, c.differsSince = true, now
	}
	c.laterAt = max(c.laterAt, at)
}

// ConfirmFromPeer records a message of an older build, which has no digest of the list. The message contains all changes
// that its sender learned within RepeatTime before sentAt, and the sender knew all changes up to the time at. It confirms
// nothing if changes may have been missed before: those are no longer in the message.
func (c *Confirmer) ConfirmFromPeer(sentAt, at time.Duration) {
	if c.currentAt < sentAt-c.options.RepeatTime {
		return
	}
	c.Confirm(at)
}

// Age returns the time since the list was known to be complete.
func (c *Confirmer) Age(now time.Duration) time.Duration {
	return now - c.currentAt
}

// ReadDue returns whether the list must be read now: because it was not confirmed for MaxAge, or because peers who know later
// changes have had another one for maxDifference, in which a change reaches all of them. It returns true at most once in
// ReadInterval.
func (c *Confirmer) ReadDue(maxDifference, now time.Duration) bool {
	differs := c.differs && now-c.differsSince >= maxDifference
	if (c.Age(now) < c.options.MaxAge && !differs) || now-c.lastReadAt < c.options.ReadInterval {
		return false
	}
	c.lastReadAt = now
	return true
}
