package assembler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBadInput guards against an invalid request that crashes the gateway, is run, or gets a response without a typed
// error. After all of them a valid request must still be answered.
func TestBadInput(t *testing.T) {
	f := startFleet(t, nil)
	callerURL := f.Gateways[0].CallerURL
	tests := []struct {
		name, path, key, body string
		status                int
		code                  string
	}{
		{"malformed JSON", "/v1/completions", "studio-key", `{"model":`, 400, "request"},
		{"wrong type", "/v1/completions", "studio-key", `{"model":"drafting","prompt":7}`, 400, "request"},
		{"missing prompt", "/v1/completions", "studio-key", `{"model":"drafting"}`, 400, "request"},
		{
			"negative size", "/v1/completions", "studio-key",
			`{"model":"drafting","prompt":"x","max_tokens":-1}`, 400, "request",
		},
		{
			"huge number", "/v1/completions", "studio-key",
			`{"model":"drafting","prompt":"x","max_tokens":1e30}`, 400, "request",
		},
		{"unknown model", "/v1/completions", "studio-key", `{"model":"nobody","prompt":"x"}`, 403, "plan"},
		{"unknown key", "/v1/completions", "wrong", `{"model":"drafting","prompt":"x"}`, 401, "key"},
		{
			"oversized body", "/v1/completions", "studio-key",
			`{"model":"drafting","prompt":"` + strings.Repeat("x", 5<<20) + `"}`, 413, "size",
		},
		{"above burst", "/v1/completions", "potter-key", `{"model":"drafting","prompt":"x","max_tokens":99999}`, 400, "size"},
		{"unknown service", "/v1/services/other/pay", "studio-key", `{}`, 403, "plan"},
		{"no such path", "/v2/other", "studio-key", `{}`, 404, "path"},
		{"no messages", "/v1/chat/completions", "studio-key", `{"model":"drafting","messages":[]}`, 400, "request"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := post(t, callerURL+tt.path, tt.key, tt.body)
			var got struct {
				Error struct{ Code, Type, Message, Run string }
			}
			if err := json.Unmarshal([]byte(r.body), &got); err != nil {
				t.Fatalf("the response is not a typed error: %q", r.body)
			}
			if r.status != tt.status || got.Error.Code != tt.code {
				t.Errorf("got status %d and code %q, want %d and %q: %s", r.status, got.Error.Code, tt.status, tt.code,
					got.Error.Message)
			}
			if r.header.Get("X-Run") != "not-run" || got.Error.Run != "not-run" {
				t.Errorf("got run state %q in the header and %q in the body, want not-run", r.header.Get("X-Run"), got.Error.Run)
			}
		})
	}
	if r := post(t, callerURL+"/v1/completions", "studio-key",
		`{"model":"drafting","prompt":"still there","max_tokens":4}`); r.status != http.StatusOK {
		t.Errorf("valid request after the invalid ones: got status %d, want 200: %s", r.status, r.body)
	}
}

// TestIdentityHeadersAreIgnored guards against a caller that acts as another account by sending a header with its name.
// The service must receive the account of the key, and must not receive the key.
func TestIdentityHeadersAreIgnored(t *testing.T) {
	f := startFleet(t, nil)
	r := post(t, f.Gateways[0].CallerURL+"/v1/services/bookings/pay", "studio-key", `{"amount":1}`,
		"X-Account", "tutor", "X-Tenant-Id", "tutor")
	if r.status != http.StatusOK {
		t.Fatalf("got status %d, want 200: %s", r.status, r.body)
	}
	for _, n := range f.Agents {
		if n.PlainService == nil {
			continue
		}
		for _, execution := range n.PlainService.Executions() {
			if execution.Account != "studio" || execution.Authorization != "" {
				t.Errorf("the service received account %q and authorization %q, want studio and none",
					execution.Account, execution.Authorization)
			}
		}
	}
}

// TestSlowCallerIsDisconnected guards against a connection that stays open for a caller that never sends the rest of
// its request. The gateway must close it or respond with an error after RequestReadTimeout.
func TestSlowCallerIsDisconnected(t *testing.T) {
	f := startFleet(t, func(o *Options) { o.RequestReadTimeout = 200 * time.Millisecond })
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.Gateways[0].CallerURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn,
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer studio-key\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.Contains(line, " 400 ") && !strings.Contains(line, " 408 ") {
		t.Errorf("the slow caller got %q, want status 400 or 408 or a closed connection", line)
	}
}

// TestFleetPortNeedsCredentials guards against an agent or gateway that answers on its fleet port without the fleet's
// credentials: a request in clear text must get no result.
func TestFleetPortNeedsCredentials(t *testing.T) {
	f := startFleet(t, nil)
	for _, n := range append(append([]*Node(nil), f.Agents...), f.Gateways...) {
		conn, err := net.Dial("tcp", n.vm.Address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"incarnation":"x"}}` + "\n"))
		_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		buffer := make([]byte, 256)
		replySize, _ := conn.Read(buffer)
		if strings.Contains(string(buffer[:replySize]), "result") {
			t.Errorf("%s answered a request without credentials: %q", n.Name, buffer[:replySize])
		}
		_ = conn.Close()
	}
}

// TestDumpHoldsNoSecrets guards against callers' keys and the fleet's secret in the state dump of a gateway.
func TestDumpHoldsNoSecrets(t *testing.T) {
	f := startFleet(t, nil)
	post(t, f.Gateways[0].CallerURL+"/v1/completions", "studio-key", `{"model":"drafting","prompt":"x","max_tokens":4}`)
	for _, g := range f.Gateways {
		data, err := json.Marshal(g.Gateway.State())
		if err != nil {
			t.Fatal(err)
		}
		for _, secret := range []string{"studio-key", "tutor-key", "stand-in fleet secret"} {
			if strings.Contains(string(data), secret) {
				t.Errorf("the state dump of %s contains the secret %q", g.Name, secret)
			}
		}
	}
}

// TestLimitHoldsOverARestart guards against an account that gets more than its limit because a gateway restarts without
// its record of the tokens spent. The account calls at both gateways before and after the restart of one of them, and
// at the other one in between.
func TestLimitHoldsOverARestart(t *testing.T) {
	const tokensPerSecond = 50
	f := startFleet(t, func(o *Options) {
		o.Accounts[2].TokensPerSecond, o.Accounts[2].BurstTokens = tokensPerSecond, 400
	})
	admitted := 0
	sendCalls := func(gateways ...*Node) {
		for range 30 {
			for _, g := range gateways {
				if r := post(t, g.CallerURL+"/v1/services/bookings/read", "potter-key", `{}`); r.status == http.StatusOK {
					admitted++
				}
			}
		}
	}
	sendCalls(f.Gateways...)
	f.Kill(f.Gateways[1])
	sendCalls(f.Gateways[0])
	f.Gateways = f.Gateways[:1]
	if _, err := f.AddGateway("gw-2"); err != nil {
		t.Fatal(err)
	}
	sendCalls(f.Gateways...)
	// All token buckets start empty and a call costs one token, so at most the refill since the start of the fleet can
	// have been admitted.
	if maxAdmitted := tokensPerSecond*time.Since(f.startedAt).Seconds() + 1; float64(admitted) > maxAdmitted {
		t.Errorf("got %d admitted calls, want at most %.0f", admitted, maxAdmitted)
	}
	if admitted < 30 {
		t.Errorf("got %d admitted calls of 150, want at least 30", admitted)
	}
}
