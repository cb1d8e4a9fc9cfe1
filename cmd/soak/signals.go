package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
)

const (
	// leavingLine is the header line of an endpoint that leaves.
	leavingLine = "Server-Leaving: 1\r\n"
	// quietLeavingTime is the time for which an endpoint says only in its answers that it leaves, before its entry does.
	quietLeavingTime = 4 * time.Second
	// refusingTime is how long an endpoint refuses requests with the pause that it asks for.
	refusingTime = 300 * time.Millisecond
)

// liveEndpoint returns the endpoint with this number, modulo the number of endpoints that have neither crashed nor begun
// to leave. It returns nil if there is none.
func (b *testbed) liveEndpoint(number int) *endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var live []*endpoint
	for _, e := range b.endpoints {
		if e.CrashedAt().IsZero() && !e.leaving && !e.quiet {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[number%len(live)]
}

// injectPause makes the live endpoint with this number refuse requests for a moment and ask for a pause.
func (b *testbed) injectPause(number int, pause time.Duration) error {
	e := b.liveEndpoint(number)
	if e == nil {
		return nil
	}
	b.beginFault("pause-asked " + e.ID)()
	e.Pause(refusingTime, fmt.Sprintf("%.2f", pause.Seconds()))
	return nil
}

// injectQuietLeaving replaces the live endpoint with this number, which says only in its answers that it leaves, and
// writes that into its entry after quietLeavingTime.
func (b *testbed) injectQuietLeaving(number int) error {
	e := b.liveEndpoint(number)
	if e == nil {
		return nil
	}
	b.beginFault("leave-quietly")()
	b.mu.Lock()
	e.quiet = true
	b.mu.Unlock()
	if err := b.addEndpoint(e.Stage); err != nil {
		return err
	}
	e.SetHeader(leavingLine)
	time.Sleep(quietLeavingTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	e.leaving = true
	if e.CrashedAt().IsZero() {
		b.store.Put(e.StoreEntry(e.state()))
		b.leavingSince[e.ID] = time.Now()
	}
	return nil
}

// addSignals adds to the history what reached an endpoint and what it said about itself. The caller must hold the lock.
func addSignals(h *verifier.History, e *endpoint) {
	for _, c := range e.Contacts() {
		if c.RequestID != "" {
			h.Contacts = append(h.Contacts, verifier.Contact{
				ID: c.RequestID, Endpoint: e.ID, At: c.At, AskedPause: c.AskedPause,
			})
		}
	}
	for _, r := range e.Runs() {
		if r.Complete && r.SaidLeaving {
			h.LeavingAnswers = append(h.LeavingAnswers, verifier.LeavingAnswer{ID: r.RequestID, Endpoint: e.ID, At: r.EndedAt})
		}
	}
}

// undisturbed returns whether a gateway ran all the time and had an undisturbed path to an endpoint. The caller must hold
// the lock.
func (b *testbed) undisturbed(gateway, endpointID string, from, to time.Time) bool {
	return b.faultFree(from.Add(-time.Second), to, func(fault string) bool {
		kind, target, _ := strings.Cut(fault, " ")
		switch kind {
		case "path", "answers":
			return target == endpointID
		case "kill", "term", "pause":
			return target == "all" || target == gateway
		}
		return false
	})
}
