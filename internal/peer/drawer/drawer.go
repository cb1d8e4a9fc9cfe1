// Package drawer draws what the peers of a gateway do, so that nobody has to think of it. Draws that fail shrink towards
// whole answers of one endpoint.
package drawer

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiovane/pistachiovane/internal/peer/scripter"
)

const (
	// maxRequests and maxAttempts limit the requests of a draw, and the answers that are drawn for each.
	maxRequests = 4
	maxAttempts = 4
	// One of drawsPerCrasher draws has a request that crashes endpoints.
	drawsPerCrasher = 6
	// One of drawsPerPart draws has requests that share a part which crashes endpoints.
	drawsPerPart = 20
	// maxCutBytes is longer than the answers of the stand-ins.
	maxCutBytes = 600
)

// Route is the kind of a request.
type Route uint8

// The routes of the drawn requests.
const (
	// Read is a call that may run again.
	Read Route = iota
	// Book is a call that may run once.
	Book
	// Draft is a generation whose stream may be resumed.
	Draft
	// Note is a generation whose stream may not be resumed.
	Note
	routes
)

// Request is one request and what its endpoints do with it, in the order of the attempts. Further attempts are answered as
// usual.
type Request struct {
	Route Route
	// Prefills are the exchanges of its prefill, if it has one, Runs those of its runs.
	Prefills []scripter.Exchange
	Runs     []scripter.Exchange
	// SameConnection sends the request on the connection of the one before it.
	SameConnection bool
}

// Crasher is a request that crashes each endpoint that runs it, or prefills it, and that its caller repeats.
type Crasher struct {
	Route Route
	// Prefill is set if the prefill crashes endpoints, not the run.
	Prefill bool
	// Exchange is what each endpoint does with it. Its cut is a crash.
	Exchange scripter.Exchange
	Times    int
	// Gateways is how many gateways get it, in turn.
	Gateways int
	// Pause is the time between two repetitions.
	Pause time.Duration
}

// Part is a part of prompts that crashes each endpoint that writes an answer on it. Requests with it are no two alike.
type Part struct {
	// Route is that of a generation.
	Route Route
	// Position is how many parts come before it, Behind how many come behind it before the last one.
	Position, Behind int
	// Exchange is what each endpoint does with these requests. Its cut is a crash.
	Exchange scripter.Exchange
	// AtOnce is how many requests come at a time.
	AtOnce int
}

// Draw is a sequence of requests, and a request or a part that crashes endpoints, or nil.
type Draw struct {
	Requests []Request
	Crasher  *Crasher
	Part     *Part
}

// String returns the draw as it appears in reports of failures.
func (d Draw) String() string {
	out := ""
	for _, r := range d.Requests {
		out += fmt.Sprintf("request to route %d, same connection %t, prefills %v, runs %v\n", r.Route, r.SameConnection, r.Prefills, r.Runs)
	}
	if d.Crasher != nil {
		out += fmt.Sprintf("crasher %+v", *d.Crasher)
	}
	if d.Part != nil {
		out += fmt.Sprintf("part %+v", *d.Part)
	}
	return out
}

// Draws returns a generator of draws.
func Draws() *rapid.Generator[Draw] {
	return rapid.Custom(func(t *rapid.T) Draw {
		d := Draw{Requests: rapid.SliceOfN(requests(), 1, maxRequests).Draw(t, "requests")}
		if rapid.IntRange(0, drawsPerCrasher-1).Draw(t, "crasher") == drawsPerCrasher-1 {
			c := crashers().Draw(t, "crasher")
			d.Crasher = &c
		}
		if rapid.IntRange(0, drawsPerPart-1).Draw(t, "part") == drawsPerPart-1 {
			p := parts().Draw(t, "part")
			d.Part = &p
		}
		return d
	})
}

