package dispatcher

import (
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Tick fails queued requests that can no longer meet their deadline or were found to crash endpoints, promotes drafts
// that were queued too long, starts as many queued requests as possible and returns the resulting commands. It must be
// called regularly.
func (d *Dispatcher) Tick(now time.Duration) []Command {
	d.commands = nil
	var failing, overdueDrafts []*job
	d.queue.Each(func(j *job) {
		if j.queueClass == scheduler.Draft && now-j.submittedAt > d.options.DraftPromotionDelay {
			overdueDrafts = append(overdueDrafts, j)
		}
		if d.missesDeadline(j, now) || d.crashesEndpoints(j, now) {
			failing = append(failing, j)
		}
	})
	sort.Slice(failing, func(a, b int) bool { return failing[a].ID < failing[b].ID })
	for _, j := range failing {
		d.queue.Remove(j.queueClass, j.Account, j.ID)
		reason := ReasonDeadline
		if d.crashesEndpoints(j, now) {
			reason = ReasonCrashesEndpoints
		}
		d.failRequest(j, reason)
	}
	d.promoteDrafts(overdueDrafts)
	if j, _, ok := d.queue.Peek(); ok {
		d.router.AssumeFreeSlots(now, maxFullReportAge, d.requiredPieces(j))
	}
	d.startQueued(now)
	return d.commands
}

// promoteDrafts moves drafts to the interactive class, where they are served after the interactive requests of their
// own account. Without this, an account that sends too many interactive requests would block the drafts of all accounts
// forever.
func (d *Dispatcher) promoteDrafts(overdueDrafts []*job) {
	sort.Slice(overdueDrafts, func(a, b int) bool { return overdueDrafts[a].ID < overdueDrafts[b].ID })
	for _, j := range overdueDrafts {
		if d.queue.Remove(j.queueClass, j.Account, j.ID) {
			j.queueClass = scheduler.Interactive
			d.queue.PushYielding(j.queueClass, j.Account, j.ID, fairQueueCost(j.Request), j)
		}
	}
}

// fairQueueCost returns what a request costs its account in the fair queue: its work in prompt tokens, divided by the
// account's weight. Each possible output token counts as outputTokenCost prompt tokens.
func fairQueueCost(r Request) float64 {
	return float64(r.PromptTokens+outputTokenCost*r.MaxOutputTokens) / r.Weight
}

// missesDeadline returns whether a request would miss its first-token deadline even on an idle endpoint. It is false
// for a request whose caller has already received tokens.
func (d *Dispatcher) missesDeadline(j *job, now time.Duration) bool {
	if j.FirstTokenDeadline == 0 || j.sentTokens > 0 {
		return false
	}
	return now+d.prefillTime(j.PromptTokens)+d.options.FirstTokenDelay > j.FirstTokenDeadline
}

// prefillTime returns the estimated time in which one endpoint prefills the given number of tokens.
func (d *Dispatcher) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / d.options.PrefillTokensPerSecond * float64(time.Second))
}

// startQueued starts queued requests in the order of the queue until the first one finds no endpoint with capacity.
// Requests that can no longer meet their deadline are failed.
func (d *Dispatcher) startQueued(now time.Duration) {
	if now < d.pausedUntil && !d.router.LoadAware() {
		return
	}
	for {
		j, _, ok := d.queue.Peek()
		if !ok {
			return
		}
		if d.missesDeadline(j, now) {
			d.queue.Pop()
			d.failRequest(j, ReasonDeadline)
			continue
		}
		if !d.startAttempt(j, now) {
			return
		}
	}
}
