// Package endpoint describes the back ends that requests are routed to.
package endpoint

// Role tells what an endpoint does for a request.
type Role uint8

// The roles of an endpoint.
const (
	Prefill Role = iota + 1
	Decode
	Plain
)

// String returns the role as it is written in settings and dumps.
func (r Role) String() string {
	switch r {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	case Plain:
		return "plain"
	default:
		return "unknown"
	}
}

// ParseRole returns the role written as s; ok is false when s names none.
func ParseRole(s string) (role Role, ok bool) {
	for _, r := range []Role{Prefill, Decode, Plain} {
		if r.String() == s {
			return r, true
		}
	}
	return 0, false
}

// Endpoint is one back end behind an agent.
type Endpoint struct {
	// ID is unique in the fleet and names the VM.
	ID string
	// Address is the agent's fleet address as ip:port.
	Address string
	// Domain is the failure domain that the VM stands in.
	Domain string
	// Model is the loaded model, or the service name for a plain endpoint.
	Model string
	Role  Role
	// Slots is how many requests run at a time; always positive for Decode.
	Slots int
	// Leaving endpoints take no new work.
	Leaving bool
}

// Load is what an endpoint's agent reports on each answer.
type Load struct {
	// UsedSlots counts slots that are reserved or running.
	UsedSlots int
	// FreePieces counts unreserved KV memory pieces.
	FreePieces int
	// BacklogTokens is the queued prefill work in tokens.
	BacklogTokens int
}
