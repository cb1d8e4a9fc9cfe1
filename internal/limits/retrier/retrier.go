// Package retrier limits the retries of each service to a budget that holds over all gateways together. Requests earn a
// part of a retry each, at the gateway that received them. In addition there is a fixed number of retries in each
// window, of which every gateway has an equal part.
package retrier

import "time"

// Options holds the bounds of a Retrier.
type Options struct {
	// RetriesPerRequest is the number of retries that one request earns, usually below 1.
	RetriesPerRequest float64
	// ExtraRetries is the number of retries in each window, over all gateways, in addition to those that requests earn.
	ExtraRetries float64
	// Window is the period over which the budget must hold.
	Window time.Duration
}

// usableBudgetRatio is the part of the budget that is used. The rest covers requests and retries that fall into
// different windows, and changes of the number of gateways.
const usableBudgetRatio = 0.7

// budget holds the retries that are available to one service at this gateway.
type budget struct {
	availableRetries float64
	refilledAt       time.Duration
}

// Retrier holds the retry budget of each service. It is not safe for concurrent use.
type Retrier struct {
	options  Options
	gateways int
	budgets  map[string]*budget
}

// New returns a Retrier for a fleet of one gateway; SetGateways sets the real number.
func New(o Options) *Retrier {
	return &Retrier{options: o, gateways: 1, budgets: map[string]*budget{}}
}

// SetGateways sets the number of gateways that share the extra retries, this one included.
func (r *Retrier) SetGateways(gateways int) {
	r.gateways = max(1, gateways)
}

// RecordRequest records a request to a service, which earns the usable part of RetriesPerRequest for that service.
func (r *Retrier) RecordRequest(service string, now time.Duration) {
	b := r.budget(service, now)
	b.availableRetries = min(r.maxAvailableRetries(), b.availableRetries+usableBudgetRatio*r.options.RetriesPerRequest)
}

// TakeRetry takes one retry from the budget of a service. It returns false if less than one retry is available.
func (r *Retrier) TakeRetry(service string, now time.Duration) bool {
	b := r.budget(service, now)
	if b.availableRetries < 1 {
		return false
	}
	b.availableRetries--
	return true
}

// maxAvailableRetries returns the largest number of retries that a service can accumulate at this gateway: half of its
// part of the extra retries, but at least one. The other half is refilled over one window.
func (r *Retrier) maxAvailableRetries() float64 {
	return max(1, usableBudgetRatio*r.options.ExtraRetries/float64(r.gateways)/2)
}

// budget returns the budget of a service, refilled up to now. A new budget starts full.
func (r *Retrier) budget(service string, now time.Duration) *budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &budget{availableRetries: r.maxAvailableRetries(), refilledAt: now}
		r.budgets[service] = b
	}
	b.availableRetries = min(r.maxAvailableRetries(),
		b.availableRetries+r.maxAvailableRetries()*(now-b.refilledAt).Seconds()/r.options.Window.Seconds())
	b.refilledAt = now
	return b
}
