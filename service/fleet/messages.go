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
	OutcomeOK                  Outcome = "ok"
	OutcomeNoCapacity          Outcome = "full"
	OutcomeAttemptLost         Outcome = "lost"
	OutcomeEndpointCrashed     Outcome = "crashed"
	OutcomeEndpointUnreachable Outcome = "unreachable"
)

// Hello names the incarnation of the process that opened the connection.
type Hello struct {
	Incarnation string `json:"incarnation"`
}

// Load is the load that rides on answers.
type Load struct {
	UsedSlots     int `json:"held"`
	FreePieces    int `json:"free"`
	BacklogTokens int `json:"backlog"`
}

// EncodeLoad converts a load to its wire form.
func EncodeLoad(l endpoint.Load) Load {
	return Load{UsedSlots: l.UsedSlots, FreePieces: l.FreePieces, BacklogTokens: l.BacklogTokens}
}

// Decode converts a load from its wire form.
func (l Load) Decode() endpoint.Load {
	return endpoint.Load{UsedSlots: l.UsedSlots, FreePieces: l.FreePieces, BacklogTokens: l.BacklogTokens}
}

// Attempt identifies one attempt of a request of the gateway that holds the connection.
type Attempt struct {
	RequestID uint64 `json:"request"`
	Attempt   int    `json:"attempt"`
}

// ReserveRequest asks for a decode slot.
type ReserveRequest struct {
	Attempt
	Pieces int `json:"pieces"`
}

// StageRequest orders a prefill or a decode.
type StageRequest struct {
	Attempt
	Account      string `json:"account"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"tokens"`
	PrefixDigest uint64 `json:"prefix,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	// SentTokens is how many tokens the caller has; Max is the largest answer.
	SentTokens      int `json:"sent,omitempty"`
	MaxOutputTokens int `json:"max,omitempty"`
	// KVSource and Handle locate the KV cache, for a decode.
	KVSource string `json:"source,omitempty"`
	KVHandle string `json:"handle,omitempty"`
}

// StageResponse ends an order.
type StageResponse struct {
	Outcome Outcome `json:"outcome"`
	Load    Load    `json:"load"`
	// KVSource and Handle locate the KV cache after a prefill.
	KVSource string `json:"source,omitempty"`
	KVHandle string `json:"handle,omitempty"`
}

// TokenBatch carries answer tokens from an agent to the gateway.
type TokenBatch struct {
	Attempt
	// FirstIndex is the position of the first token.
	FirstIndex int      `json:"index"`
	Texts      []string `json:"texts"`
}

// CallRequest is a call of a plain service.
type CallRequest struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Name    string `json:"name"`
	// IdempotencyKey is the caller's idempotency key; empty means none.
	IdempotencyKey string `json:"key,omitempty"`
	// BodyDigest is the digest of the body, to tell a repeated call from another with the same key.
	BodyDigest uint64 `json:"digest,omitempty"`
	Body       []byte `json:"body,omitempty"`
	// ReadOnly marks an idempotent read.
	ReadOnly bool `json:"read,omitempty"`
	// MirrorAgents are the agents that remember the key besides this one.
	MirrorAgents []string `json:"mirrors,omitempty"`
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
	// CallNotExecuted means that it is certain that nothing reached the service.
	CallNotExecuted CallOutcome = "notrun"
	// CallConflict means that the key was used with another body.
	CallConflict CallOutcome = "conflict"
)

// CallResponse ends a call.
type CallResponse struct {
	Outcome  CallOutcome `json:"outcome"`
	Result   string      `json:"result,omitempty"`
	Replayed bool        `json:"replayed,omitempty"`
	Load     Load        `json:"load"`
}

// MirrorUpdate is a record of an idempotency key.
type MirrorUpdate struct {
	Account        string `json:"account"`
	IdempotencyKey string `json:"key"`
	BodyDigest     uint64 `json:"digest"`
	// Phase is begin, done or drop.
	Phase  string `json:"phase"`
	Result string `json:"result,omitempty"`
	// RunnerIncarnation is the incarnation that runs the call.
	RunnerIncarnation string `json:"runner"`
}

// GossipMessage is one exchange between gateways. The asker tells what it holds; the answer carries the
// lists that the asker lacks.
type GossipMessage struct {
	PlansVersion uint64 `json:"plans"`
	UsesVersion  uint64 `json:"uses"`
	VMsVersion   uint64 `json:"vms"`
	// Lists carries the lists that are newer than the asker's, on answers only.
	Lists []List       `json:"lists,omitempty"`
	Share ShareMessage `json:"share"`
	// CrashRecords are the fingerprints of requests that crashed endpoints.
	CrashRecords []CrashRecord `json:"blames,omitempty"`
}

// ShareMessage is a message of the allocator of limits.
type ShareMessage struct {
	Name                 string        `json:"name"`
	Incarnation          uint64        `json:"incarnation"`
	IsReply              bool          `json:"answer,omitempty"`
	ViewVersion          uint64        `json:"view"`
	RequestedAt          time.Duration `json:"asked"`
	RequesterIncarnation uint64        `json:"asker,omitempty"`
}

// List is one version of a list: whole, or as what changed since an earlier version.
type List struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// Text is the whole list; empty for a delta.
	Text string `json:"text,omitempty"`
	// BaseVersion is the version that a delta starts from; zero for a whole list.
	BaseVersion     uint64   `json:"from,omitempty"`
	ChangedSections []string `json:"set,omitempty"`
	RemovedSections []string `json:"drop,omitempty"`
	TextDigest      uint64   `json:"digest,omitempty"`
}

// CrashRecord is a shared crash record.
type CrashRecord struct {
	Fingerprint uint64   `json:"fingerprint"`
	Endpoints   []string `json:"endpoints"`
	AgeMillis   int64    `json:"age"`
}

// DebitRequest asks another gateway to charge up to that many tokens to its share of an account's limit.
type DebitRequest struct {
	Account string  `json:"account"`
	Tokens  float64 `json:"tokens"`
}

// DebitResponse tells how many tokens were charged; zero for none.
type DebitResponse struct {
	ChargedTokens float64 `json:"tokens"`
	GrantID       uint64  `json:"grant,omitempty"`
}

// SettleRequest returns the unused part of a debit to the gateway that charged it.
type SettleRequest struct {
	GrantID      uint64  `json:"grant"`
	UnusedTokens float64 `json:"unused"`
}

// Order is an order to an engine, protected by a fencing number.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Kind         string `json:"kind"`
	Value        string `json:"value"`
}
