package verifier

import (
	"sort"
	"time"
)

const (
	// pauseNotice is the time from a refusal that asks for a pause until the gateway must have understood it, and
	// maxContactsInPause how many requests may reach the endpoint from then on until the pause ends.
	pauseNotice        = 500 * time.Millisecond
	maxContactsInPause = 2
)

// Contact is an endpoint's record of one request that reached it, whether or not it ran it.
type Contact struct {
	// ID is the ID of the caller's request.
	ID       string
	Endpoint string
	At       time.Time
	// AskedPause is the pause that the endpoint asked for when it refused the request, or zero.
	AskedPause time.Duration
}

// LeavingAnswer is an endpoint's record of a whole answer in which it said that it leaves.
type LeavingAnswer struct {
	// ID is the ID of the caller's request.
	ID       string
	Endpoint string
	At       time.Time
}

// pair is a gateway and an endpoint.
type pair struct{ gateway, endpoint string }

// checkSignals checks that gateways obey what endpoints say about themselves in their answers.
func (v *Verifier) checkSignals() {
	contacts := map[pair][]Contact{}
	for _, c := range v.history.Contacts {
		if r, ok := v.requestsByID[c.ID]; ok {
			p := pair{gateway: r.Gateway, endpoint: c.Endpoint}
			contacts[p] = append(contacts[p], c)
		}
	}
	leavingSince := map[pair]time.Time{}
	for _, a := range v.history.LeavingAnswers {
		r, ok := v.requestsByID[a.ID]
		if !ok {
			continue
		}
		p := pair{gateway: r.Gateway, endpoint: a.Endpoint}
		if first, ok := leavingSince[p]; !ok || a.At.Before(first) {
			leavingSince[p] = a.At
		}
	}
	for p, all := range contacts {
		sort.Slice(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
		v.checkPauses(p, all)
		if since, ok := leavingSince[p]; ok {
			v.checkLeaving(p, all, since)
		}
	}
}

// checkPauses checks that nothing reaches an endpoint from a gateway that it has asked for a pause. The contacts are in
// order of time.
func (v *Verifier) checkPauses(p pair, contacts []Contact) {
	for _, asked := range contacts {
		end := asked.At.Add(asked.AskedPause)
		if asked.AskedPause <= pauseNotice || !v.history.Undisturbed(p.gateway, p.endpoint, asked.At, end) {
			continue
		}
		n := 0
		for _, c := range contacts {
			if c.At.After(asked.At.Add(pauseNotice)) && c.At.Before(end) {
				n++
			}
		}
		v.expect(n <= maxContactsInPause, "pauses", asked.ID, "%d requests reached %s through %s in the pause of %v after that",
			n, p.endpoint, p.gateway, asked.AskedPause)
	}
}

// checkLeaving checks that no request that a caller sent later than DrainDeadline after an endpoint said that it leaves
// reaches it through that gateway.
func (v *Verifier) checkLeaving(p pair, contacts []Contact, since time.Time) {
	for _, c := range contacts {
		sentAt := v.requestsByID[c.ID].SentAt
		if !sentAt.After(since.Add(v.history.Bounds.DrainDeadline)) ||
			!v.history.Undisturbed(p.gateway, p.endpoint, since, c.At) {
			continue
		}
		v.expect(false, "word of leaving endpoints", c.ID, "reached %s through %s, sent %v after that had been told",
			p.endpoint, p.gateway, sentAt.Sub(since))
	}
	v.expect(true, "word of leaving endpoints", p.endpoint, "")
}
