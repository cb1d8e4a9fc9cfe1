package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// Request is a caller's decoded request.
type Request struct {
	// ID is the request ID that the caller sent.
	ID     string
	Method string
	// Target is the path and the query exactly as the caller sent them.
	Target string
	Host   string
	// Path selects the route. It is the target without the query.
	Path string
	// Header holds the fields that are sent on to endpoints. It has neither the key nor hop-by-hop fields.
	Header http.Header
	Body   []byte
	APIKey string
	// TimeBudget is how long the caller waits for the response. It is zero if the caller sent none.
	TimeBudget time.Duration
	// HasTokenCounts is set if the caller sent PromptTokens and MaxOutputTokens.
	HasTokenCounts bool
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// MaxOutputTokens is the largest number of tokens that may be generated.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the number of generated tokens. It is zero if there is none.
	ExpectedOutputTokens int
	// PromptParts holds the IDs of the parts of the prompt in order. Other requests may share any of them but the last, which
	// belongs to the request itself or to its session. It is empty if the caller named none.
	PromptParts []string
	// LastEventID is the ID of the event after which the caller resumes a stream. It is empty for a new stream.
	LastEventID string
	// HTTP10 is set if the caller speaks HTTP/1.0, which has no chunks.
	HTTP10 bool
}

// Attempt is one try of a request at an endpoint.
type Attempt struct {
	Request *Request
	// EndpointID identifies the incarnation of the endpoint that must run the request. Another incarnation refuses it.
	EndpointID string
	// Account is the name of the client account. It is empty on open routes, which need no key.
	Account string
	// TimeBudget is how long the endpoint may take.
	TimeBudget time.Duration
	// KVSource identifies the prefill endpoint and the KV cache of the prompt there. It is empty if the endpoint
	// prefills the prompt itself.
	KVSource string
	// ReservationID identifies the reservation made for this request. It is empty if there is none.
	ReservationID string
	// ResumeAfterEventID is the ID of the last event that the caller has received from a stream that broke off. If it
	// is empty, the position that the caller sent applies.
	ResumeAfterEventID string
	// NewConnection requests a new connection. It is set for requests that may run only once: when the endpoint closes
	// an idle connection while a request is sent on it, it is not known whether the request ran.
	NewConnection bool
}

// Response is the response of an endpoint, with its body still to be read.
type Response struct {
	Status int
	// Header holds the fields that are sent on to the caller.
	Header http.Header
	// HasServerSeal is set if the endpoint marked the response as its own. Responses without the mark are not trusted.
	HasServerSeal bool
	// NotExecuted is set if the endpoint confirms that it has not run the request and will not run it later.
	NotExecuted bool
	// Delimiter is what delimits the body. If it does not mark the end, Body returns io.EOF also if the endpoint crashed in
	// the middle of the body.
	Delimiter delimiter.Delimiter
	// Misdirected is set if the request was refused without running it because it was for another endpoint, or for another
	// stage of this one.
	Misdirected bool
	// AnsweredBy is the ID that the endpoint gave in the response. It is empty if there was none.
	AnsweredBy string
	// InFlight is how many requests the endpoint runs and has queued. It is valid if Slots is not zero.
	InFlight int
	// Slots is how many requests the endpoint runs at a time. It is zero if the endpoint did not report its load.
	Slots int
	// ContentLength is the length of the body in bytes. It is negative if it is not known.
	ContentLength int64
	// Body returns io.EOF at the end of the body, see Delimiter.
	Body io.Reader
	// Close ends the exchange. It must be called.
	Close func()
}

// executed reports whether the response shows that the endpoint to which a request was addressed ran it. It may be nil.
func (r *Response) executed() bool {
	return r != nil && r.HasServerSeal && !r.NotExecuted && !r.Misdirected
}

// EndpointClient sends requests to endpoints. An error of type *exchanger.Failure says whether the request may have
// been sent. After any other error the endpoint may have run the request.
type EndpointClient interface {
	// Identify asks what answers at the address of a process who it is.
	Identify(ctx context.Context, p prober.Process) (prober.Identity, error)
	// Run sends a caller's request to an endpoint. It returns the response once its head has arrived.
	Run(ctx context.Context, address string, a Attempt) (*Response, error)
	// Reserve reserves a slot and KV memory for the given number of tokens at an endpoint. The reservation expires
	// after ttl. The ID is empty if the endpoint has too little free capacity.
	Reserve(
		ctx context.Context, address, endpointID string, tokens int, ttl time.Duration,
	) (reservationID string, err error)
	// Release cancels an unused reservation.
	Release(ctx context.Context, address, endpointID, reservationID string)
	// Prefill runs the prefill of a prompt and returns where its KV cache is kept. kvSource is empty if there is none;
	// r, if not nil, is then the response that says why.
	Prefill(ctx context.Context, address string, a Attempt) (kvSource string, r *Response, err error)
	// FreeKVCache frees a KV cache that no decode endpoint will take.
	FreeKVCache(ctx context.Context, address, endpointID, kvSource string)
	// Observe sets the function that receives what endpoints say about themselves in their answers, before the call
	// that got the answer returns.
	Observe(observe func(suspender.Signal))
}
