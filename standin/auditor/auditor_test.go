package auditor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/standin/plain"
)

// TestEveryKindOfViolationIsReported proves that the auditor reports each kind of violation, and none without one.
func TestEveryKindOfViolationIsReported(t *testing.T) {
	run := plain.Execution{Account: "a", Body: "m1"}
	tests := []struct {
		name   string
		answer []ReceivedAnswer
		call   []ServiceCall
		runs   []plain.Execution
		want   []string
	}{
		{name: "clean", answer: []ReceivedAnswer{{Account: "a", CompletedAt: time.Second, Tokens: 100, Want: "x", Got: "x"}}, call: []ServiceCall{{Account: "a", BodyMarker: "m1", Answered: true}}, runs: []plain.Execution{run}},
		{name: "crossed answer", answer: []ReceivedAnswer{{Account: "a", Want: "x", Got: "y"}}, want: []string{"answer: account a got 1 bytes that are not its whole answer of 1"}},
		{name: "ran twice", call: []ServiceCall{{Account: "a", BodyMarker: "m1", Answered: true}}, runs: []plain.Execution{run, run}, want: []string{"once: call m1 ran 2 times"}},
		{name: "false not run", call: []ServiceCall{{Account: "a", BodyMarker: "m1", ReportedNotRun: true}}, runs: []plain.Execution{run}, want: []string{"refusal: call m1 ran although its refusal said not run"}},
		{name: "answered but never ran", call: []ServiceCall{{Account: "a", BodyMarker: "m1", Answered: true}}, want: []string{"answer: call m1 was answered but never ran"}},
		{name: "wrong account", call: []ServiceCall{{Account: "b", BodyMarker: "m1", Answered: true}}, runs: []plain.Execution{run}, want: []string{"account: call m1 ran for a"}},
		{name: "key seen", runs: []plain.Execution{{Account: "a", Authorization: "Bearer k"}}, want: []string{"key: an endpoint saw a caller's key"}},
		{name: "over plan", answer: []ReceivedAnswer{
			{Account: "a", SentAt: 0, CompletedAt: time.Second, Tokens: 150, Want: "x", Got: "x"},
			{Account: "a", SentAt: time.Second, CompletedAt: 2 * time.Second, Tokens: 150, Want: "x", Got: "x"},
		}, want: []string{"limit: account a got 180 tokens more than its plan in a window"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			auditor := New([]Limit{{Account: "a", TokensPerSecond: 10, BurstTokens: 100}})
			for _, a := range tt.answer {
				auditor.RecordAnswer(a)
			}
			for _, c := range tt.call {
				auditor.RecordCall(c)
			}
			if diff := cmp.Diff(tt.want, auditor.Violations(tt.runs)); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}
