package assembler

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

// The load of BenchmarkOverhead: its request rate, and for how long it is sent on each path.
const (
	overheadRequestsPerSecond = 500
	overheadDuration          = 5 * time.Second
)

// BenchmarkOverhead measures the latency that gateway and agent add. It reads from a plain service at
// overheadRequestsPerSecond, first through gateway and agent, then directly, and reports p50 and p99 of both.
func BenchmarkOverhead(b *testing.B) {
	o := DefaultOptions()
	o.Accounts[0].TokensPerSecond = 1e6
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := New(ctx, o)
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	directURL := ""
	for _, n := range f.Agents {
		if n.vm.Role == endpoint.Plain.String() {
			directURL = n.ServiceURL
		}
	}
	for b.Loop() {
		gatewayLatencies := measureLatencies(b, client, f.Gateways[0].CallerURL+"/v1/services/bookings/seats", "studio-key")
		directLatencies := measureLatencies(b, client, directURL+"/calls/seats", "")
		b.ReportMetric(quantileMillis(gatewayLatencies, 0.5), "p50-through-ms")
		b.ReportMetric(quantileMillis(directLatencies, 0.5), "p50-direct-ms")
		b.ReportMetric(quantileMillis(gatewayLatencies, 0.99), "p99-through-ms")
		b.ReportMetric(quantileMillis(directLatencies, 0.99), "p99-direct-ms")
	}
}

// measureLatencies sends reads at a steady rate and returns their latencies, sorted. Each is measured from the intended
// send time, so that a request that was sent late counts its delay too.
func measureLatencies(b *testing.B, client *http.Client, url, key string) []time.Duration {
	b.Helper()
	var mu sync.Mutex
	var out []time.Duration
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(overheadDuration.Seconds() * overheadRequestsPerSecond) {
		intendedAt := start.Add(time.Duration(i) * time.Second / overheadRequestsPerSecond)
		time.Sleep(time.Until(intendedAt))
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
			if err != nil {
				b.Error(err)
				return
			}
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := client.Do(req)
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Errorf("read from plain service: %v", err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			out = append(out, time.Since(intendedAt))
		})
	}
	wg.Wait()
	slices.Sort(out)
	return out
}

// quantileMillis returns the quantile q, from 0 to 1, of sorted latencies in milliseconds.
func quantileMillis(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}
