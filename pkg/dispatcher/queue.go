package dispatcher

import (
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Tick refuses waiting requests that can no longer meet their deadline, and starts what can start.
func (d *Dispatcher) Tick(now time.Duration) []Command {
	d.commands = nil
	var rejected, overdueDrafts []*job
	d.queue.Each(func(j *job) {
		if j.queueClass == scheduler.Draft && now-j.submittedAt > d.options.DraftPromotionDelay {
			overdueDrafts = append(overdueDrafts, j)
		}
		if d.missesDeadline(j, now) || d.quarantiner.IsRefused(j.Fingerprint, now) {
			rejected = append(rejected, j)
		}
	})
	sort.Slice(rejected, func(a, b int) bool { return rejected[a].ID < rejected[b].ID })
	for _, j := range rejected {
		d.queue.Remove(j.queueClass, j.Account, j.ID)
		reason := ReasonDeadline
		if d.quarantiner.IsRefused(j.Fingerprint, now) {
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

// promoteDrafts lets drafts that have waited for long compete with interactive requests, so that an account that sends
// too much of those does not keep the drafts of all others waiting for ever.
func (d *Dispatcher) promoteDrafts(overdueDrafts []*job) {
	sort.Slice(overdueDrafts, func(a, b int) bool { return overdueDrafts[a].ID < overdueDrafts[b].ID })
	for _, j := range overdueDrafts {
		if d.queue.Remove(j.queueClass, j.Account, j.ID) {
			j.queueClass = scheduler.Interactive
			d.queue.PushYielding(j.queueClass, j.Account, j.ID, fairQueueCost(j.Request), j)
		}
	}
}

// fairQueueCost is the work of a request for its account, in prompt tokens: an output token costs as much as several.
func fairQueueCost(r Request) float64 {
	return float64(r.PromptTokens+outputTokenCost*r.MaxOutputTokens) / r.Weight
}

// missesDeadline tells whether a waiting request would miss its first-token deadline even on an idle endpoint.
// A request whose caller has received tokens is resumed however late it is.
func (d *Dispatcher) missesDeadline(j *job, now time.Duration) bool {
	if j.FirstTokenDeadline == 0 || j.sentTokens > 0 {
		return false
	}
	return now+d.prefillTime(j.PromptTokens)+d.options.FirstTokenDelay > j.FirstTokenDeadline
}

func (d *Dispatcher) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / d.options.PrefillTokensPerSecond * float64(time.Second))
}

// startQueued starts waiting requests while endpoints have room.
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