// crashers returns a generator of requests that crash endpoints.
func crashers() *rapid.Generator[Crasher] {
	return rapid.Custom(func(t *rapid.T) Crasher {
		c := Crasher{
			Route: Route(rapid.IntRange(0, int(routes)-1).Draw(t, "route")),
			Times: rapid.IntRange(3, 8).Draw(t, "times"), Gateways: rapid.IntRange(1, 2).Draw(t, "gateways"), Pause: rapid.SampledFrom(pauses()).Draw(t, "pause"),
			Exchange: crash(t),
		}
		c.Prefill = c.Route >= Draft && rapid.Bool().Draw(t, "prefill")
		return c
	})
}

// parts returns a generator of parts that crash endpoints.
func parts() *rapid.Generator[Part] {
	return rapid.Custom(func(t *rapid.T) Part {
		return Part{
			Route:    Route(rapid.IntRange(int(Draft), int(Note)).Draw(t, "route")),
			Position: rapid.IntRange(0, 2).Draw(t, "position"), Behind: rapid.IntRange(0, 3).Draw(t, "behind"),
			Exchange: crash(t), AtOnce: rapid.IntRange(1, 3).Draw(t, "at once"),
		}
	})
}

// crash draws an exchange in which the endpoint crashes.
func crash(t *rapid.T) scripter.Exchange {
	return scripter.Exchange{
		Cut: scripter.Crash, CutAfter: rapid.IntRange(0, maxCutBytes).Draw(t, "cut after"),
		Framing:   scripter.Framing(rapid.IntRange(0, int(scripter.Unframed)).Draw(t, "framing")),
		Successor: axis[scripter.Successor](t, "successor", scripter.AllSizes().Successors, 0),
		BackAfter: rapid.SampledFrom(backTimes()).Draw(t, "back after"),
	}
}

// pauses returns the times between two repetitions of a request.
func pauses() []time.Duration {
	return []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond}
}

// requests returns a generator of requests.
func requests() *rapid.Generator[Request] {
	return rapid.Custom(func(t *rapid.T) Request {
		r := Request{
			Route:          Route(rapid.IntRange(0, int(routes)-1).Draw(t, "route")),
			Runs:           rapid.SliceOfN(exchanges(), 1, maxAttempts).Draw(t, "runs"),
			SameConnection: rapid.Bool().Draw(t, "same connection"),
		}
		if r.Route >= Draft && rapid.IntRange(0, 3).Draw(t, "odd prefill") == 3 {
			r.Prefills = rapid.SliceOfN(exchanges(), 1, 2).Draw(t, "prefills")
		}
		return r
	})
}

// exchanges returns a generator of exchanges. Most axes are drawn as usual answers have them, so that an exchange differs
// in one or two of them.
func exchanges() *rapid.Generator[scripter.Exchange] {
	sizes := scripter.AllSizes()
	return rapid.Custom(func(t *rapid.T) scripter.Exchange {
		x := scripter.Exchange{
			Framing:  axis[scripter.Framing](t, "framing", sizes.Framings, 1),
			Cut:      axis[scripter.Cut](t, "cut", sizes.Cuts, 1),
			Identity: axis[scripter.Identity](t, "identity", sizes.Identities, 5),
			Verdict:  axis[scripter.Verdict](t, "verdict", sizes.Verdicts, 3),
			Repeat:   axis[scripter.Repeat](t, "repeat", sizes.Repeats, 2),
			Signal:   axis[scripter.Signal](t, "signal", sizes.Signals, 20),
		}
		if x.Cut != scripter.Whole {
			x.CutAfter = rapid.IntRange(0, maxCutBytes).Draw(t, "cut after")
		}
		if x.Cut == scripter.Crash {
			x.Successor = axis[scripter.Successor](t, "successor", sizes.Successors, 0)
			x.BackAfter = rapid.SampledFrom(backTimes()).Draw(t, "back after")
		}
		return x
	})
}

// axis draws a point of an axis: the first one usual+1 times as often as each of the others.
func axis[T ~uint8](t *rapid.T, label string, size, usual int) T {
	return T(max(0, rapid.IntRange(-usual, size-1).Draw(t, label)))
}

// backTimes returns the times after which the address of a crashed process accepts connections again.
func backTimes() []time.Duration {
	return []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond, 300 * time.Millisecond}
}
