package fleet

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashencoder"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

// The methods of the fleet protocol. Gateways send them to agents, except where another direction is named.
const (
	// MethodHello is the first request on each connection. Its params are a Hello.
	MethodHello = "hello"
	// The params of MethodReserve are a ReserveRequest, those of MethodPrefill and MethodDecode a StageRequest. The
	// response is a StageResponse.
	MethodReserve = "reserve"
	MethodPrefill = "prefill"
	MethodDecode  = "decode"
	// MethodTokens is a notification from an agent to a gateway. Its params are a TokenBatch.
	MethodTokens = "tokens"
	// MethodRelease releases the reservations of an attempt and of the earlier attempts of its request, and cancels their
	// work. Its params are an Attempt.
	MethodRelease = "release"
	// MethodCall runs a call of a plain service. Its params are a CallRequest; the response is a CallResponse.
	MethodCall = "call"
	// MethodMirror is a request from an agent to another agent. Its params and its response are a MirrorUpdate.
	MethodMirror = "mirror"
	// MethodGossip, MethodDebit and MethodSettle are sent by a gateway to another gateway. Their params are a
	// GossipMessage, a DebitRequest and a SettleRequest. MethodSettle is a notification.
	MethodGossip = "gossip"
	MethodDebit  = "debit"
	MethodSettle = "settle"
	// MethodOrder makes an agent forward an order to its engine. Its params are an Order; the response is a StageResponse.
	MethodOrder = "order"
)

// Outcome is how a request to an agent ended: a reservation, a prefill, a decode or an order.
type Outcome string

// The outcomes of requests to an agent.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeNoCapacity means that the endpoint has no free slot or not enough free KV memory.
	OutcomeNoCapacity Outcome = "full"
	// OutcomeAttemptLost means that the attempt ended without success, and not by a crash: its reservation had expired,
	// the engine refused the work, the work was cancelled or an order had an old fencing token.
	OutcomeAttemptLost Outcome = "lost"
	// OutcomeEndpointCrashed means that the connection to the engine ended without a complete response.
	OutcomeEndpointCrashed Outcome = "crashed"
	// OutcomeEndpointUnreachable means that nothing was started: the connection to the engine could not be opened or, for
	// a prefill, the agent is draining, its prefill queue is full or the gateway has disconnected.
	OutcomeEndpointUnreachable Outcome = "unreachable"
)

// Hello contains the incarnation of the process that opened the connection.
type Hello struct {
	Incarnation string `json:"incarnation"`
}

