package auditor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/standin/plain"
)

// TestSeededViolationsAreSeen proves that the auditor reports each kind of violation, and none without one.
func TestSeededViolationsAreSeen(t *testing.T) {
	run := plain.Execution{Account: "a", Body: "m1"}
	tests := []struct {
		name   string
		answer []Answered
		call   []Called
		runs   []plain.Execution
		want   []string
	}{
		{name: "clean", answer: []Answered{{Account: "a", Done: time.Second, Tokens: 100, Want: "x", Got: "x"}}, call: []Called{{Account: "a", Mark: "m1", Done: true}}, runs: []plain.Execution{run}},
		{name: "crossed answer", answer: []Answered{{Account: "a", Want: "x", Got: "y"}}, want: []string{"answer: account a got 1 bytes that are not its whole answer of 1"}},
		{name: "ran twice", call: []Called{{Account: "a", Mark: "m1", Done: true}}, runs: []plain.Execution{run, run}, want: []string{"once: call m1 ran 2 times"}},
		{name: "false not run", call: []Called{{Account: "a", Mark: "m1", NotRun: true}}, runs: []plain.Execution{run}, want: []string{"refusal: call m1 ran although its refusal said not run"}},
		{name: "answered but never ran", call: []Called{{Account: "a", Mark: "m1", Done: true}}, want: []string{"answer: call m1 was answered but never ran"}},
		{name: "wrong account", call: []Called{{Account: "b", Mark: "m1", Done: true}}, runs: []plain.Execution{run}, want: []string{"account: call m1 ran for a"}},
		{name: "key seen", runs: []plain.Execution{{Account: "a", Authorization: "Bearer k"}}, want: []string{"key: an endpoint saw a caller's key"}},
		{name: "over plan", answer: []Answered{
			{Account: "a", Sent: 0, Done: time.Second, Tokens: 150, Want: "x", Got: "x"},
			{Account: "a", Sent: time.Second, Done: 2 * time.Second, Tokens: 150, Want: "x", Got: "x"},
		}, want: []string{"limit: account a got 180 tokens more than its plan in a window"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			auditor := New([]Limit{{Account: "a", Rate: 10, Burst: 100}})
			for _, a := range tt.answer {
				auditor.Answer(a)
			}
			for _, c := range tt.call {
				auditor.Call(c)
			}
			if diff := cmp.Diff(tt.want, auditor.Violations(tt.runs)); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}
