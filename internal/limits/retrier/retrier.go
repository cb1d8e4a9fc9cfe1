// Package retrier bounds how often requests are sent again, for each service and over all gateways together: each
// gateway keeps its equal part of the fixed allowance, and earns the rest with its own requests.
package retrier

import "time"

// Options are the bounds of a retrier.
type Options struct {
	// RetriesPerRequest is how many repeats a request earns.
	RetriesPerRequest float64
	// ExtraRetries is the number of repeats in each window beyond those, over all gateways.
	ExtraRetries float64
	// Window is the time over which the bound is judged.
	Window time.Duration
}

// usableBudgetRatio is the part of the budget that is used; the rest covers the edges of windows and changes of the fleet.
const usableBudgetRatio = 0.7

type budget struct {
	availableRetries float64
	refilledAt       time.Duration
}

// Retrier is not safe for concurrent use.
type Retrier struct {
	options  Options
	gateways int
	budgets  map[string]*budget
}

// New returns a retrier for one gateway of a fleet.
func New(o Options) *Retrier {
	return &Retrier{options: o, gateways: 1, budgets: map[string]*budget{}}
}

// SetGateways sets over how many gateways the fixed allowance is divided.
func (r *Retrier) SetGateways(gateways int) {
	r.gateways = max(1, gateways)
}

// RecordRequest records a request for a service.
func (r *Retrier) RecordRequest(service string, now time.Duration) {
	b := r.budget(service, now)
	b.availableRetries = min(r.maxAvailableRetries(), b.availableRetries+usableBudgetRatio*r.options.RetriesPerRequest)
}

// TakeRetry takes one repeat; false means that the budget is spent.
func (r *Retrier) TakeRetry(service string, now time.Duration) bool {
	b := r.budget(service, now)
	if b.availableRetries < 1 {
		return false
	}
	b.availableRetries--
	return true
}

// maxAvailableRetries is the largest number of saved repeats: half of the fixed allowance, the other half comes back over a window.
func (r *Retrier) maxAvailableRetries() float64 {
	return max(1, usableBudgetRatio*r.options.ExtraRetries/float64(r.gateways)/2)
}

func (r *Retrier) budget(service string, now time.Duration) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{availableRetries: r.maxAvailableRetries(), refilledAt: now}
		r.budgets[service] = b
	}
	b.availableRetries = min(r.maxAvailableRetries(), b.availableRetries+r.maxAvailableRetries()*(now-b.refilledAt).Seconds()/r.options.Window.Seconds())
	b.refilledAt = now
	return b
}
