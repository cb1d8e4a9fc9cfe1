// Package forwarder handles a caller's request from receipt to response: it finds the route and the client account,
// charges the account, chooses an endpoint, sends the request, retries where the route allows it, and relays the
// response. It is independent of the wire format: requests arrive decoded, and endpoints are called through
// EndpointClient.
package forwarder

import (
	"context"
	"hash/maphash"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/limits/budgeter"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
	"github.com/pistachiovane/pistachiovane/internal/proxy/drainer"
	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
	"github.com/pistachiovane/pistachiovane/internal/proxy/registrar"
	"github.com/pistachiovane/pistachiovane/internal/proxy/responder"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/internal/routing/estimator"
	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// Options are the settings of a forwarder. The age of the configuration is the time since it was last confirmed to be
// the newest.
type Options struct {
	// MaxConfigAgeForKeys is the age up to which keys are accepted. With an older configuration, requests on routes
	// that need a key are refused, because the key may have been withdrawn.
	MaxConfigAgeForKeys time.Duration
	// MaxConfigAgeForNotFound is the age up to which unknown routes and keys are refused as unknown. With an older
	// configuration the caller is asked to retry, because a newer one may hold them.
	MaxConfigAgeForNotFound time.Duration
	// MinFirstEventTimeout is the shortest time after which a caller is assumed to give up a stream without events.
	// Routes with a long latency target use a longer time.
	MinFirstEventTimeout time.Duration
	// BufferBytes bounds the memory of all bodies together that are read before they are sent to callers, and BodyBytes that of
	// all bodies of requests in progress.
	BufferBytes, BodyBytes int64
	// BalancerNoticeTime is how long the callers' balancer takes to notice that a process is not ready.
	BalancerNoticeTime time.Duration
	// HasGatewayNearby reports whether another gateway of this failure domain takes new callers, which the balancer then
	// sends there. Nil means that there is none.
	HasGatewayNearby func() bool
	// IsWithdrawn reports whether a newer version of the configuration than the active one is known to have withdrawn a key.
	// Nil means that none is known.
	IsWithdrawn func(key string) bool
}

const (
	// defaultTimeBudget applies to requests whose caller sent no time budget.
	defaultTimeBudget = 30 * time.Second
	// retryAfterShort and retryAfterLong are sent as Retry-After where no better estimate exists.
	retryAfterShort = 300 * time.Millisecond
	retryAfterLong  = time.Second
	// responseMargin is subtracted from the caller's time budget, so that the response arrives in time.
	responseMargin = 20 * time.Millisecond
)

// reasonAbandoned is the logged reason of a request whose deadline has passed or whose caller has disconnected.
const reasonAbandoned = "time is over or caller gone"

// reasonCallerGone is the logged reason of a request whose caller has disconnected while its response was sent.
const reasonCallerGone = "caller gone"

// reasonPaused and reasonLeaving are the logged reasons of a request that has no endpoint because all of them have asked
// for a pause or leave.
const (
	reasonPaused  = "endpoints paused"
	reasonLeaving = "endpoints leaving"
)

// reasonCrashes is the logged reason of a request that must not be sent because it crashes endpoints.
const reasonCrashes = "crashes endpoints"

// Forwarder answers callers' requests. It is safe for concurrent use.
type Forwarder struct {
	options        Options
	clock          clock.Clock
	tracker        *tracker.Tracker
	controller     *controller.Controller
	endpointClient EndpointClient
	prober         *prober.Prober
	estimator      *estimator.Estimator
	log            *log.Logger
	// splitSeed seeds the hash of the request ID that picks one of the services of a route.
	splitSeed maphash.Seed
	drainer   *drainer.Drainer
	// buffers bounds the memory of the bodies that are read before they are sent to callers.
	buffers *budgeter.Budgeter
	// smallBodies and largeBodies bound the memory of request bodies up to smallBodyBytes and of larger ones.
	smallBodies, largeBodies *budgeter.Budgeter
	// latencyRecorder is nil until SetLatencyRecorder is called.
	latencyRecorder atomic.Pointer[LatencyRecorder]
	// Stats counts requests by outcome.
	Stats Stats
}

// New returns a forwarder that uses the configuration of the tracker and the decisions of the controller. The controller
// receives what endpoints say about themselves.
func New(
	o Options, c clock.Clock, t *tracker.Tracker, ctrl *controller.Controller, e EndpointClient, l *log.Logger,
) *Forwarder {
	e.Observe(ctrl.RecordSignal)
	return &Forwarder{
		options: o, clock: c, tracker: t, controller: ctrl, endpointClient: e,
		prober: prober.New(e.Identify), estimator: estimator.New(), drainer: drainer.New(o.BalancerNoticeTime), log: l,
		splitSeed: maphash.MakeSeed(), buffers: budgeter.New(o.BufferBytes),
		smallBodies: budgeter.New(int64(smallBodyRatio * float64(o.BodyBytes))),
		largeBodies: budgeter.New(int64((1 - smallBodyRatio) * float64(o.BodyBytes))),
	}
}

// job is a request in progress. Times are on the forwarder's clock.
type job struct {
	*Request
	w *responder.Responder
	// route is nil until it has been found.
	route   *matcher.Route
	service string
	// engine describes the model endpoints of the service. It is nil for a plain service and for a request without token
	// counts; such requests are forwarded as calls.
	engine *matcher.Engine
	// account is nil on open routes, which need no key.
	account *matcher.Account
	// configVersion and configAge are those of the configuration used for the request.
	configVersion uint64
	configAge     time.Duration
	receivedAt    time.Duration
	// deadline is when the time budget of the caller or the timeout of the route ends, less responseMargin.
	deadline time.Duration
	// chargedTokens is what the account was charged for the request. It is zero if nothing was charged.
	chargedTokens int
	// prefilled is set once an endpoint has processed the prompt. maybeExecuted is set once one may have run the request.
	prefilled     bool
	maybeExecuted bool
	// prefillTrial is set once a prefill of the request was sent although a part of its prompt is blamed for crashes under such.
	prefillTrial bool
	// heldFailure is an endpoint's server error that is held back while the request is retried, or nil.
	heldFailure *bufferedResponse
	// bufferBytes is what the request has taken of the memory for buffers.
	bufferBytes int64
	// work identifies the request, its prefill and what it shares with other requests for the crash tracker. It is the same when
	// the caller sends the request again.
	work crashtracker.Work
	// blamedPart is the part of the prompt because of which the request is refused. It is zero if there is none.
	blamedPart attributor.Feature
	// quarantineTime is how long the request must not be sent because of crashes.
	quarantineTime time.Duration
	// contact is what the latest attempt has shown about its endpoint.
	contact contact
	record  record
}

// SetLatencyRecorder sets the functions that receive the latencies of answered requests.
func (f *Forwarder) SetLatencyRecorder(r LatencyRecorder) {
	f.latencyRecorder.Store(&r)
}

// Serve answers one request and logs its outcome. The context must end when the caller disconnects. Serve panics with
// http.ErrAbortHandler if a response that has begun can't be completed.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	j := &job{Request: r, w: responder.New(ctx, w, !r.HTTP10), receivedAt: f.clock()}
	defer f.controller.Requests().Add(registrar.Request{ID: r.ID, ReceivedAt: j.receivedAt})()
	defer f.logOutcome(ctx, j)
	defer f.returnBuffers(j)
	defer f.endTrials(j)
	f.serve(ctx, j)
	j.w.Finish()
}

