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
	APIKey string
	// TimeBudget is how long the caller will wait; zero means that it did not say.
	TimeBudget time.Duration
	// HasTokenCounts is set where Prompt and Output, the prompt length and the longest answer in tokens, are known.
	HasTokenCounts  bool
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the answer's length in tokens; zero where there is none.
	ExpectedOutputTokens int
	// LastEventID is the event after which a stream goes on; empty for a new one.
	LastEventID string
}

// Attempt is a request on its way to an endpoint.
type Attempt struct {
	Request *Request
	// EndpointID is the start of the endpoint that the call is meant for.
	EndpointID string
	// Account is empty on open routes.
	Account string
	// TimeBudget is how long the endpoint may take.
	TimeBudget time.Duration
	// KVSource is where the prompt's KV cache waits; empty where the endpoint reads the prompt itself.
	KVSource string
	// ReservationID names the room reserved for the call; empty where there is none.
	ReservationID string
	// ResumeAfterEventID is the event after which a broken stream goes on; empty for the caller's own.
	ResumeAfterEventID string
	// NewConnection asks for a new connection: a request that may run only once must not be lost on one that went stale.
	NewConnection bool
}

// Response is the head of an endpoint's answer.
type Response struct {
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// HasServerSeal tells whether the endpoint vouches for the answer.
	HasServerSeal bool
	// NotExecuted tells that the endpoint has not run the request and never will.
	NotExecuted bool
	// Misdirected tells that another endpoint has the address now.
	Misdirected bool
	// InFlight is how many requests the endpoint holds, of Slots it runs at a time; known where Slots is not zero.
	InFlight int
	Slots    int
	// ContentLength is that of the body, negative where it is not known.
	ContentLength int64
	// Body reads the answer; io.EOF means that it is complete.
	Body io.Reader
	// Close ends the exchange and must be called.
	Close func()
}

// EndpointClient calls endpoints. Errors are of the type *exchanger.Failure.
type EndpointClient interface {
	// Run sends a request that is answered to the caller.
	Run(ctx context.Context, address string, a Attempt) (*Response, error)
	// Reserve keeps a slot and KV memory, in tokens, free for a while and returns the reservation's name. It is empty
	// where the endpoint has no room.
	Reserve(ctx context.Context, address, endpointID string, tokens int, ttl time.Duration) (reservationID string, err error)
	// Release gives up a reservation that will not be used.
	Release(ctx context.Context, address, reservationID string)
	// Prefill has the prompt read and returns the name of its KV cache; it is empty where the endpoint refused, and
	// the reply then says why.
	Prefill(ctx context.Context, address string, a Attempt) (kvSource string, r *Response, err error)
	// FreeKVCache drops a KV cache that will not be taken.
	FreeKVCache(ctx context.Context, address, kvSource string)
}
