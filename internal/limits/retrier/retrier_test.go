package retrier_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
)

var options = retrier.Options{RetriesPerRequest: 0.2, ExtraRetries: 52, Window: 10 * time.Second}

// Gateways that each spend the whole budget would together multiply the load of a failing service. Here every request
// fails and takes all available retries, spread over four gateways. The budget must hold in every window, and most of
// it must be usable.
func TestRetriesExceedTheBudgetOfTheFleet(t *testing.T) {
	const gateways = 4
	var retriers [gateways]*retrier.Retrier
	for i := range retriers {
		retriers[i] = retrier.New(options)
		retriers[i].SetGateways(gateways)
	}
	var retries, requests []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		r := retriers[int(now/(10*time.Millisecond))%gateways]
		r.RecordRequest("s", now)
		requests = append(requests, now)
		for r.TakeRetry("s", now) {
			retries = append(retries, now)
		}
	}
	for _, start := range requests {
		allowed := options.RetriesPerRequest*float64(countInWindow(requests, start)) + options.ExtraRetries
		if got := countInWindow(retries, start); float64(got) > allowed {
			t.Fatalf("got %d retries in the window from %v, want at most %.0f", got, start, allowed)
		}
	}
	if len(retries) < len(requests)/10 {
		t.Errorf("got %d retries for %d requests, want at least one for every ten requests", len(retries), len(requests))
	}
}

// countInWindow returns how many of the times lie within one window from start.
func countInWindow(times []time.Duration, start time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= start && at < start+options.Window {
			n++
		}
	}
	return n
}
