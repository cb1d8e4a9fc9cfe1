package fleet

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

// The methods of the fleet protocol.
const (
	MethodHello   = "hello"
	MethodReserve = "reserve"
	MethodPrefill = "prefill"
	MethodDecode  = "decode"
	MethodTokens  = "tokens"
	MethodRelease = "release"
	MethodCall    = "call"
	MethodMirror  = "mirror"
	MethodGossip  = "gossip"
	MethodDebit   = "debit"
	MethodSettle  = "settle"
	MethodOrder   = "order"
)

// Outcome tells how an order to an agent ended.
type Outcome string

// The outcomes.
const (
	OutcomeOK          Outcome = "ok"
	OutcomeFull        Outcome = "full"
	OutcomeLost        Outcome = "lost"
	OutcomeCrashed     Outcome = "crashed"
	OutcomeUnreachable Outcome = "unreachable"
)

// Hello names the incarnation of the process that opened the connection.
type Hello struct {
	Incarnation string `json:"incarnation"`
}

// Load is the load that rides on answers.
type Load struct {
	Held    int `json:"held"`
	Free    int `json:"free"`
	Backlog int `json:"backlog"`
}

// LoadFrom converts a load to its wire form.
func LoadFrom(l endpoint.Load) Load {
	return Load{Held: l.UsedSlots, Free: l.FreePieces, Backlog: l.BacklogTokens}
}

// Endpoint converts a load from its wire form.
func (l Load) Endpoint() endpoint.Load {
	return endpoint.Load{UsedSlots: l.Held, FreePieces: l.Free, BacklogTokens: l.Backlog}
}

// Attempt identifies one attempt of a request of the gateway that holds the connection.
type Attempt struct {
	Request uint64 `json:"request"`
	Attempt int    `json:"attempt"`
}

// Reservation asks for a decode slot.
type Reservation struct {
	Attempt
	Pieces int `json:"pieces"`
}

// Work orders a prefill or a decode.
type Work struct {
	Attempt
	Account  string `json:"account"`
	Prompt   string `json:"prompt"`
	Tokens   int    `json:"tokens"`
	Prefix   uint64 `json:"prefix,omitempty"`
	Priority int    `json:"priority,omitempty"`
	// Sent is how many tokens the caller has; Max is the largest answer.
	Sent int `json:"sent,omitempty"`
	Max  int `json:"max,omitempty"`
	// Source and Handle locate the KV cache, for a decode.
	Source string `json:"source,omitempty"`
	Handle string `json:"handle,omitempty"`
}

// Answer ends an order.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	Load    Load    `json:"load"`
	// Source and Handle locate the KV cache after a prefill.
	Source string `json:"source,omitempty"`
	Handle string `json:"handle,omitempty"`
}

// Tokens carries answer tokens from an agent to the gateway.
type Tokens struct {
	Attempt
	// Index is the position of the first token.
	Index int      `json:"index"`
	Texts []string `json:"texts"`
}

// Call is a call of a plain service.
type Call struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Name    string `json:"name"`
	// Key is the caller's idempotency key; empty means none.
	Key string `json:"key,omitempty"`
	// Digest is the digest of the body, to tell a repeated call from another with the same key.
	Digest uint64 `json:"digest,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Read marks an idempotent read.
	Read bool `json:"read,omitempty"`
	// Mirrors are the agents that remember the key besides this one.
	Mirrors []string `json:"mirrors,omitempty"`
}

// CallOutcome tells how a call of a plain service ended.
type CallOutcome string

// The outcomes of a call.
const (
	// CallDone carries the answer, of this run or of the remembered one.
	CallDone CallOutcome = "done"
	// CallRunning means that the same key is running now.
	CallRunning CallOutcome = "running"
	// CallUnknown means that the call may have run.
	CallUnknown CallOutcome = "unknown"
	// CallNotRun means that it is certain that nothing reached the service.
	CallNotRun CallOutcome = "notrun"
	// CallConflict means that the key was used with another body.
	CallConflict CallOutcome = "conflict"
)

// CallAnswer ends a call.
type CallAnswer struct {
	Outcome  CallOutcome `json:"outcome"`
	Result   string      `json:"result,omitempty"`
	Replayed bool        `json:"replayed,omitempty"`
	Load     Load        `json:"load"`
}

// Mirror is a record of an idempotency key.
type Mirror struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	Digest  uint64 `json:"digest"`
	// Phase is begin, done or drop.
	Phase  string `json:"phase"`
	Result string `json:"result,omitempty"`
	// Runner is the incarnation that runs the call.
	Runner string `json:"runner"`
}

// Gossip is one exchange between gateways. The asker tells what it holds; the answer carries the
// lists that the asker lacks.
type Gossip struct {
	Plans uint64 `json:"plans"`
	Uses  uint64 `json:"uses"`
	VMs   uint64 `json:"vms"`
	// Lists carries the lists that are newer than the asker's, on answers only.
	Lists []List `json:"lists,omitempty"`
	Share Share  `json:"share"`
	// Blames are the fingerprints of requests that crashed endpoints.
	Blames []Blame `json:"blames,omitempty"`
}

// Share is a message of the allocator of limits.
type Share struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"incarnation"`
	Answer      bool          `json:"answer,omitempty"`
	View        uint64        `json:"view"`
	Asked       time.Duration `json:"asked"`
	Asker       uint64        `json:"asker,omitempty"`
}

// List is one version of a list: whole, or as what changed since an earlier version.
type List struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// Text is the whole list; empty for a delta.
	Text string `json:"text,omitempty"`
	// From is the version that a delta starts from; zero for a whole list.
	From   uint64   `json:"from,omitempty"`
	Set    []string `json:"set,omitempty"`
	Drop   []string `json:"drop,omitempty"`
	Digest uint64   `json:"digest,omitempty"`
}

// Blame is a shared crash record.
type Blame struct {
	Fingerprint uint64   `json:"fingerprint"`
	Endpoints   []string `json:"endpoints"`
	AgeMillis   int64    `json:"age"`
}

// Debit asks another gateway to charge up to that many tokens to its share of an account's limit.
type Debit struct {
	Account string  `json:"account"`
	Tokens  float64 `json:"tokens"`
}

// DebitAnswer tells how many tokens were charged; zero for none.
type DebitAnswer struct {
	Tokens float64 `json:"tokens"`
	Grant  uint64  `json:"grant,omitempty"`
}

// Settle returns the unused part of a debit to the gateway that charged it.
type Settle struct {
	Grant  uint64  `json:"grant"`
	Unused float64 `json:"unused"`
}

// Order is an order to an engine, protected by a fencing number.
type Order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}
