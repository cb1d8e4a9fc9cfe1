package auditor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/standin/plain"
)

// TestEveryKindOfViolationIsReported guards against an auditor that misses a kind of violation, or that reports one
// where there is none.
func TestEveryKindOfViolationIsReported(t *testing.T) {
	execution := plain.Execution{Account: "a", Body: "m1"}
	tests := []struct {
		name       string
		answers    []ReceivedAnswer
		calls      []ServiceCall
		executions []plain.Execution
		want       []string
	}{
		{
			name:       "clean",
			answers:    []ReceivedAnswer{{Account: "a", CompletedAt: time.Second, Tokens: 100, Want: "x", Got: "x"}},
			calls:      []ServiceCall{{Account: "a", BodyMarker: "m1", Answered: true}},
			executions: []plain.Execution{execution},
		},
		{
			name:    "crossed answer",
			answers: []ReceivedAnswer{{Account: "a", Want: "x", Got: "y"}},
			want:    []string{"answer: account a got 1 bytes that are not its whole answer of 1"},
		},
		{
			name:       "ran twice",
			calls:      []ServiceCall{{Account: "a", BodyMarker: "m1", Answered: true}},
			executions: []plain.Execution{execution, execution},
			want:       []string{"once: call m1 ran 2 times"},
		},
		{
			name:       "false not run",
			calls:      []ServiceCall{{Account: "a", BodyMarker: "m1", ReportedNotRun: true}},
			executions: []plain.Execution{execution},
			want:       []string{"refusal: call m1 ran although its refusal said not run"},
		},
		{
			name:  "answered but never ran",
			calls: []ServiceCall{{Account: "a", BodyMarker: "m1", Answered: true}},
			want:  []string{"answer: call m1 was answered but never ran"},
		},
		{
			name:       "wrong account",
			calls:      []ServiceCall{{Account: "b", BodyMarker: "m1", Answered: true}},
			executions: []plain.Execution{execution},
			want:       []string{"account: call m1 ran for a"},
		},
		{
			name:       "key seen",
			executions: []plain.Execution{{Account: "a", Authorization: "Bearer k"}},
			want:       []string{"key: an endpoint saw a caller's key"},
		},
		{name: "over plan", answers: []ReceivedAnswer{
			{Account: "a", SentAt: 0, CompletedAt: time.Second, Tokens: 150, Want: "x", Got: "x"},
			{Account: "a", SentAt: time.Second, CompletedAt: 2 * time.Second, Tokens: 150, Want: "x", Got: "x"},
		}, want: []string{"limit: account a got 180 tokens more than its plan in a window"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			auditor := New([]Limit{{Account: "a", TokensPerSecond: 10, BurstTokens: 100}})
			for _, a := range tt.answers {
				auditor.RecordAnswer(a)
			}
			for _, c := range tt.calls {
				auditor.RecordCall(c)
			}
			if diff := cmp.Diff(tt.want, auditor.Violations(tt.executions)); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}
