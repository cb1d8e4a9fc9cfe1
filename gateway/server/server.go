// Package server answers the callers of a gateway over HTTP. It authenticates them, admits their requests within their
// plan, and returns or streams the output.
package server

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	ht "github.com/ogen-go/ogen/http"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/api/caller/callerapi"
	"github.com/pistachiovane/pistachiovane/gateway/admitter"
	"github.com/pistachiovane/pistachiovane/gateway/coordinator"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// writeTimeout is the longest time of one write to a caller. A caller that receives nothing for so long is
// disconnected.
const writeTimeout = 30 * time.Second

const (
	// maxInteractiveWait and maxDraftWait are how long an interactive request and a draft wait for tokens of their
	// account's limit.
	maxInteractiveWait = 300 * time.Millisecond
	maxDraftWait       = time.Minute
)

// ServiceCaller runs calls of plain services.
type ServiceCaller interface {
	// Call runs a call at one of the service's endpoints. Its outcome says reliably whether the call ran.
	Call(ctx context.Context, c fleet.CallRequest) fleet.CallResponse
	// HasEndpoint reports whether any endpoint offers the service.
	HasEndpoint(service string) bool
}

// Options are the limits on what callers may send, and their deadline.
type Options struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// BodyTimeout is the longest time that a caller may take to send its request body.
	BodyTimeout time.Duration
	// FirstTokenTimeout is the longest time until the first token of an interactive request.
	FirstTokenTimeout time.Duration
}

// Stats counts the answers of a server since its start.
type Stats struct {
	// Answers counts complete answers, Refusals all requests that were refused or failed.
	Answers  atomic.Uint64
	Refusals atomic.Uint64
	// OutputTokens counts the tokens generated for callers.
	OutputTokens atomic.Uint64
}

// Server answers the requests of callers. It is safe for concurrent use.
type Server struct {
	options Options
	// activeCatalog returns the active configuration, or nil before the first one.
	activeCatalog  func() *catalog.Catalog
	admitter       *admitter.Admitter
	coordinator    *coordinator.Coordinator
	services       ServiceCaller
	draining       atomic.Bool
	activeRequests atomic.Int64
	handler        http.Handler
	Stats          Stats
}

// New returns a server. activeCatalog returns the active configuration, or nil before the first one. New fails when
// the API handler can't be created.
func New(
	o Options, activeCatalog func() *catalog.Catalog, a *admitter.Admitter, c *coordinator.Coordinator,
	services ServiceCaller,
) (*Server, error) {
	s := &Server{options: o, activeCatalog: activeCatalog, admitter: a, coordinator: c, services: services}
	api, err := callerapi.NewServer(s, s, callerapi.WithErrorHandler(s.handleError),
		callerapi.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			s.writeRefusal(w, r, invalid(http.StatusNotFound, "path", "there is no such path"))
		}),
		callerapi.WithMethodNotAllowed(func(w http.ResponseWriter, r *http.Request, allowed string) {
			w.Header().Set("Allow", allowed)
			s.writeRefusal(w, r, invalid(http.StatusMethodNotAllowed, "method", "the method is not allowed here"))
		}))
	if err != nil {
		return nil, errors.Wrap(err, "set up API")
	}
	s.handler = api
	return s, nil
}

// ServeHTTP answers one request. It limits the size of the body and the time for sending it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	control := http.NewResponseController(w)
	if r.Body != nil && r.Body != http.NoBody {
		_ = control.SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
		r.Body = &deadlineBody{ReadCloser: http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes), control: control}
	}
	s.handler.ServeHTTP(&flusher{ResponseWriter: w, control: control}, r)
}

// Drain makes the server refuse new requests of callers with a key. Requests in progress continue.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int {
	return int(s.activeRequests.Load())
}

// caller is the authenticated sender of a request.
type caller struct {
	account *catalog.Account
	// key is the digest of the API key that the request was sent with.
	key catalog.Digest
	// catalog is the configuration in which the key was found.
	catalog *catalog.Catalog
}

// callerContextKey is the context key of a request's caller.
type callerContextKey struct{}

// HandleBearer adds the client account of an API key to the context. It fails with a Refusal when no configuration is
// active yet and when the key is not in the active one.
func (s *Server) HandleBearer(
	ctx context.Context, _ callerapi.OperationName, t callerapi.Bearer,
) (context.Context, error) {
	c := s.activeCatalog()
	if c == nil {
		return ctx, s.noConfiguration()
	}
	digest := catalog.DigestOf(t.Token)
	account, ok := c.AccountByKey(digest)
	if !ok {
		return ctx, unauthorized()
	}
	return context.WithValue(ctx, callerContextKey{}, caller{account: account, key: digest, catalog: c}), nil
}

// NewError converts an error of a handler to its response and counts it as a refusal.
func (s *Server) NewError(_ context.Context, err error) *callerapi.RefusalStatusCodeWithHeaders {
	s.Stats.Refusals.Add(1)
	return refusalOfError(err).response()
}

