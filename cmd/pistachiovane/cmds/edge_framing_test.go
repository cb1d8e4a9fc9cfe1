package cmds

import (
	"net/http"
	"strings"
	"testing"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// setAnswers makes all endpoints deliver their answers in the given way.
func (env *testEnv) setAnswers(a standin.Answer) {
	answerOf := func(r standin.Run) standin.Answer {
		if r.IsPrefill {
			return standin.Answer{}
		}
		return a
	}
	for _, e := range env.modelEndpoints {
		e.SetAnswers(answerOf)
	}
	for _, e := range env.serviceEndpoints {
		e.SetAnswers(answerOf)
	}
}

// endsInsideEvent reports whether the first n bytes of completeStream end inside an event.
func endsInsideEvent(n int) bool {
	return n > 0 && !strings.HasSuffix(completeStream[:n], "\n\n")
}

// Guards against presenting a stream that was broken off as complete (issue 32, ORDER).
func TestEdgeCompletesStreamThatEndedInsideEvent(t *testing.T) {
	for name, answer := range map[string]standin.Answer{
		"unframed": {Unframed: true, Cut: standin.CutClose},
		"marked":   {Cut: standin.CutMarked},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			for n := 1; n < len(completeStream); n++ {
				if !endsInsideEvent(n) {
					continue
				}
				answer.CutAfter = n
				env.setAnswers(answer)
				if resp := env.generate("/note/1"); resp.err == nil {
					t.Fatalf("cut after %d bytes: got a complete answer with body %q", n, resp.body)
				}
			}
		})
	}
}

// Guards against telling the caller that an answer is complete when its endpoint did not (issue 32, ORDER).
func TestEdgeMarksEndThatEndpointDidNotMark(t *testing.T) {
	for _, c := range []struct{ path, whole string }{{"/note/1", completeStream}, {"/book/1", "answer of s1"}} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			for n := range len(c.whole) {
				env.setAnswers(standin.Answer{Unframed: true, Cut: standin.CutClose, CutAfter: n})
				if resp := env.generate(c.path); resp.claimsComplete() {
					t.Fatalf("cut after %d bytes: the caller is told that the answer is complete, with body %q", n, resp.body)
				}
			}
		})
	}
}

// Guards against resuming a broken-off stream with a lost or a doubled event, or not at all (issue 32, ORDER).
func TestEdgeDoesNotResumeStreamThatEndedInsideEvent(t *testing.T) {
	for name, unframedRest := range map[string]bool{"framed rest": false, "unframed rest": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			for n := 1; n < len(completeStream); n++ {
				if !endsInsideEvent(n) {
					continue
				}
				env.useAnswers(standin.Answer{Unframed: true, Cut: standin.CutClose, CutAfter: n},
					standin.Answer{Unframed: unframedRest})
				if resp := env.generate("/draft/1"); resp.err != nil || resp.body != completeStream {
					t.Fatalf("cut after %d bytes: got error %v and body %q, want the complete stream; log:\n%s",
						n, resp.err, resp.body, env.log.String())
				}
			}
		})
	}
}

// Guards against holding an answer without length or chunks against its endpoint, or running it twice.
func TestEdgeServesWholeUnframedAnswers(t *testing.T) {
	for _, path := range []string{"/draft/1", "/note/1", "/read/1", "/book/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.setAnswers(standin.Answer{Unframed: true})
			const requests = 20
			for range requests {
				resp := env.generate(path)
				if resp.err != nil || resp.status != http.StatusOK || !resp.unframed {
					t.Fatalf("got %+v, want a whole answer without length or chunks; log:\n%s", resp, env.log.String())
				}
				if want := completeStream; strings.Contains(resp.body, "id:") && resp.body != want {
					t.Fatalf("got body %q, want %q", resp.body, want)
				}
			}
			runs := env.serviceRuns()
			for _, id := range []string{"d1", "d2"} {
				runs += len(env.modelEndpoints[id].Runs())
			}
			if runs != requests {
				t.Errorf("%d requests ran %d times", requests, runs)
			}
			if refused := env.state().Quarantined; len(refused) > 0 {
				t.Errorf("requests with whole answers are refused: %v", refused)
			}
			if log := env.log.String(); strings.Contains(log, "crash: suspected") || strings.Contains(log, "ejected") {
				t.Errorf("whole answers were held against a request or an endpoint; log:\n%s", log)
			}
		})
	}
}
