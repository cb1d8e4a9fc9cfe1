// Package scripter describes what a peer of a gateway does with one request: how its answer is framed, where it breaks off,
// to which request it claims to belong, what is repeated, and what becomes of the process behind the address. It names the
// axes along which peers of the protocol may differ; which points are tried is drawn by package drawer, and what the peer
// then puts on the wire is in the stand-ins.
package scripter

import (
	"fmt"
	"strings"
	"time"
)

// Framing is what delimits the body of an answer.
type Framing uint8

// The framings of an answer.
const (
	// Length is a Content-Length.
	Length Framing = iota
	// Chunks is the chunked transfer encoding.
	Chunks
	// Unframed is neither, so that the body ends with the connection.
	Unframed
	// LengthAndChunks is both.
	LengthAndChunks
	// TwoLengths is two lengths that contradict each other.
	TwoLengths
	// Informational is an answer of status 100 before the one with a length.
	Informational
	framings
)

// Cut is how an answer ends before its end.
type Cut uint8

// The cuts of an answer.
const (
	// Whole is no cut.
	Whole Cut = iota
	// Close closes the connection in the ordinary way.
	Close
	// Reset resets it.
	Reset
	// Silence sends nothing more and keeps the connection open.
	Silence
	// Trickle sends single bytes that complete nothing, and keeps the connection open.
	Trickle
	// MarkedInside marks the end of the body as if it were complete. It differs from Close only for chunks.
	MarkedInside
	// Crash ends the process: its listener and all its connections.
	Crash
	cuts
)

// Identity is the request to which an answer claims to belong.
type Identity uint8

// The identities of an answer.
const (
	// Own is the request itself.
	Own Identity = iota
	// Another is a request that nobody sent.
	Another
	// Earlier is the request before it on the same connection, or Another if there is none.
	Earlier
	// Nobody is no ID at all.
	Nobody
	identities
)

// Verdict is what an answer says became of the request.
type Verdict uint8

// The verdicts of an answer.
const (
	// Served is status 200 with the seal.
	Served Verdict = iota
	// Failed is status 500 with the seal.
	Failed
	// Refused is status 503 that says that the request has not run.
	Refused
	// Misdirected is status 421.
	Misdirected
	// Unsealed is status 200 without the seal.
	Unsealed
	// ErrorText is status 200 with the seal and a body that is the text of an error.
	ErrorText
	verdicts
)

// Repeat is what a peer sends besides the answer.
type Repeat uint8

// The repetitions.
const (
	// Once is nothing besides.
	Once Repeat = iota
	// Twice is a second copy right behind the answer.
	Twice
	// Stray is a second copy a moment later, when the connection is idle or has the next request.
	Stray
	// LateCopy is a copy of the previous answer on the connection, once this request has arrived.
	LateCopy
	// LateRefusal is a refusal of the previous request on the connection, once this request has arrived.
	LateRefusal
	repeats
)

// Successor is what accepts connections at the address of a process that crashed.
type Successor uint8

// The successors of a process.
const (
	// Nothing accepts connections any more.
	Nothing Successor = iota
	// NewID is the endpoint under a new ID.
	NewID
	// SameID is the endpoint under its ID, with a new start.
	SameID
	// OtherService is an endpoint of another service.
	OtherService
	// Stuck accepts connections and never answers.
	Stuck
	successors
)

// Signal is what a peer says of itself in the head of its answer.
type Signal uint8

// The signals.
const (
	// NoSignal says nothing.
	NoSignal Signal = iota
	// Leaves says that it leaves.
	Leaves
	// Malformed says something of the right name that can't be understood.
	Malformed
	signals
)

// Exchange is what a peer does with one request. The zero value is a whole answer with a length.
type Exchange struct {
	Framing  Framing
	Cut      Cut
	Identity Identity
	Verdict  Verdict
	Repeat   Repeat
	Signal   Signal
	// CutAfter is the number of bytes of the answer, head included, that are sent before the cut. Whole ignores it.
	CutAfter int
	// Successor follows at the address after a Crash, BackAfter later.
	Successor Successor
	BackAfter time.Duration
}

// Sizes are the numbers of points on the axes, by the name of the axis, for generators.
type Sizes struct {
	Framings, Cuts, Identities, Verdicts, Repeats, Signals, Successors int
}

// AllSizes returns the numbers of points on all axes.
func AllSizes() Sizes {
	return Sizes{
		Framings: int(framings), Cuts: int(cuts), Identities: int(identities), Verdicts: int(verdicts),
		Repeats: int(repeats), Signals: int(signals), Successors: int(successors),
	}
}

// Runs reports whether the endpoint runs the request.
func (e Exchange) Runs() bool {
	return e.Verdict != Refused && e.Verdict != Misdirected
}

// IsSound reports whether a caller must be served with this answer if nothing else happens: it is whole, belongs to the
// request and says so, and its end can be told from a crash.
func (e Exchange) IsSound() bool {
	return e.Cut == Whole && e.Identity == Own && e.Verdict == Served && e.Repeat == Once && e.Framing != TwoLengths &&
		e.Framing != LengthAndChunks
}

// String returns the points on all axes.
func (e Exchange) String() string {
	out := []string{
		name(e.Framing, "length", "chunks", "unframed", "length and chunks", "two lengths", "informational"),
		name(e.Verdict, "served", "failed", "refused", "misdirected", "unsealed", "error text"),
		name(e.Identity, "own ID", "another's ID", "earlier ID", "no ID"),
		name(e.Repeat, "once", "twice", "stray copy", "late copy", "late refusal"),
		name(e.Signal, "no signal", "leaves", "malformed signal"),
		name(e.Cut, "whole", "close", "reset", "silence", "trickle", "marked inside", "crash"),
	}
	if e.Cut != Whole {
		out = append(out, fmt.Sprintf("after %d bytes", e.CutAfter))
	}
	if e.Cut == Crash {
		out = append(out, name(e.Successor, "nothing", "new ID", "same ID", "other service", "stuck")+" after "+e.BackAfter.String())
	}
	return strings.Join(out, ", ")
}

// name returns the name of a point on an axis.
func name[T ~uint8](point T, names ...string) string {
	return names[point]
}