// serve is Serve without the log line and the end of the response.
func (f *Forwarder) serve(ctx context.Context, j *job) {
	if !f.resolve(j) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, j.deadline-j.receivedAt)
	defer cancel()
	if !f.admit(j) {
		return
	}
	defer f.refundUnexecuted(j)
	f.controller.CreditRetryBudget(j.service)
	if j.engine != nil {
		f.forwardGeneration(ctx, j)
		return
	}
	f.forwardCall(ctx, j)
}

// resolve finds the route, the account and the service of a request and sets its deadline. If the request can't be
// accepted, resolve refuses it and returns false.
func (f *Forwarder) resolve(j *job) bool {
	m, age := f.tracker.Active()
	if m == nil {
		return f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, "no configuration")
	}
	j.configVersion, j.configAge = m.Version(), age
	if age >= tracker.Unconfirmed {
		return f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, "configuration not known to be the newest")
	}
	route, ok := m.Route(j.Host, j.Path)
	if !ok {
		return f.refuseUnknown(j, http.StatusNotFound, "no route")
	}
	j.route = route
	if !route.SkipAuth {
		account, ok := m.AccountByKey(j.APIKey)
		if age > f.options.MaxConfigAgeForKeys {
			return f.refuse(j, http.StatusServiceUnavailable, retryAfterLong, "keys not known to be current")
		}
		if !ok {
			return f.refuseUnknown(j, http.StatusUnauthorized, "no such key")
		}
		if f.options.IsWithdrawn != nil && f.options.IsWithdrawn(j.APIKey) {
			return f.refuse(j, http.StatusServiceUnavailable, retryAfterLong, "key withdrawn by a newer version")
		}
		j.account = account
	}
	j.service = route.PickService(maphash.String(f.splitSeed, j.ID))
	if s, ok := m.Service(j.service); ok && j.HasTokenCounts {
		j.engine = s.Engine
	}
	timeBudget := j.TimeBudget
	if timeBudget <= 0 {
		timeBudget = defaultTimeBudget
	}
	if route.Timeout > 0 {
		timeBudget = min(timeBudget, route.Timeout)
	}
	j.deadline = j.receivedAt + max(responseMargin, timeBudget-responseMargin)
	if !f.mayStart(j) {
		return f.refuseStopping(j)
	}
	j.work = workOf(j)
	if v := f.controller.DecideQuarantine(j.work); !j.accept(v) {
		return f.refuseQuarantined(j)
	}
	return true
}

