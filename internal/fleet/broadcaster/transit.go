package broadcaster

import "time"

// unknownTransitTime is assumed for the first message of an incarnation, which nothing can be compared with, and for
// messages of builds that do not say when they were composed.
const unknownTransitTime = time.Second

// transitClock estimates how long messages of one sender were on their way, from the sender's clock and the own one. The
// clocks need not agree: the message that took least time shows how far they differ.
type transitClock struct {
	// known is true once a message was received, and leastDifference is the least difference between the time at which a
	// message was received, on the own clock, and the time at which it was sent, on the sender's clock.
	known           bool
	leastDifference time.Duration
}

// transitTime records a message and returns the time by which it took longer than the fastest one so far. That includes
// the time in which it waited to be read.
func (t *transitClock) transitTime(sentAt, receivedAt time.Duration) time.Duration {
	difference := receivedAt - sentAt
	if !t.known {
		t.known, t.leastDifference = true, difference
		return unknownTransitTime
	}
	t.leastDifference = min(t.leastDifference, difference)
	return difference - t.leastDifference
}
