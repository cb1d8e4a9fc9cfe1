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
	// endedSilent means that the connection to an endpoint that leaves ended, and that it can't be reached any more.
	endedSilent
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
	case endedSilent:
		return "leaving endpoint silent"
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

// confirmEnd records how a body ended whose end is not marked. A process that crashes, or is taken away, ends its connections like
// one that has sent a whole body, but it answers no probe afterwards. An endpoint that is leaving may also exit behind its last
// response. Nobody can tell, so that its response counts as broken off, too.
func (f *Forwarder) confirmEnd(c *contact) {
	leaving := f.isLeaving(c.endpointID)
	c.found = f.findEnded(c, leaving)
	switch c.found {
	case prober.Running, prober.SameID, prober.Reachable:
		c.ending = endedUnmarked
	case prober.Refused, prober.Replaced:
		c.ending = endedByCrash
	case prober.Unknown:
		c.ending = endedUnconfirmed
		if leaving {
			c.ending = endedSilent
		}
	}
}

// findEnded finds out whether the endpoint of a response that has ended still runs. One that leaves, is not listed any more or has
// asked for a pause gets no question; whether it accepts connections must do.
func (f *Forwarder) findEnded(c *contact, leaving bool) prober.Verdict {
	if _, ok := f.controller.Process(c.endpointID); ok && !leaving {
		return f.ask(c.endpointID)
	}
	v, err := f.prober.Reach(c.address)
	f.logVerdict(prober.Process{Address: c.address, EndpointID: c.endpointID}, v, err)
	return v
}

// isLeaving reports whether an endpoint is leaving or has left.
func (f *Forwarder) isLeaving(endpointID string) (leaving bool) {
	f.controller.ReadCrashTracker(func(t *crashtracker.CrashTracker) { leaving = t.IsLeaving(endpointID) })
	return leaving
}
