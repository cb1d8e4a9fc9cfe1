package planner

import (
	"math"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

const (
	// startRateWindow is the time over which the own starts are averaged.
	startRateWindow = 2 * time.Second
	// minRetryAfter and mostRetry bound the time after which a refused caller is asked to return.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// QueueLength returns how many requests wait.
func (p *Planner) QueueLength() int {
	total := 0
	for _, q := range p.queues {
		total += q.Len(scheduler.Interactive) + q.Len(scheduler.Draft)
	}
	return total
}

// missesDeadline tells whether the first event would be late even if the request started now.
func (p *Planner) missesDeadline(j *job, now time.Duration) bool {
	return now+time.Duration(float64(j.PromptTokens)/p.options.PrefillRate*float64(time.Second))+p.options.FirstEventOverhead > j.FirstEventDeadline
}

func (p *Planner) queue(service string) *scheduler.Scheduler[*job] {
	q, ok := p.queues[service]
	if !ok {
		q = scheduler.New[*job]()
		p.queues[service] = q
	}
	return q
}

func (p *Planner) recordStart(now time.Duration) {
	p.startCount = p.decayedStartCount(now) + 1
	p.startCountAt = now
}

func (p *Planner) decayedStartCount(now time.Duration) float64 {
	return p.startCount * math.Exp(-(now-p.startCountAt).Seconds()/startRateWindow.Seconds())
}

// expectedWait is how long a request that joins the queue now would wait, by the rate of the own starts.
func (p *Planner) expectedWait(q *scheduler.Scheduler[*job], now time.Duration) time.Duration {
	rate := max(0.5, p.decayedStartCount(now)/startRateWindow.Seconds())
	queued := q.Len(scheduler.Interactive) + q.Len(scheduler.Draft)
	return time.Duration(float64(queued) / rate * float64(time.Second))
}

// retryAfter asks a refused caller to return when what waits now will have started.
func (p *Planner) retryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}
