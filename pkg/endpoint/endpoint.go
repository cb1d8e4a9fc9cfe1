// Package endpoint describes the endpoints to which requests are routed.
package endpoint

// Role is what an endpoint does for a request.
type Role uint8

// The roles of an endpoint.
const (
	// Prefill endpoints run the prompt of a request and produce its KV cache.
	Prefill Role = iota + 1
	// Decode endpoints import a KV cache and generate the output tokens.
	Decode
	// Plain endpoints run calls of a service that is not a language model.
	Plain
)

// String returns the role as it is written in settings and dumps, or "unknown".
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

// ParseRole returns the role that String writes as s. ok is false if there is none.
func ParseRole(s string) (role Role, ok bool) {
	for _, r := range []Role{Prefill, Decode, Plain} {
		if r.String() == s {
			return r, true
		}
	}
	return 0, false
}

// Endpoint describes one endpoint and the agent that controls it.
type Endpoint struct {
	// ID is unique in the fleet and is also the name of the VM.
	ID string
	// Address is the address of the agent as ip:port.
	Address string
	// Domain is the failure domain of the VM.
	Domain string
	// Model is the name of the loaded model, or of the service for a plain endpoint.
	Model string
	Role  Role
	// Slots is the number of requests that can run at a time; always positive for Decode.
	Slots int
	// Leaving is set when the endpoint is about to be removed and gets no new work.
	Leaving bool
}

// Load is the load that an endpoint's agent reports with each answer.
type Load struct {
	// UsedSlots is the number of slots that are reserved or running a request.
	UsedSlots int
	// FreePieces is the KV cache memory that is not reserved, in pieces. A piece is the unit in which this memory is
	// reserved; its size in tokens is a setting.
	FreePieces int
	// BacklogTokens is the number of prompt tokens that are queued for prefill.
	BacklogTokens int
}
