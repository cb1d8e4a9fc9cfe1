package forwarder

import (
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
)

// ending is how the body of an endpoint's response ended.
type ending uint8

// The endings of a body.
const (
	// notEnded means that there was no response, or that its body was not read to the end.
	notEnded ending = iota
	// endedComplete means that the endpoint marked the end of the body.
	endedComplete
	// endedUnmarked means that the connection ended, and the body with it, and that the endpoint has not crashed.
	endedUnmarked
	// endedUnconfirmed is endedUnmarked, but whether the endpoint has crashed is not known.
	endedUnconfirmed
	// endedByCrash means that the connection ended and the endpoint accepts no connections any more.
	endedByCrash
	// endedInsideEvent means that a stream ended inside an event.
	endedInsideEvent
	// endedEmpty means that a stream whose end is not marked ended before its first event.
	endedEmpty
	// endedByError means that the connection broke, or that the attempt was cancelled.
	endedByError
)

// brokenOff reports whether the body is known to be incomplete.
func (e ending) brokenOff() bool {
	return e >= endedByCrash
}

// String returns the ending as it appears in logs.
func (e ending) String() string {
	switch e {
	case notEnded:
		return ""
	case endedComplete:
		return "complete"
	case endedUnmarked:
		return "connection closed"
	case endedUnconfirmed:
		return "connection closed, endpoint silent"
	case endedByCrash:
		return "endpoint down"
	case endedInsideEvent:
		return "inside an event"
	case endedEmpty:
		return "before the first event"
	default:
		return "error"
	}
}

// recordEnd records how the body of a response ended that was read up to the given error, which is nil at its end.
func (f *Forwarder) recordEnd(c *contact, err error) {
	c.err = err
	switch {
	case err != nil:
		c.ending = endedByError
	case c.response.Delimiter.MarksEnd():
		c.ending = endedComplete
	default:
		f.confirmEnd(c)
	}
}

// confirmEnd records how a body ended whose end is not marked. A process that crashes ends its connections like one that
// has sent a whole body, but it answers no probe afterwards. An endpoint that is leaving may exit behind its last response,
// so its end shows nothing.
func (f *Forwarder) confirmEnd(c *contact) {
	if !f.isLeaving(c.endpointID) {
		c.found = f.ask(c.endpointID)
	}
	switch c.found {
	case prober.Running, prober.SameID:
		c.ending = endedUnmarked
	case prober.Refused, prober.Replaced:
		c.ending = endedByCrash
	default:
		c.ending = endedUnconfirmed
	}
}

// isLeaving reports whether an endpoint is leaving or has left.
func (f *Forwarder) isLeaving(endpointID string) (leaving bool) {
	f.controller.ReadCrashTracker(func(t *crashtracker.CrashTracker) { leaving = t.IsLeaving(endpointID) })
	return leaving
}
