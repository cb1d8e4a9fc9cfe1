// Package server is the caller's side of a gateway: it authenticates, admits against the plan and
// answers.
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

// writeTimeout bounds one write to a caller.
const writeTimeout = 30 * time.Second

const (
	// maxInteractiveWait is how long an interactive request waits for its plan's tokens, draftPatience a draft.
	maxInteractiveWait = 300 * time.Millisecond
	maxDraftWait       = time.Minute
)

// ServiceCaller calls plain services.
type ServiceCaller interface {
	// Call runs a call on one of the service's endpoints and tells truthfully whether it ran.
	Call(ctx context.Context, c fleet.Call) fleet.CallAnswer
	// HasEndpoint tells whether any endpoint offers the service.
	HasEndpoint(service string) bool
}

// Options bound what callers may send.
type Options struct {
	// MaxBodyBytes is in bytes.
	MaxBodyBytes int64
	// BodyTimeout is the longest time that a caller may take to send its body.
	BodyTimeout time.Duration
	// FirstTokenTimeout is the first-token deadline of interactive requests.
	FirstTokenTimeout time.Duration
}

// Stats counts answers.
type Stats struct {
	Answers      atomic.Uint64
	Refusals     atomic.Uint64
	OutputTokens atomic.Uint64
}

// Server serves callers.
type Server struct {
	options        Options
	activeCatalog  func() *catalog.Catalog
	admitter       *admitter.Admitter
	coordinator    *coordinator.Coordinator
	services       ServiceCaller
	draining       atomic.Bool
	activeRequests atomic.Int64
	handler        http.Handler
	Stats          Stats
}

// New returns a server; current returns the configuration in force, or nil. It fails when the API can't be set up.
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

// ServeHTTP serves one request of a caller.
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

// Drain refuses new requests from now on.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// ActiveRequests returns how many requests are being served.
func (s *Server) ActiveRequests() int {
	return int(s.activeRequests.Load())
}

// caller is who a request came from.
type caller struct {
	account *catalog.Account
	key     catalog.Digest
	catalog *catalog.Catalog
}

type callerKey struct{}

// HandleBearer finds the client account of a key. It fails when the key is not in force.
func (s *Server) HandleBearer(
	ctx context.Context, _ callerapi.OperationName, t callerapi.Bearer,
) (context.Context, error) {
	c := s.activeCatalog()
	if c == nil {
		return ctx, s.noConfiguration()
	}
	digest := catalog.DigestOf(t.Token)
	account, ok := c.ByKey(digest)
	if !ok {
		return ctx, unauthorized()
	}
	return context.WithValue(ctx, callerKey{}, caller{account: account, key: digest, catalog: c}), nil
}

// NewError converts an error to its response.
func (s *Server) NewError(_ context.Context, err error) *callerapi.RefusalStatusCodeWithHeaders {
	s.Stats.Refusals.Add(1)
	return refusalOfError(err).response()
}

func (s *Server) noConfiguration() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Type: typeOverload, Code: "starting",
		Message: "no configuration is in force yet", Run: callerapi.RunNotRun, RetryAfter: time.Second,
	}
}

// admit finds the caller of a request, checks that its plan allows the target, and charges its cost.
func (s *Server) admit(
	ctx context.Context, kind catalog.RouteKind, target string, maxWait time.Duration,
	cost func(*catalog.Route) float64,
) (caller, admitter.Settlement, error) {
	c, ok := ctx.Value(callerKey{}).(caller)
	if !ok {
		return c, nil, unauthorized()
	}
	if s.draining.Load() {
		return c, nil, &Refusal{
			Status: http.StatusServiceUnavailable, Type: typeOverload, Code: "draining", Message: "this gateway is leaving",
			Run: callerapi.RunNotRun, RetryAfter: time.Second,
		}
	}
	route, ok := c.catalog.Allowed(c.account.Plan, kind, target)
	if !ok {
		return c, nil, denied(string(kind) + " " + target)
	}
	settle, refusal := s.admitter.Admit(ctx, c.account.Name, cost(route), maxWait)
	if refusal != nil {
		return c, nil, refusalOfLimit(refusal)
	}
	return c, settle, nil
}

func refusalOfLimit(r *admitter.Refusal) *Refusal {
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

// refusalOfError finds the refusal in an error of a handler, of the security check or of decoding.
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

// shorten bounds a message that may quote what the caller sent.
func shorten(message string) string {
	const maxBytes = 300
	message = strings.ToValidUTF8(message, "?")
	if len(message) > maxBytes {
		return message[:maxBytes] + "…"
	}
	return message
}

func (s *Server) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	s.writeRefusal(w, r, refusalOfError(err))
}

// writeRefusal answers with a refusal outside of the generated code.
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

// deadlineBody is a body whose read deadline ends with it, so that it does not cut a long answer off.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads and lifts the deadline at the end of the body.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// flusher passes each write on at once, so that tokens reach the caller as they come.
type flusher struct {
	http.ResponseWriter
	control *http.ResponseController
}

// Write writes and flushes; a caller that takes nothing for writeTimeout is given up.
func (f *flusher) Write(p []byte) (int, error) {
	_ = f.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		_ = f.control.Flush()
	}
	return n, err
}

// Unwrap returns the writer below, for http.ResponseController.
func (f *flusher) Unwrap() http.ResponseWriter {
	return f.ResponseWriter
}
