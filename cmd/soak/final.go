package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
)

// allReady waits until all gateways are ready.
func (w *world) allReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(probeEvery) {
		w.mu.Lock()
		ready := 0
		for _, g := range w.gateways {
			if g.ready {
				ready++
			}
		}
		w.mu.Unlock()
		if ready == len(w.gateways) {
			return true
		}
	}
	return false
}

// checkProcesses looks for processes that ended by themselves.
func (w *world) checkProcesses() []verifier.Finding {
	var out []verifier.Finding
	for _, g := range w.gateways {
		if starts, surprises := g.process.Starts(); surprises > 0 {
			out = append(out, verifier.Finding{
				Promise: "no end by itself", ID: g.name, Detail: fmt.Sprintf("%d of %d starts ended by themselves", surprises, starts),
			})
		}
	}
	return out
}

// checkVersions looks whether each gateway has the newest configuration in force, and only that.
func (w *world) checkVersions() []verifier.Finding {
	var out []verifier.Finding
	c := &caller{world: w, rng: w.rng, account: bigAccount, client: &http.Client{}, key: w.key(bigAccount, w.rng), patient: true}
	for _, g := range w.gateways {
		c.gateway = g
		for version, want := range map[int]int{w.version: http.StatusOK, w.version - 1: http.StatusNotFound} {
			if version == 0 {
				continue
			}
			if got := c.send(versionRoute(version)).Status; got != want {
				out = append(out, verifier.Finding{
					Promise: "newest configuration", ID: g.name, Detail: fmt.Sprintf("route of version %d answered %d, want %d", version, got, want),
				})
			}
		}
	}
	return out
}
