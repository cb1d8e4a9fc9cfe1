// Package dater bounds from above how old the messages of another process are, when they are read. A message names the time on
// its sender's clock at which it was composed; how far that clock differs from the own one is learned from round trips that this
// process itself began. The answer to a question was composed after the question was sent, so it bounds the difference whatever
// the way took, and however long either process was suspended.
//
// The fastest message so far is no such bound: the first messages of a sender may all have waited in the socket of a process
// that was suspended.
package dater

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/rotator"
)

const (
	// periodTime is how long a measurement counts at least; it counts at most twice as long. Clocks run at slightly different
	// rates, and a clock may be set forward.
	periodTime = 30 * time.Second
	// refreshInterval is the time between two questions to a sender whose clock is known.
	refreshInterval = 20 * time.Second
	// retryInterval is the time between two questions while there is no answer that came back within maxRoundTrip.
	retryInterval = 500 * time.Millisecond
	// maxRoundTrip is the longest round trip whose measurement is used. A longer one would make messages look older by as much.
	maxRoundTrip = 500 * time.Millisecond
)

// measurement is what the answers of one period have shown.
type measurement struct {
	// known is set if there was one. leastDifference is then the largest lower bound of the difference between the own clock
	// and that of the sender.
	known           bool
	leastDifference time.Duration
}

// with returns what two periods have shown together.
func (m measurement) with(other measurement) measurement {
	switch {
	case !m.known:
		return other
	case !other.known:
		return m
	default:
		return measurement{known: true, leastDifference: max(m.leastDifference, other.leastDifference)}
	}
}

// Dater dates the messages of one incarnation of a sender. It is not safe for concurrent use. Its times are readings of the
// clock of this process, unless they are said to be of the sender's.
type Dater struct {
	periods *rotator.Rotator[measurement]
	// askedAt is the time of the latest question, and waiting is set until its answer has come.
	askedAt time.Duration
	waiting bool
	// asked is set once a question was sent, and unanswered counts the questions since the latest answer.
	asked      bool
	unanswered int
}

// New returns a Dater of a sender of which nothing is known.
func New() *Dater {
	return &Dater{periods: rotator.New(periodTime, func() measurement { return measurement{} })}
}

// AskDue reports whether the sender is to be asked for its time now, and records that it is. The caller must send the question
// with the time now.
func (d *Dater) AskDue(now time.Duration) bool {
	interval := refreshInterval
	if d.waiting || !d.latest(now).known {
		interval = retryInterval
	}
	if d.asked && now-d.askedAt < interval {
		return false
	}
	d.asked, d.askedAt, d.waiting = true, now, true
	d.unanswered++
	return true
}

// Unanswered returns the number of questions since the latest answer. It does not count answers that were not used.
func (d *Dater) Unanswered() int {
	return d.unanswered
}

// RecordAnswer records that the sender read the question of askedAt when its own clock showed senderTime. An answer to another
// question than the latest is ignored, and so is one that took longer than maxRoundTrip. It returns whether the answer was used.
func (d *Dater) RecordAnswer(askedAt, senderTime, now time.Duration) bool {
	if !d.waiting || askedAt != d.askedAt || now-askedAt > maxRoundTrip {
		return false
	}
	d.waiting, d.unanswered = false, 0
	current, _ := d.periods.Periods(now)
	d.periods.Set(current.with(measurement{known: true, leastDifference: askedAt - senderTime}))
	return true
}

// Age returns an upper bound of the time since a message was composed, whose sender's clock showed sentAt then. known is false if
// nothing bounds it: the sender has not answered yet, or one of the clocks was set.
func (d *Dater) Age(sentAt, now time.Duration) (age time.Duration, known bool) {
	m := d.latest(now)
	if !m.known {
		return 0, false
	}
	age = now - sentAt - m.leastDifference
	if age < 0 {
		// No message arrives before it was composed: the clocks don't differ any more as they did.
		d.reset()
		return 0, false
	}
	return age, true
}

// latest returns what the answers of both periods have shown.
func (d *Dater) latest(now time.Duration) measurement {
	current, previous := d.periods.Periods(now)
	return current.with(previous)
}

// reset forgets all answers. The sender is asked again at once.
func (d *Dater) reset() {
	*d = *New()
}
