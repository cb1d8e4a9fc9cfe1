package crashtracker

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// Decision is what became of a suspect.
type Decision string

// The decisions on a suspect. They appear in the logs.
const (
	// Counted means that the crash counts against the request.
	Counted Decision = "counted"
	// PartsCounted means that the crash counts against the parts of the prompt, but not against the request, which was served.
	PartsCounted Decision = "counted for parts"
	// EndpointAnswered means that the endpoint answered afterwards, so that it has not crashed.
	EndpointAnswered Decision = "endpoint answered"
	// EndpointLeaving means that the endpoint was leaving, which ends connections without a crash.
	EndpointLeaving Decision = "endpoint leaving"
	// RecentlyServed means that the request completed at another endpoint shortly before or afterwards.
	RecentlyServed Decision = "request served"
	// NothingFound means that nothing has shown within suspectTimeout whether the endpoint crashed.
	NothingFound Decision = "nothing found"
	// TooManySuspects means that the endpoint has maxSuspectsPerEndpoint others.
	TooManySuspects Decision = "too many suspects"
)

// Evidence is what a decision on a suspect is based on.
type Evidence string

// The evidence for decisions. It appears in the logs.
const (
	// ConnectionRefused means that nothing accepts connections at the address of the endpoint.
	ConnectionRefused Evidence = "connection refused"
	// ProcessReplaced means that another process answered at the address of the endpoint.
	ProcessReplaced Evidence = "process replaced"
	// ProcessRunning means that the process answered when it was asked who it is.
	ProcessRunning Evidence = "process running"
	// AnswerReceived means that an endpoint with the ID ran a request that was sent afterwards, or gave its ID.
	AnswerReceived Evidence = "answer"
	// EntryGone means that the endpoint's entry is no longer listed.
	EntryGone Evidence = "entry gone"
	// NewStart means that the list shows a later start of the endpoint.
	NewStart Evidence = "new start"
	// EntryLeaving means that the endpoint is listed as leaving, or has left the list before.
	EntryLeaving Evidence = "entry leaving"
	// RequestCompleted means that a run of the request completed.
	RequestCompleted Evidence = "request completed"
	// NoEvidence means that the suspect was dropped without any.
	NoEvidence Evidence = "none"
)

// Outcome says whether a crash of an endpoint counts against a request, and why not.
type Outcome struct {
	Endpoint    string
	Fingerprint quarantiner.Fingerprint
	Decision    Decision
	Evidence    Evidence
	// Age is the time since the connection broke.
	Age time.Duration
	// Refused is set if the request is refused from now on.
	Refused bool
}
