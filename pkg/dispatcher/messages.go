package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Request is a prompt that waits for an answer.
type Request struct {
	// ID is unique in this gateway incarnation and never zero.
	ID      uint64
	Account string
	// Weight is the account's share in the fair queue; always positive.
	Weight float64
	Class  scheduler.Class
	Model  string
	// PromptTokens and Output are the prompt length and the largest answer, in tokens.
	PromptTokens    int
	MaxOutputTokens int
	// PrefixDigest is the digest of the prompt's first block; zero means none.
	PrefixDigest uint64
	Fingerprint  quarantiner.Fingerprint
	// FirstTokenDeadline is the latest time of the first token; zero means that the request may wait.
	FirstTokenDeadline time.Duration
}

// CommandKind tells what the owner of a dispatcher must do.
type CommandKind uint8

// The kinds of commands.
const (
	// Reserve asks the agent at Endpoint for a decode slot.
	Reserve CommandKind = iota + 1
	// StartPrefill runs the prompt at Endpoint for the slot held at Target.
	StartPrefill
	// StartDecode streams from Endpoint, importing the KV cache from Source.
	StartDecode
	// Release frees whatever the attempt holds at Endpoint.
	Release
	// Finish tells the caller that the answer is whole.
	Finish
	// Fail ends the request with Reason.
	Fail
)

// Command is one thing to do for a request.
type Command struct {
	Kind    CommandKind
	Request uint64
	// Attempt must come back in the event that answers the command.
	Attempt  int
	Endpoint string
	// KVSource is the prefill endpoint that holds the KV cache, for StartDecode.
	KVSource string
	// Pieces is the KV memory to reserve, for Reserve.
	Pieces int
	// PromptTokens and Output are what is left to run, in tokens, for StartPrefill and StartDecode.
	PromptTokens    int
	MaxOutputTokens int
	// SentTokens is how many tokens the caller has received already.
	SentTokens int
	Reason     Reason
	// NotRun is true only where no engine was told to run any part of the request.
	NotRun bool
	// RetryAfter advises the caller, for Fail.
	RetryAfter time.Duration
}

// Reason names why a request was not answered.
type Reason string

// The reasons of a dispatcher.
const (
	ReasonOverload         Reason = "overloaded"
	ReasonDeadline         Reason = "deadline"
	ReasonCrashesEndpoints Reason = "poison"
	ReasonUnknownModel     Reason = "model"
	ReasonRetriesExhausted Reason = "retries"
	ReasonDraining         Reason = "draining"
)

// EventKind tells what happened to an attempt.
type EventKind uint8

// The kinds of events.
const (
	// Reserved answers Reserve: the slot is held.
	Reserved EventKind = iota + 1
	// NoCapacity answers Reserve: there is no room.
	NoCapacity
	// EndpointUnreachable answers any command: the agent could not be reached, or is draining.
	EndpointUnreachable
	// Prefilled answers StartPrefill: the KV cache waits at the endpoint.
	Prefilled
	// AttemptLost answers StartPrefill or StartDecode: the work or its KV cache is gone.
	AttemptLost
	// EndpointCrashed is Lost where the endpoint itself died.
	EndpointCrashed
	// TokensSent reports tokens passed on to the caller.
	TokensSent
	// StreamEnded reports that the stream came to its end.
	StreamEnded
)

// Event is an answer from an endpoint.
type Event struct {
	Kind    EventKind
	Request uint64
	Attempt int
	// Tokens counts new tokens, for Tokens.
	Tokens int
	// Load is the endpoint's fresh load; nil when the answer carried none.
	Load *endpoint.Load
}