// Load is the load of an endpoint. Agents piggyback it on their responses.
type Load struct {
	// UsedSlots is the number of slots that are reserved or running.
	UsedSlots int `json:"held"`
	// FreePieces is the number of pieces of KV memory that are not reserved.
	FreePieces int `json:"free"`
	// BacklogTokens is the number of prompt tokens in prefills that have not ended.
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

// Attempt identifies one attempt of a request, among the requests of the gateway at the other end of the connection.
type Attempt struct {
	RequestID uint64 `json:"request"`
	// Attempt is the number of the attempt; a later attempt of the request has a higher number.
	Attempt int `json:"attempt"`
}

// ReserveRequest asks an agent to reserve a decode slot and KV memory for an attempt.
type ReserveRequest struct {
	Attempt
	// Pieces is the KV memory to reserve, in pieces of dispatcher.Options.TokensPerPiece tokens.
	Pieces int `json:"pieces"`
}

// StageRequest asks an agent to run the prefill or the decode of an attempt.
type StageRequest struct {
	Attempt
	Account string `json:"account"`
	Prompt  string `json:"prompt"`
	// PromptTokens is the number of tokens of the prompt and of the output that the caller has already received.
	PromptTokens int `json:"tokens"`
	// PrefixDigest is the digest of the beginning of the prompt. Requests with the same digest can share a KV cache.
	PrefixDigest uint64 `json:"prefix,omitempty"`
	// Priority is the priority at the engine. Priority 0 is prefilled first.
	Priority int `json:"priority,omitempty"`
	// SentTokens is the number of output tokens that the caller has already received from earlier attempts.
	SentTokens int `json:"sent,omitempty"`
	// MaxOutputTokens is the largest number of output tokens of the request, including SentTokens.
	MaxOutputTokens int `json:"max,omitempty"`
	// KVSource and KVHandle locate the KV cache for a decode: the base URL of the engine that stores it and its name
	// there.
	KVSource string `json:"source,omitempty"`
	KVHandle string `json:"handle,omitempty"`
}

// StageResponse is the response to a ReserveRequest, a StageRequest or an Order. It is sent when the work has ended.
type StageResponse struct {
	Outcome Outcome `json:"outcome"`
	Load    Load    `json:"load"`
	// KVSource and KVHandle locate the KV cache after a successful prefill, as in StageRequest.
	KVSource string `json:"source,omitempty"`
	KVHandle string `json:"handle,omitempty"`
}

// TokenBatch contains consecutive output tokens of a decode, from the agent to the gateway.
type TokenBatch struct {
	Attempt
	// FirstIndex is the position of the first token of Texts in the whole output.
	FirstIndex int      `json:"index"`
	Texts      []string `json:"texts"`
}

// CallRequest asks an agent to run a call of the plain service beside it.
type CallRequest struct {
	Account string `json:"account"`
	Service string `json:"service"`
	// Name selects one of the calls that the service offers.
	Name string `json:"name"`
	// IdempotencyKey is the caller's idempotency key; empty if there is none. A call with a key runs at most once.
	IdempotencyKey string `json:"key,omitempty"`
	// BodyDigest distinguishes a repeated call from a different call with the same key.
	BodyDigest uint64 `json:"digest,omitempty"`
	Body       []byte `json:"body,omitempty"`
	// ReadOnly marks an idempotent read, which may run more than once.
	ReadOnly bool `json:"read,omitempty"`
	// MirrorAgents are the addresses of the other agents that store the record of the key.
	MirrorAgents []string `json:"mirrors,omitempty"`
}

// CallOutcome is how a call of a plain service ended.
type CallOutcome string

// The outcomes of calls.
const (
	// CallDone means that the service has answered, now or in an earlier run with the same key. CallResponse.Result
	// contains that answer.
	CallDone CallOutcome = "done"
	// CallRunning means that a call with the same key is running now.
	CallRunning CallOutcome = "running"
	// CallUnknown means that the call may have run.
	CallUnknown CallOutcome = "unknown"
	// CallNotExecuted means that the call certainly did not reach the service.
	CallNotExecuted CallOutcome = "notrun"
	// CallConflict means that the key was already used with another body.
	CallConflict CallOutcome = "conflict"
)

// CallResponse is the response to a CallRequest.
type CallResponse struct {
	Outcome CallOutcome `json:"outcome"`
	Result  string      `json:"result,omitempty"`
	// EndUnmarked is set if the service did not mark the end of its answer, so that Result may be a part of it.
	EndUnmarked bool `json:"unmarked,omitempty"`
	// Replayed means that Result comes from the record of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
	Load     Load `json:"load"`
}

// MirrorUpdate sends the record of an idempotency key to another agent that stores records of that key. The response is
// a MirrorUpdate too: the record of another incarnation that the agent already had, phase drop if it could not store
// the record, or else an empty one.
type MirrorUpdate struct {
	Account        string `json:"account"`
	IdempotencyKey string `json:"key"`
	BodyDigest     uint64 `json:"digest"`
	// Phase is begin before the call runs, done with its result, and drop to remove the record of a call that did not run.
	Phase  string `json:"phase"`
	Result string `json:"result,omitempty"`
	// EndUnmarked is set if the service did not mark the end of the answer in Result.
	EndUnmarked bool `json:"unmarked,omitempty"`
	// RunnerIncarnation is the incarnation of the agent that runs the call.
	RunnerIncarnation string `json:"runner"`
}

// GossipMessage is a gossip request between gateways, and the response to it. Each contains the versions of the
// sender's lists; the response also contains the lists of which the requester has an older version.
type GossipMessage struct {
	// PlansVersion, UsesVersion and VMsVersion are the versions of the sender's lists. Zero asks for the whole list.
	PlansVersion uint64 `json:"plans"`
	UsesVersion  uint64 `json:"uses"`
	VMsVersion   uint64 `json:"vms"`
	// Lists contains the lists that are newer than the requester's; only in responses.
	Lists []List       `json:"lists,omitempty"`
	Share ShareMessage `json:"share"`
	// CrashRecords lists requests that crashed endpoints.
	CrashRecords []CrashRecord `json:"blames,omitempty"`
	// Parts says which parts of prompts may crash endpoints.
	Parts crashencoder.Reports `json:"parts,omitzero"`
}

// ShareMessage is an allocator.Message in its wire form: a query or a reply about the shares of account limits.
type ShareMessage struct {
	// Name is the name of the sending gateway. Receivers use the name in the sender's certificate instead.
	Name string `json:"name"`
	// Incarnation is that of the sending gateway.
	Incarnation uint64 `json:"incarnation"`
	IsReply     bool   `json:"answer,omitempty"`
	// ViewVersion is the version of the sender's newest view of the gateways.
	ViewVersion uint64 `json:"view"`
	// RequestedAt is the time of the query on the requester's clock, in nanoseconds. The reply repeats it.
	RequestedAt time.Duration `json:"asked"`
	// RequesterIncarnation is the incarnation of the gateway that sent the query; only in replies.
	RequesterIncarnation uint64 `json:"asker,omitempty"`
}

// List is one version of the list of plans, of uses or of VMs: either the whole list, or a delta to an earlier version.
type List struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	// Text is the whole list; empty in a delta.
	Text string `json:"text,omitempty"`
	// BaseVersion is the version to which a delta applies; zero for a whole list.
	BaseVersion uint64 `json:"from,omitempty"`
	// ChangedSections are the new or changed sections of a delta, each with its title.
	ChangedSections []string `json:"set,omitempty"`
	// RemovedSections are the titles of the removed sections of a delta.
	RemovedSections []string `json:"drop,omitempty"`
	// TextDigest is the digest of the whole list after the delta.
	TextDigest uint64 `json:"digest,omitempty"`
}

