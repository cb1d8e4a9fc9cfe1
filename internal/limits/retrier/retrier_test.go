package retrier_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
)

var options = retrier.Options{RetriesPerRequest: 0.2, ExtraRetries: 52, Window: 10 * time.Second}

// The load: every request fails and asks for repeats as fast as it may, on four gateways.
func TestRepeatsStayWithinTheBudgetOfTheFleet(t *testing.T) {
	const gateways = 4
	var all [gateways]*retrier.Retrier
	for i := range all {
		all[i] = retrier.New(options)
		all[i].SetGateways(gateways)
	}
	var repeats, requests []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		r := all[int(now/(10*time.Millisecond))%gateways]
		r.RecordRequest("s", now)
		requests = append(requests, now)
		for r.TakeRetry("s", now) {
			repeats = append(repeats, now)
		}
	}
	for _, from := range requests {
		allowed := options.RetriesPerRequest*float64(between(requests, from)) + options.ExtraRetries
		if got := between(repeats, from); float64(got) > allowed {
			t.Fatalf("%d repeats in the window from %v, allowed are %.0f", got, from, allowed)
		}
	}
	if len(repeats) < len(requests)/10 {
		t.Errorf("only %d repeats for %d requests: most of the budget is not used", len(repeats), len(requests))
	}
}

func between(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+options.Window {
			n++
		}
	}
	return n
}
