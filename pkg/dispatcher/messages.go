package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Request is a request for a generation, as submitted to a dispatcher.
type Request struct {
	// ID is unique within the gateway's incarnation and never zero.
	ID uint64
	// Account is the name of the client account.
	Account string
	// Weight is the account's weight in the fair queue; always positive.
	Weight float64
	// Class is the priority class. A draft is queued behind interactive requests, but its retries are not limited by the
	// retry budget.
	Class scheduler.Class
	// Model is the name of the model that must run the request.
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// MaxOutputTokens limits the number of output tokens.
	MaxOutputTokens int
	// PrefixDigest is the digest of the first block of the prompt; zero means none. An endpoint that ran a prompt with
	// the same digest may still have that part in its KV cache.
	PrefixDigest uint64
	// Fingerprint identifies the request in crash records.
	Fingerprint quarantiner.Fingerprint
	// Features and PrefillFeatures hold what the decode and the prefill of the request share with those of others, such as
	// parts of the prompt.
	Features, PrefillFeatures []attributor.Feature
	// FirstTokenDeadline is the latest time at which the first token is useful, on the same clock as the now parameters
	// of a Dispatcher; zero means no deadline.
	FirstTokenDeadline time.Duration
}

// CommandKind is the kind of action that the owner of a dispatcher must carry out.
type CommandKind uint8

// The kinds of commands.
const (
	// Reserve reserves a decode slot and KV cache memory at Endpoint.
	Reserve CommandKind = iota + 1
	// StartPrefill runs the prompt at the prefill endpoint Endpoint and keeps the resulting KV cache there.
	StartPrefill
	// StartDecode imports the KV cache from KVSource into Endpoint and streams the answer from there.
	StartDecode
	// Release frees everything that the attempt reserved or runs at Endpoint.
	Release
	// Finish ends the request: its answer is complete.
	Finish
	// Fail ends the request with Reason.
	Fail
)

// Command is one action that the owner of a dispatcher must carry out for a request.
type Command struct {
	Kind CommandKind
	// Request is the ID of the request.
	Request uint64
	// Attempt must be copied to each event that answers the command.
	Attempt int
	// Endpoint is the ID of the endpoint that must act; empty for Finish and Fail.
	Endpoint string
	// KVSource is the ID of the prefill endpoint that holds the KV cache, for StartDecode.
	KVSource string
	// Pieces is the amount of KV cache memory to reserve, in pieces of Options.TokensPerPiece, for Reserve.
	Pieces int
	// PromptTokens is the number of tokens to prefill, for StartPrefill and StartDecode. After a failed attempt it
	// includes the output tokens that were sent to the caller.
	PromptTokens int
	// MaxOutputTokens is the number of output tokens still to generate at most, for StartPrefill and StartDecode.
	MaxOutputTokens int
	// SentTokens is the number of output tokens that the caller has received already.
	SentTokens int
	// Reason is the reason of the failure, for Fail.
	Reason Reason
	// NotRun is true only if no engine was ever commanded to run any part of the request, for Fail.
	NotRun bool
	// RetryAfter is the delay after which the caller should try again, for Fail.
	RetryAfter time.Duration
}

// Reason says why a request failed.
type Reason string

// The reasons with which a dispatcher fails a request.
const (
	// ReasonOverload means that the queue of the request's class is full.
	ReasonOverload Reason = "overloaded"
	// ReasonDeadline means that the first token could not have been produced before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonCrashesEndpoints means that the request crashed as many endpoints as the quarantiner allows.
	ReasonCrashesEndpoints Reason = "poison"
	// ReasonUnknownModel means that no decode endpoint serves the model.
	ReasonUnknownModel Reason = "model"
	// ReasonRetriesExhausted means that Options.MaxAttempts attempts failed or that the retry budget is used up.
	ReasonRetriesExhausted Reason = "retries"
	// ReasonDraining means that the gateway accepts no more requests because it is draining.
	ReasonDraining Reason = "draining"
)

// EventKind is what happened to an attempt.
type EventKind uint8

// The kinds of events.
const (
	// Reserved answers Reserve: the decode slot and its memory are reserved.
	Reserved EventKind = iota + 1
	// NoCapacity answers Reserve: the endpoint has no free slot or not enough memory.
	NoCapacity
	// EndpointUnreachable answers Reserve, StartPrefill or StartDecode: the agent could not be reached or is draining,
	// and nothing ran.
	EndpointUnreachable
	// Prefilled answers StartPrefill: the endpoint holds the KV cache of the prompt.
	Prefilled
	// AttemptLost answers Reserve, StartPrefill or StartDecode: the connection failed, the work ended early or its KV
	// cache does not exist any more. The endpoint itself is not known to have failed.
	AttemptLost
	// EndpointCrashed answers StartPrefill or StartDecode: the work was lost because the endpoint crashed.
	EndpointCrashed
	// TokensSent reports output tokens that were passed on to the caller.
	TokensSent
	// StreamEnded reports that the stream is complete.
	StreamEnded
)

// Event reports the result of a command.
type Event struct {
	Kind EventKind
	// Request is the ID of the request.
	Request uint64
	// Attempt is copied from the command.
	Attempt int
	// Tokens is the number of tokens since the previous event, for TokensSent.
	Tokens int
	// Load is the endpoint's load as reported in its answer; nil when the answer carried none.
	Load *endpoint.Load
}
