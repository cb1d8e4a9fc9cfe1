package planner

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

const (
	// startRateWindow is the time constant with which the count of generations started by this gateway decays.
	startRateWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller is asked to try again.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// QueueLength returns the number of queued requests of all services.
func (p *Planner) QueueLength() int {
	total := 0
	for _, q := range p.queues {
		total += q.Len(scheduler.Interactive) + q.Len(scheduler.Draft)
	}
	return total
}

// missesDeadline reports whether the first event would be late even if the request started now and without waiting.
func (p *Planner) missesDeadline(j *job, now time.Duration) bool {
	overhead, rate := p.typicalPrefill(j.Service)
	return now+overhead+prefillTime(j.PromptTokens, rate)+p.options.FirstEventOverhead > j.FirstEventDeadline
}

// queue returns the queue of a service and creates it if it does not exist.
func (p *Planner) queue(service string) *scheduler.Scheduler[*job] {
	q, ok := p.queues[service]
	if !ok {
		q = scheduler.New[*job]()
		p.queues[service] = q
	}
	return q
}

// expectedWait returns the expected wait of a request that joins the queue now, from the rate at which this gateway
// recently started generations. The rate is taken as at least 0.5 per second.
func (p *Planner) expectedWait(q *scheduler.Scheduler[*job], now time.Duration) time.Duration {
	rate := max(0.5, p.recentStarts.Value(startRateWindow, now)/startRateWindow.Seconds())
	queued := q.Len(scheduler.Interactive) + q.Len(scheduler.Draft)
	return time.Duration(float64(queued) / rate * float64(time.Second))
}

// retryAfter returns the time after which a refused caller is asked to try again: the expected wait of the queue,
// within limits.
func (p *Planner) retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
