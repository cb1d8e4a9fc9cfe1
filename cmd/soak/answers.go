package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// unframedRatio is the fraction of answers, of prefills too, that have neither a length nor chunks.
	unframedRatio = 0.2
	// cutRatio is the fraction of answers that are broken off while faults are injected, after up to maxCutBytes.
	cutRatio    = 0.05
	maxCutBytes = 600
)

// cuts holds how answers are broken off. Crashes are left to requests that cause them.
var cuts = []standin.Cut{standin.CutClose, standin.CutReset, standin.CutMarked}

// answerOf returns how the answer to a request is delivered. It depends on the seed, the endpoint and the request.
func (b *testbed) answerOf(endpointID string, r standin.Run) standin.Answer {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, endpointID, " ", r.RequestID, " ", r.IsPrefill)
	rng := rand.New(rand.NewPCG(b.seed, h.Sum64())) //nolint:gosec // a seeded test
	a := standin.Answer{Unframed: rng.Float64() < unframedRatio}
	if b.cutsAnswers.Load() && rng.Float64() < cutRatio {
		a.Cut, a.CutAfter = cuts[rng.IntN(len(cuts))], rng.IntN(maxCutBytes)
	}
	return a
}

// endedUnmarked reports whether an endpoint broke off its answer so that it could be whole for all that follows from
// what it sent: neither its length nor its end was marked, and the connection ended in the ordinary way.
func endedUnmarked(r standin.Run) bool {
	return r.Answer.Unframed && (r.Answer.Cut == standin.CutClose || r.Answer.Cut == standin.CutMarked)
}

// isPartOfAnswer reports whether the body of an answer whose end is not marked can be a part of the whole one: the
// events up to one of them, or the first bytes of a plain answer.
func isPartOfAnswer(body, whole string, isStream bool) bool {
	if !isStream {
		return strings.HasPrefix(whole, body)
	}
	return body != "" && strings.HasPrefix(whole, body) && strings.HasSuffix(body, "\n\n")
}

// wholeStream returns the body of the whole stream that answers a request.
func wholeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: piece %d to %s\n\n", n, n, id)
	}
	return b.String()
}
