package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is a caller's request, decoded.
type Request struct {
	// ID is the caller's name for this request.
	ID     string
	Method string
	// Target is the path and query to the letter, Path the path that selects the route.
	Target string
	Host   string
	Path   string
	// Header holds what is passed on to endpoints: neither the key nor what concerns one connection.
	Header http.Header
	Body   []byte
	Key    string
	// Budget is how long the caller will wait; zero means that it did not say.
	Budget time.Duration
	// Counted is set where Prompt and Output, the prompt length and the longest answer in tokens, are known.
	Counted bool
	Prompt  int
	Output  int
	// Hint is the caller's estimate of the answer's length in tokens; zero where there is none.
	Hint int
	// LastEvent is the event after which a stream goes on; empty for a new one.
	LastEvent string
}

// Call is a request on its way to an endpoint.
type Call struct {
	Request *Request
	// Instance is the start of the endpoint that the call is meant for.
	Instance string
	// Account is empty on open routes.
	Account string
	// Budget is how long the endpoint may take.
	Budget time.Duration
	// Source is where the prompt's KV cache waits; empty where the endpoint reads the prompt itself.
	Source string
	// Hold names the room reserved for the call; empty where there is none.
	Hold string
	// Resume is the event after which a broken stream goes on; empty for the caller's own.
	Resume string
	// Fresh asks for a new connection: a request that may run only once must not be lost on one that went stale.
	Fresh bool
}

// Reply is the head of an endpoint's answer.
type Reply struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// Sealed tells whether the endpoint vouches for the answer.
	Sealed bool
	// NotRun tells that the endpoint has not run the request and never will.
	NotRun bool
	// Misdirected tells that another endpoint has the address now.
	Misdirected bool
	// Held is how many requests the endpoint holds, of Slots it runs at a time; known where Slots is not zero.
	Held  int
	Slots int
	// Length is that of the body, negative where it is not known.
	Length int64
	// Body reads the answer; io.EOF means that it is complete.
	Body io.Reader
	// Close ends the exchange and must be called.
	Close func()
}

// Endpoints calls endpoints. Errors are of the type *exchanger.Failure.
type Endpoints interface {
	// Run sends a request that is answered to the caller.
	Run(ctx context.Context, address string, c Call) (*Reply, error)
	// Reserve keeps a slot and KV memory, in tokens, free for a while and returns the reservation's name. It is empty
	// where the endpoint has no room.
	Reserve(ctx context.Context, address, instance string, tokens int, ttl time.Duration) (hold string, err error)
	// Release gives up a reservation that will not be used.
	Release(ctx context.Context, address, hold string)
	// Prefill has the prompt read and returns the name of its KV cache; it is empty where the endpoint refused, and
	// the reply then says why.
	Prefill(ctx context.Context, address string, c Call) (source string, r *Reply, err error)
	// Free drops a KV cache that will not be taken.
	Free(ctx context.Context, address, source string)
}
