package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
)

// awaitAllReady waits until all gateways are ready and returns false when they are not within the timeout.
func (b *testbed) awaitAllReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(readinessInterval) {
		b.mu.Lock()
		readyCount := 0
		for _, g := range b.gateways {
			if g.ready {
				readyCount++
			}
		}
		b.mu.Unlock()
		if readyCount == len(b.gateways) {
			return true
		}
	}
	return false
}

// checkProcesses returns a finding for each gateway whose process exited although the soak had sent it neither SIGTERM
// nor SIGKILL.
func (b *testbed) checkProcesses() []verifier.Finding {
	var out []verifier.Finding
	for _, g := range b.gateways {
		if starts, unexpectedExits := g.process.Starts(); unexpectedExits > 0 {
			out = append(out, verifier.Finding{
				Promise: "no end by itself", ID: g.name,
				Detail: fmt.Sprintf("%d of %d starts ended by themselves", unexpectedExits, starts),
			})
		}
	}
	return out
}

// checkVersions checks that the newest configuration is active at each gateway: it must serve the route that only the
// newest version has, and not the route that only the version before it has.
func (b *testbed) checkVersions() []verifier.Finding {
	var out []verifier.Finding
	c := &caller{
		testbed: b, rng: b.rng, account: bigAccount, client: &http.Client{}, apiKey: b.pickKey(bigAccount, b.rng),
		neverCancels: true,
	}
	for _, g := range b.gateways {
		c.gateway = g
		for version, want := range map[int]int{b.version: http.StatusOK, b.version - 1: http.StatusNotFound} {
			if version == 0 {
				continue
			}
			if got := c.send(versionRoute(version), "", "").Status; got != want {
				out = append(out, verifier.Finding{
					Promise: "newest configuration", ID: g.name,
					Detail: fmt.Sprintf("route of version %d answered %d, want %d", version, got, want),
				})
			}
		}
	}
	return out
}