// noConfiguration returns the refusal of a request that arrives before the first configuration is active.
func (s *Server) noConfiguration() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Type: typeOverload, Code: "starting",
		Message: "no configuration is in force yet", Run: callerapi.RunNotRun, RetryAfter: time.Second,
	}
}

// admit checks that the caller's plan covers a route of the given kind and target. It then charges the cost, in tokens,
// to the account's limit, and waits at most maxWait for available tokens. It returns the caller and the settlement of
// the charge. It fails with a Refusal.
func (s *Server) admit(
	ctx context.Context, kind catalog.RouteKind, target string, maxWait time.Duration,
	cost func(*catalog.Route) float64,
) (caller, admitter.Settlement, error) {
	c, ok := ctx.Value(callerContextKey{}).(caller)
	if !ok {
		return c, nil, unauthorized()
	}
	if s.draining.Load() {
		return c, nil, &Refusal{
			Status: http.StatusServiceUnavailable, Type: typeOverload, Code: "draining", Message: "this gateway is leaving",
			Run: callerapi.RunNotRun, RetryAfter: time.Second,
		}
	}
	route, ok := c.catalog.AllowedRoute(c.account.Plan, kind, target)
	if !ok {
		return c, nil, denied(string(kind) + " " + target)
	}
	settle, refusal := s.admitter.Admit(ctx, c.account.Name, cost(route), maxWait)
	if refusal != nil {
		return c, nil, refusalOfAdmission(refusal)
	}
	return c, settle, nil
}

// refusalOfAdmission converts a refusal of the admitter to one for the caller.
func refusalOfAdmission(r *admitter.Refusal) *Refusal {
	out := &Refusal{Status: http.StatusTooManyRequests, Type: typeLimit, Run: callerapi.RunNotRun}
	switch r.Verdict {
	case limiter.ExceedsBurst:
		out.Status, out.Type, out.Code = http.StatusBadRequest, typeInvalid, "size"
		out.Message = "the request alone is larger than the plan's burst"
	case limiter.UnknownAccount:
		out.Status, out.Code, out.Message = http.StatusUnauthorized, "key", "the account is not in force"
		out.Type = typeAuth
	default:
		out.Code, out.Message = "rate", "the plan's rate and burst are used up"
		out.RetryAfter = max(r.RetryAfter, time.Second)
	}
	return out
}

// refusalOfError returns the refusal for an error of a handler, of the authentication or of the decoding. Unknown
// errors become an internal error without details.
func refusalOfError(err error) *Refusal {
	var refusal *Refusal
	var tooLarge *http.MaxBytesError
	var security *ogenerrors.SecurityError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &tooLarge):
		return invalid(http.StatusRequestEntityTooLarge, "size", "the body is too large")
	case errors.As(err, &security):
		return unauthorized()
	case errors.Is(err, ht.ErrNotImplemented):
		return invalid(http.StatusNotImplemented, "path", "not offered")
	}
	var decodeBody *ogenerrors.DecodeRequestError
	var decodeParams *ogenerrors.DecodeParamsError
	if errors.As(err, &decodeBody) || errors.As(err, &decodeParams) {
		return invalid(http.StatusBadRequest, "request", shorten(err.Error()))
	}
	return &Refusal{
		Status: http.StatusInternalServerError, Type: typeFailed, Code: "internal", Message: "internal error",
		Run: callerapi.RunUnknown,
	}
}

// shorten limits the length of a message that may quote what the caller sent, and replaces invalid UTF-8.
func shorten(message string) string {
	const maxBytes = 300
	message = strings.ToValidUTF8(message, "?")
	if len(message) > maxBytes {
		return message[:maxBytes] + "…"
	}
	return message
}

// handleError answers a request that failed in the generated code.
func (s *Server) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	s.writeRefusal(w, r, refusalOfError(err))
}

// writeRefusal answers a request with a refusal, in the form that the generated code uses, and counts it.
func (s *Server) writeRefusal(w http.ResponseWriter, _ *http.Request, refusal *Refusal) {
	s.Stats.Refusals.Add(1)
	out := refusal.response()
	if v, ok := out.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", formatInt(v))
	}
	w.Header().Set("X-Run", string(out.XRun))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(out.StatusCode)
	body, err := out.Response.MarshalJSON()
	if err != nil {
		return
	}
	_, _ = w.Write(body)
}

// deadlineBody is a request body that removes the read deadline of the connection at its end. Otherwise the deadline
// would interrupt a long answer.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads from the body and removes the read deadline at its end.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// flusher is a response writer that flushes after every write, so that tokens reach the caller without delay.
type flusher struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write writes and flushes. It fails when the caller receives nothing for writeTimeout.
func (f *flusher) Write(p []byte) (int, error) {
	_ = f.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		_ = f.control.Flush()
	}
	return n, err
}

// Unwrap returns the underlying response writer, for http.ResponseController.
func (f *flusher) Unwrap() http.ResponseWriter {
	return f.ResponseWriter
}
