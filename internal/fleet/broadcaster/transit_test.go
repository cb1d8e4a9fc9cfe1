package broadcaster

import (
	"testing"
	"time"
)

// A process that was suspended reads messages that waited in its socket. The time that they waited must be known, or what
// they report would seem newer than it is.
func TestMessageThatWaitedSeemsFresh(t *testing.T) {
	const clockDifference = 700 * time.Hour
	var c transitClock
	receive := func(sentAt, transit time.Duration) time.Duration {
		return c.transitTime(sentAt, sentAt+transit+clockDifference)
	}
	receive(time.Second, 3*time.Millisecond)
	if got := receive(2*time.Second, time.Millisecond); got != 0 {
		t.Errorf("got transit time %v for the fastest message, want 0", got)
	}
	if got, want := receive(3*time.Second, 4*time.Second), 3999*time.Millisecond; got != want {
		t.Errorf("got transit time %v for a message that waited 4s, want %v", got, want)
	}
}

// The first message of a sender may have waited for any time.
func TestFirstMessageSeemsFresh(t *testing.T) {
	var c transitClock
	if got := c.transitTime(time.Second, time.Hour); got != unknownTransitTime {
		t.Errorf("got transit time %v for the first message, want %v", got, unknownTransitTime)
	}
}
