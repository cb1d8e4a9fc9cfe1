package assembler

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/pistachiovane/pistachiovane/standin/engine"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startFleet starts a fleet whose engines run at four times real time, and closes it at the end of the test. configure
// may change the options.
func startFleet(t *testing.T, configure func(*Options)) *Fleet {
	t.Helper()
	o := DefaultOptions()
	o.SpeedFactor = 4
	if configure != nil {
		configure(&o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f, err := New(ctx, o)
	if err != nil {
		t.Fatalf("start fleet: %v", err)
	}
	t.Cleanup(f.Close)
	return f
}

// response is an HTTP response whose body was read completely.
type response struct {
	status int
	header http.Header
	body   string
}

// post sends a JSON body with a caller's key on a connection of its own, and returns the complete response. headers are
// alternating names and values.
func post(t *testing.T, url, key, body string, headers ...string) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatalf("send request: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

// TestCompletionArrivesWhole guards against lost, repeated or foreign tokens in a response that is not streamed, on the
// way from the decode engine through agent and gateway.
func TestCompletionArrivesWhole(t *testing.T) {
	f := startFleet(t, nil)
	prompt := strings.Repeat("throw a bowl ", 50)
	body, _ := json.Marshal(map[string]any{"model": "drafting", "prompt": prompt, "max_tokens": 40})
	r := post(t, f.Gateways[0].CallerURL+"/v1/completions", "studio-key", string(body))
	if r.status != http.StatusOK {
		t.Fatalf("got status %d, want 200: %s", r.status, r.body)
	}
	var got struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(r.body), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(engine.Answer(prompt, 40), got.Choices[0].Text); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestStreamArrivesInOrder guards against lost, repeated or reordered tokens in a streamed chat response, and against a
// stream without its end marker.
func TestStreamArrivesInOrder(t *testing.T) {
	f := startFleet(t, nil)
	r := post(t, f.Gateways[1].CallerURL+"/v1/chat/completions", "tutor-key",
		`{"model":"drafting","messages":[{"role":"user","content":"hello"}],"max_tokens":20,"stream":true}`)
	var text strings.Builder
	for _, line := range strings.Split(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("parse event %q: %v", data, err)
		}
		text.WriteString(event.Choices[0].Delta.Content)
	}
	if diff := cmp.Diff(engine.Answer("user: hello\n", 20), text.String()); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Errorf("the stream does not end with [DONE]: %q", r.body)
	}
}

// TestBookingRunsOnceForOneKey guards against a call that runs again when its caller repeats it with the same
// idempotency key, at the same gateway and at another one.
func TestBookingRunsOnceForOneKey(t *testing.T) {
	f := startFleet(t, nil)
	for i := range 4 {
		r := post(t, f.Gateways[i%2].CallerURL+"/v1/services/bookings/pay", "studio-key", `{"amount":10}`,
			"Idempotency-Key", "k1")
		if r.status != http.StatusOK {
			t.Fatalf("call %d: got status %d, want 200: %s", i, r.status, r.body)
		}
	}
	executions := 0
	for _, n := range f.Agents {
		if n.PlainService != nil {
			executions += len(n.PlainService.Executions())
		}
	}
	if executions != 1 {
		t.Errorf("got %d executions of the booking, want 1", executions)
	}
}
