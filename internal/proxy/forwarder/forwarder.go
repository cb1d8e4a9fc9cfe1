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
	// defaultBudget is how long a caller waits that does not say.
	defaultBudget = 30 * time.Second
	// retrySoon and retryLater are what refused callers are told where nothing better is known.
	retrySoon  = 300 * time.Millisecond
	retryLater = time.Second
	// retryElsewhere is what callers of a stopping process are told: others have room.
	retryElsewhere = 100 * time.Millisecond
	// retryPoison is what the caller of a request is told that has crashed endpoints.
	retryPoison = 10 * time.Second
	// callUsual and streamUsual are how long nearly all requests take.
	callUsual   = 1500 * time.Millisecond
	streamUsual = 4600 * time.Millisecond
	// answerMargin is kept of the caller's time for the way back.
	answerMargin = 20 * time.Millisecond
)

// reasonOver is the log's word for a request whose caller does not wait any more.
const reasonOver = "time is over or caller gone"

// Forwarder is safe for concurrent use.
type Forwarder struct {
	options    Options
	clock      clock.Clock
	tracker    *tracker.Tracker
	controller *controller.Controller
	endpoints  EndpointClient
	log        *log.Logger
	seed       maphash.Seed
	// stopAt is the time at which the process will end, in ns; zero while it is not known.
	stopAt atomic.Int64
	// timings is nil while nobody takes them in.
	timings atomic.Pointer[LatencyRecorder]
	// Stats counts outcomes.
	Stats Stats
}

// New returns a forwarder over the decisions of a controller.
func New(o Options, c clock.Clock, t *tracker.Tracker, decisions *controller.Controller, e EndpointClient, l *log.Logger) *Forwarder {
	return &Forwarder{options: o, clock: c, tracker: t, controller: decisions, endpoints: e, log: l, seed: maphash.MakeSeed()}
}

// job is one request in progress.
type job struct {
	*Request
	w       http.ResponseWriter
	route   *matcher.Route
	service string
	engine  *matcher.Engine
	account *matcher.Account
	version uint64
	age     time.Duration
	// since is when the request came, deadline when its caller or route stops waiting.
	since    time.Duration
	deadline time.Duration
	// charge is what the account paid, in tokens; ran is set once an endpoint may have run the request.
	charge int
	ran    bool
	// failure is an endpoint's own failure that is held back while the request is repeated; nil when there is none.
	failure *heldAnswer
	// fingerprint is the same for each repeat by the caller.
	fingerprint quarantiner.Fingerprint
	record      record
}

// SetLatencyRecorder has the times of answered requests taken in.
func (f *Forwarder) SetLatencyRecorder(t LatencyRecorder) {
	f.timings.Store(&t)
}

// StopAt tells when the process will end. Requests that would not have ended by then are refused from now on.
func (f *Forwarder) StopAt(t time.Duration) {
	f.stopAt.Store(int64(t))
}

// Serve answers one request. The context ends when the caller goes.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	defer f.controller.TrackRequest()()
	j := &job{Request: r, w: w, since: f.clock()}
	defer f.finish(j)
	if !f.identify(j) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, j.deadline-j.since)
	defer cancel()
	if !f.admit(j) {
		return
	}
	defer f.settle(j)
	f.controller.CreditRetryBudget(j.service)
	if j.engine != nil {
		f.generate(ctx, j)
		return
	}
	f.call(ctx, j)
}

// identify finds the route and the account.
func (f *Forwarder) identify(j *job) bool {
	m, age := f.tracker.Active()
	if m == nil {
		return f.refuse(j, http.StatusServiceUnavailable, retrySoon, "no configuration")
	}
	j.version, j.age = m.Version(), age
	route, ok := m.Route(j.Host, j.Path)
	if !ok {
		return f.unknown(j, http.StatusNotFound, "no route")
	}
	j.route = route
	if !route.SkipAuth {
		account, ok := m.AccountByKey(j.APIKey)
		if age > f.options.MaxConfigAgeForKeys {
			return f.refuse(j, http.StatusServiceUnavailable, retryLater, "keys not known to be current")
		}
		if !ok {
			return f.unknown(j, http.StatusUnauthorized, "no such key")
		}
		j.account = account
	}
	j.service = route.PickService(maphash.String(f.seed, j.ID))
	if s, ok := m.Service(j.service); ok && j.HasTokenCounts {
		j.engine = s.Engine
	}
	budget := j.TimeBudget
	if budget <= 0 {
		budget = defaultBudget
	}
	if route.Timeout > 0 {
		budget = min(budget, route.Timeout)
	}
	j.deadline = j.since + max(answerMargin, budget-answerMargin)
	if f.endsTooLate(j) {
		return f.refuse(j, http.StatusServiceUnavailable, retryElsewhere, "process is stopping")
	}
	j.fingerprint = fingerprint(j)
	if f.controller.IsQuarantined(j.fingerprint) {
		return f.refuse(j, http.StatusServiceUnavailable, retryPoison, "crashes endpoints")
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

// endsTooLate tells whether the process will probably end before the request does.
func (f *Forwarder) endsTooLate(j *job) bool {
	stop := time.Duration(f.stopAt.Load())
	if stop == 0 {
		return false
	}
	usual := min(callUsual, j.deadline-j.since)
	if j.engine != nil {
		usual = min(streamUsual, j.deadline-j.since)
	}
	return j.since+usual > stop
}

// unknown refuses what the configuration does not hold, unless it may be too old to say so.
func (f *Forwarder) unknown(j *job, status int, reason string) bool {
	if j.age > f.options.MaxConfigAgeForNotFound {
		return f.refuse(j, http.StatusServiceUnavailable, retrySoon, reason+", configuration not current")
	}
	return f.refuse(j, status, 0, reason)
}

// admit charges the account.
func (f *Forwarder) admit(j *job) bool {
	if j.account == nil {
		return true
	}
	j.charge = j.account.DefaultRequestTokens
	if j.HasTokenCounts {
		j.charge = j.PromptTokens + j.MaxOutputTokens
	}
	wait, ok := f.controller.Admit(j.account.Name, j.charge)
	if ok {
		return true
	}
	j.record.asked = j.charge
	j.charge = 0
	return f.refuse(j, http.StatusTooManyRequests, max(retrySoon, wait), "limit")
}

// settle gives back the charge of a request that no endpoint has run.
func (f *Forwarder) settle(j *job) {
	if j.account != nil && !j.ran {
		f.controller.Refund(j.account.Name, j.charge)
	}
}

// refuse answers with a status of the gateway's own; it returns false for its callers to return.
func (f *Forwarder) refuse(j *job, status int, after time.Duration, reason string) bool {
	h := j.w.Header()
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Length", "0")
	j.w.WriteHeader(status)
	j.record.status, j.record.reason, j.record.retry = status, reason, after
	return false
}

// left returns how long the caller still waits.
func (f *Forwarder) left(j *job) time.Duration {
	return j.deadline - f.clock()
}

// timedOut answers a request whose time is over, or whose caller has gone.
func (f *Forwarder) timedOut(j *job, reason string) {
	if j.ran {
		f.refuse(j, http.StatusGatewayTimeout, 0, reason)
		return
	}
	f.refuse(j, http.StatusServiceUnavailable, retrySoon, reason)
}