// CrashRecord lists the endpoints that crashed while they ran one request.
type CrashRecord struct {
	// Fingerprint is a digest of the client account and the prompt. Repetitions of a request have the same fingerprint.
	Fingerprint uint64 `json:"fingerprint"`
	// Endpoints are the IDs of the endpoints whose crashes are not cleared, and AgeMillis is the time since the latest of
	// them in milliseconds. Gateways of older builds read only these.
	Endpoints []string `json:"endpoints"`
	AgeMillis int64    `json:"age"`
	// Crashes holds all crashes.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash is a crash of one endpoint.
type Crash struct {
	Endpoint string `json:"endpoint"`
	// AgeMillis is the time since the crash in milliseconds.
	AgeMillis int64 `json:"age"`
	// Cleared is set if the request has completed since.
	Cleared bool `json:"cleared,omitempty"`
}

// DebitRequest asks another gateway to charge at most Tokens to its share of an account's limit, for a request that
// exceeds the requester's own share.
type DebitRequest struct {
	Account string  `json:"account"`
	Tokens  float64 `json:"tokens"`
}

// DebitResponse is the response to a DebitRequest. ChargedTokens is zero if nothing was charged. GrantID identifies the
// debit in the SettleRequest.
type DebitResponse struct {
	ChargedTokens float64 `json:"tokens"`
	GrantID       uint64  `json:"grant,omitempty"`
}

// SettleRequest ends a debit and returns its unused tokens to the gateway that charged them.
type SettleRequest struct {
	GrantID      uint64  `json:"grant"`
	UnusedTokens float64 `json:"unused"`
}

// Order is a command to an engine: Kind says which one, and Value is its argument. It is refused if an earlier order of
// the same kind had a higher fencing token.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Kind         string `json:"kind"`
	Value        string `json:"value"`
}