// workOf returns what endpoints do for a request.
func workOf(j *job) crashtracker.Work {
	w := crashtracker.Work{Run: fingerprint(j)}
	if j.engine != nil {
		w.Prefill = fingerprintOfPrefill(w.Run)
	}
	return w.WithParts(j.PromptParts, j.engine != nil)
}

// accept applies a verdict to the request. It returns false if the request is refused.
func (j *job) accept(v crashtracker.Verdict) bool {
	j.quarantineTime, j.blamedPart = v.RetryAfter, v.Part
	return !v.Refused
}

// fingerprint hashes the account, the target and the body of a request.
func fingerprint(j *job) quarantiner.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{j.accountName(), j.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(j.Body)
	return quarantiner.Fingerprint(d.Sum64())
}

// fingerprintOfPrefill returns the fingerprint of the prefill of a request. A run that completes without a prefill of its
// own does not clear the prefill, nor the other way round.
func fingerprintOfPrefill(f quarantiner.Fingerprint) quarantiner.Fingerprint {
	return quarantiner.Fingerprint(xxhash.Sum64String("prefill " + f.String()))
}

// refuseUnknown refuses a request whose route or key is not in the configuration. If the configuration may be outdated,
// the status is 503 with a Retry-After header instead of the given one.
func (f *Forwarder) refuseUnknown(j *job, status int, reason string) bool {
	if j.configAge > f.options.MaxConfigAgeForNotFound {
		return f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, reason+", configuration not current")
	}
	return f.refuse(j, status, 0, reason)
}

// admit charges the account for the prompt and the longest possible output, or its DefaultRequestTokens for a request
// without token counts. If the account has too few available tokens, admit refuses the request and returns false.
// Requests on open routes are not charged.
func (f *Forwarder) admit(j *job) bool {
	if j.account == nil {
		return true
	}
	j.chargedTokens = j.account.DefaultRequestTokens
	if j.HasTokenCounts {
		j.chargedTokens = j.PromptTokens + j.MaxOutputTokens
	}
	wait, ok := f.controller.Admit(j.account.Name, j.chargedTokens)
	if ok {
		return true
	}
	j.record.requestedTokens = j.chargedTokens
	j.chargedTokens = 0
	return f.refuse(j, http.StatusTooManyRequests, max(retryAfterShort, wait), "limit")
}

// refundUnexecuted refunds the charge of a request that no endpoint can have run.
func (f *Forwarder) refundUnexecuted(j *job) {
	if j.account != nil && !j.maybeExecuted {
		f.controller.Refund(j.account.Name, j.chargedTokens)
	}
}

// refuse answers with a status from the gateway itself, without a body. A positive retryAfter is sent as Retry-After.
// It always returns false, so that callers can return its result.
func (f *Forwarder) refuse(j *job, status int, retryAfter time.Duration, reason string) bool {
	h := j.w.Header()
	if retryAfter > 0 {
		setRetryAfter(h, retryAfter)
	}
	h.Set("Content-Length", "0")
	j.w.WriteHead(status, delimiter.Length)
	j.record.status, j.record.reason, j.record.retryAfter = status, reason, retryAfter
	return false
}

// setRetryAfter sets the time after which the caller may come back. It is rounded up, so that nobody comes back too early.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', 2, 64))
}

// timeLeft returns the time until the deadline of the request. It is negative after the deadline.
func (f *Forwarder) timeLeft(j *job) time.Duration {
	return j.deadline - f.clock()
}

// refuseAbandoned answers a request whose deadline has passed or whose caller has disconnected. The status is 504 if an
// endpoint may have run the request, else 503.
func (f *Forwarder) refuseAbandoned(j *job, reason string) {
	if j.maybeExecuted {
		f.refuse(j, http.StatusGatewayTimeout, 0, reason)
		return
	}
	f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, reason)
}
