package dispatcher

import (
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Tick refuses waiting requests that can no longer meet their deadline, and starts what can start.
func (d *Dispatcher) Tick(now time.Duration) []Command {
	d.commands = nil
	var late, aged []*job
	d.queue.Each(func(j *job) {
		if j.lane == scheduler.Draft && now-j.since > d.options.DraftPromotionDelay {
			aged = append(aged, j)
		}
		if d.tooLate(j, now) || d.poison.IsRefused(j.Fingerprint, now) {
			late = append(late, j)
		}
	})
	sort.Slice(late, func(a, b int) bool { return late[a].ID < late[b].ID })
	for _, j := range late {
		d.queue.Remove(j.lane, j.Account, j.ID)
		reason := ReasonDeadline
		if d.poison.IsRefused(j.Fingerprint, now) {
			reason = ReasonCrashesEndpoints
		}
		d.fail(j, reason)
	}
	d.promote(aged)
	if j, _, ok := d.queue.Peek(); ok {
		d.router.AssumeFreeSlots(now, relaxAfter, d.pieces(j))
	}
	d.pump(now)
	return d.commands
}

// promote lets drafts that have waited for long compete with interactive requests, so that an account that sends
// too much of those does not keep the drafts of all others waiting for ever.
func (d *Dispatcher) promote(aged []*job) {
	sort.Slice(aged, func(a, b int) bool { return aged[a].ID < aged[b].ID })
	for _, j := range aged {
		if d.queue.Remove(j.lane, j.Account, j.ID) {
			j.lane = scheduler.Interactive
			d.queue.PushYielding(j.lane, j.Account, j.ID, cost(j.Request), j)
		}
	}
}

// cost is the work of a request for its account, in prompt tokens: an output token costs as much as several.
func cost(r Request) float64 {
	return float64(r.PromptTokens+outputCost*r.MaxOutputTokens) / r.Weight
}

// tooLate tells whether a waiting request would miss its first-token deadline even on an idle endpoint.
// A request whose caller has received tokens is resumed however late it is.
func (d *Dispatcher) tooLate(j *job, now time.Duration) bool {
	if j.FirstTokenDeadline == 0 || j.sent > 0 {
		return false
	}
	return now+d.prefillTime(j.PromptTokens)+d.options.FirstTokenDelay > j.FirstTokenDeadline
}

func (d *Dispatcher) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / d.options.PrefillTokensPerSecond * float64(time.Second))
}

// pump starts waiting requests while endpoints have room.
func (d *Dispatcher) pump(now time.Duration) {
	if now < d.stallUntil && !d.router.LoadAware() {
		return
	}
	for {
		j, _, ok := d.queue.Peek()
		if !ok {
			return
		}
		if d.tooLate(j, now) {
			d.queue.Pop()
			d.fail(j, ReasonDeadline)
			continue
		}
		if !d.start(j, now) {
			return
		}
	}
}
