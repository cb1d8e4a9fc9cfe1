// Package forwarder carries a caller's request through its life: find the route and the account, admit, choose an
// endpoint, call it, repeat where that is allowed, and relay the answer. It knows no wire names: requests come
// decoded, and endpoints are called through a port.
package forwarder

import (
	"context"
	"hash/maphash"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// Options are the bounds of a forwarder.
type Options struct {
	// MaxConfigAgeForKeys is the age of the configuration from which no key is trusted any more.
	MaxConfigAgeForKeys time.Duration
	// MaxConfigAgeForNotFound is the age from which an unknown key or route may be one that is not known yet.
	MaxConfigAgeForNotFound time.Duration
	// MinFirstEventTimeout is the least time after which callers give up a stream without events.
	MinFirstEventTimeout time.Duration
}

const (
	// defaultTimeBudget is how long a caller waits that does not say.
	defaultTimeBudget = 30 * time.Second
	// retryAfterShort and retryLater are what refused callers are told where nothing better is known.
	retryAfterShort = 300 * time.Millisecond
	retryAfterLong  = time.Second
	// retryAfterStopping is what callers of a stopping process are told: others have room.
	retryAfterStopping = 100 * time.Millisecond
	// retryAfterCrashes is what the caller of a request is told that has crashed endpoints.
	retryAfterCrashes = 10 * time.Second
	// typicalCallDuration and streamUsual are how long nearly all requests take.
	typicalCallDuration   = 1500 * time.Millisecond
	typicalStreamDuration = 4600 * time.Millisecond
	// responseMargin is kept of the caller's time for the way back.
	responseMargin = 20 * time.Millisecond
)

// reasonAbandoned is the log's word for a request whose caller does not wait any more.
const reasonAbandoned = "time is over or caller gone"

// Forwarder is safe for concurrent use.
type Forwarder struct {
	options        Options
	clock          clock.Clock
	tracker        *tracker.Tracker
	controller     *controller.Controller
	endpointClient EndpointClient
	log            *log.Logger
	splitSeed      maphash.Seed
	// stopAt is the time at which the process will end, in ns; zero while it is not known.
	stopAt atomic.Int64
	// latencyRecorder is nil while nobody takes them in.
	latencyRecorder atomic.Pointer[LatencyRecorder]
	// Stats counts outcomes.
	Stats Stats
}

// New returns a forwarder over the decisions of a controller.
func New(o Options, c clock.Clock, t *tracker.Tracker, ctrl *controller.Controller, e EndpointClient, l *log.Logger) *Forwarder {
	return &Forwarder{options: o, clock: c, tracker: t, controller: ctrl, endpointClient: e, log: l, splitSeed: maphash.MakeSeed()}
}

// job is one request in progress.
type job struct {
	*Request
	w             http.ResponseWriter
	route         *matcher.Route
	service       string
	engine        *matcher.Engine
	account       *matcher.Account
	configVersion uint64
	configAge     time.Duration
	// receivedAt is when the request came, deadline when its caller or route stops waiting.
	receivedAt time.Duration
	deadline   time.Duration
	// chargedTokens is what the account paid, in tokens; ran is set once an endpoint may have run the request.
	chargedTokens int
	maybeExecuted bool
	// heldFailure is an endpoint's own failure that is held back while the request is repeated; nil when there is none.
	heldFailure *bufferedResponse
	// fingerprint is the same for each repeat by the caller.
	fingerprint quarantiner.Fingerprint
	record      record
}

// SetLatencyRecorder has the times of answered requests taken in.
func (f *Forwarder) SetLatencyRecorder(r LatencyRecorder) {
	f.latencyRecorder.Store(&r)
}

// StopAt tells when the process will end. Requests that would not have ended by then are refused from now on.
func (f *Forwarder) StopAt(t time.Duration) {
	f.stopAt.Store(int64(t))
}

// Serve answers one request. The context ends when the caller goes.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	defer f.controller.TrackRequest()()
	j := &job{Request: r, w: w, receivedAt: f.clock()}
	defer f.logOutcome(j)
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

// resolve finds the route and the account.
func (f *Forwarder) resolve(j *job) bool {
	m, age := f.tracker.Active()
	if m == nil {
		return f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, "no configuration")
	}
	j.configVersion, j.configAge = m.Version(), age
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
	if f.outlivesProcess(j) {
		return f.refuse(j, http.StatusServiceUnavailable, retryAfterStopping, "process is stopping")
	}
	j.fingerprint = fingerprint(j)
	if f.controller.IsQuarantined(j.fingerprint) {
		return f.refuse(j, http.StatusServiceUnavailable, retryAfterCrashes, "crashes endpoints")
	}
	return true
}

func fingerprint(j *job) quarantiner.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{j.accountName(), j.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(j.Body)
	return quarantiner.Fingerprint(d.Sum64())
}

// outlivesProcess tells whether the process will probably end before the request does.
func (f *Forwarder) outlivesProcess(j *job) bool {
	stopAt := time.Duration(f.stopAt.Load())
	if stopAt == 0 {
		return false
	}
	typicalDuration := min(typicalCallDuration, j.deadline-j.receivedAt)
	if j.engine != nil {
		typicalDuration = min(typicalStreamDuration, j.deadline-j.receivedAt)
	}
	return j.receivedAt+typicalDuration > stopAt
}

// refuseUnknown refuses what the configuration does not hold, unless it may be too old to say so.
func (f *Forwarder) refuseUnknown(j *job, status int, reason string) bool {
	if j.configAge > f.options.MaxConfigAgeForNotFound {
		return f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, reason+", configuration not current")
	}
	return f.refuse(j, status, 0, reason)
}

// admit charges the account.
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

// refundUnexecuted gives back the charge of a request that no endpoint has run.
func (f *Forwarder) refundUnexecuted(j *job) {
	if j.account != nil && !j.maybeExecuted {
		f.controller.Refund(j.account.Name, j.chargedTokens)
	}
}

// refuse answers with a status of the gateway's own; it returns false for its callers to return.
func (f *Forwarder) refuse(j *job, status int, retryAfter time.Duration, reason string) bool {
	h := j.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.record.status, j.record.reason, j.record.retryAfter = status, reason, retryAfter
	return false
}

// timeLeft returns how long the caller still waits.
func (f *Forwarder) timeLeft(j *job) time.Duration {
	return j.deadline - f.clock()
}

// refuseAbandoned answers a request whose time is over, or whose caller has gone.
func (f *Forwarder) refuseAbandoned(j *job, reason string) {
	if j.maybeExecuted {
		f.refuse(j, http.StatusGatewayTimeout, 0, reason)
		return
	}
	f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, reason)
}
