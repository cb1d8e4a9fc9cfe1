// Package client is a client of the gateway, for the demo and the scenario tests.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Client sends requests to one gateway with the key of one client account. It is safe for concurrent use.
type Client struct {
	baseURL    string
	accountKey string
	client     *http.Client
}

// New returns a client of the gateway at baseURL, which must not end with a slash.
func New(baseURL, accountKey string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, accountKey: accountKey, client: client}
}

// Result is what a caller received for one request.
type Result struct {
	// Status is the HTTP status. A stream that failed after its start has status 200 and an ErrorCode.
	Status int
	// ErrorCode is the code of the error, empty without one. RunState says whether any part of the request ran, for
	// example "not-run".
	ErrorCode string
	RunState  string
	// Text is the text of the answer, or its part that was received.
	Text string
	// TimeToFirstToken is the time from the request to the first token of a stream.
	TimeToFirstToken time.Duration
	// TokenIntervals are the times between successive tokens of a stream.
	TokenIntervals []time.Duration
	// Complete is set when the answer was received up to its end.
	Complete bool
}

// CompletionRequest is the body of a request to /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Draft     bool   `json:"draft"`
}

// Complete sends a prompt and reads the streamed answer up to its end. It fails when the connection fails or the stream
// is malformed; a refusal by the gateway is a Result.
func (c *Client) Complete(ctx context.Context, request CompletionRequest) (Result, error) {
	request.Stream = true
	startedAt := time.Now()
	resp, err := c.send(ctx, http.MethodPost, "/v1/completions", "", request)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp), nil
	}
	return readStream(resp.Body, startedAt)
}

// Call sends a call of a plain service. An empty idempotencyKey is not sent. It fails when the connection fails or the
// answer is malformed; a refusal by the gateway is a Result.
func (c *Client) Call(ctx context.Context, service, call, idempotencyKey string, body any) (Result, error) {
	return c.requestService(ctx, http.MethodPost, "/v1/services/"+service+"/"+call, idempotencyKey, body)
}

// Read reads from a plain service. It fails like Call.
func (c *Client) Read(ctx context.Context, service, call string) (Result, error) {
	return c.requestService(ctx, http.MethodGet, "/v1/services/"+service+"/"+call, "", nil)
}

// requestService sends a request to a plain service and reads its result.
func (c *Client) requestService(ctx context.Context, method, path, idempotencyKey string, body any) (Result, error) {
	resp, err := c.send(ctx, method, path, idempotencyKey, body)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp), nil
	}
	var response struct {
		Result string `json:"result"`
	}
	err = json.NewDecoder(resp.Body).Decode(&response)
	return Result{Status: resp.StatusCode, Text: response.Result, Complete: err == nil}, errors.Wrap(err, "decode answer")
}

// send sends a request with the account's key. A nil body is not sent, any other is sent as JSON. The caller closes the
// body of the response.
func (c *Client) send(ctx context.Context, method, path, idempotencyKey string, body any) (*http.Response, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request body")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.accountKey)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.client.Do(req)
	return resp, errors.Wrap(err, "send request to gateway")
}

// errorResponse is the body of a refusal, and of the event that ends a failed stream.
type errorResponse struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

// readRefusal reads a response with a status other than 200. A body that is not JSON leaves the code empty.
func readRefusal(resp *http.Response) Result {
	var body errorResponse
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return Result{Status: resp.StatusCode, ErrorCode: body.Error.Code, RunState: body.Error.Run}
}

// streamEvent is one event of a stream: a part of the answer or an error.
type streamEvent struct {
	errorResponse
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// readStream reads server-sent events up to the end marker and measures when their tokens arrive. startedAt is when the
// request was sent. A stream that ends without its marker is returned with Complete unset.
func readStream(body io.Reader, startedAt time.Time) (Result, error) {
	r := Result{Status: http.StatusOK}
	var text strings.Builder
	lastTokenAt := time.Time{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			break
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return r, errors.Wrap(err, "decode stream event")
		}
		if e.Error.Code != "" {
			r.ErrorCode, r.RunState = e.Error.Code, e.Error.Run
			continue
		}
		if len(e.Choices) == 0 || e.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		if lastTokenAt.IsZero() {
			r.TimeToFirstToken = now.Sub(startedAt)
		} else {
			r.TokenIntervals = append(r.TokenIntervals, now.Sub(lastTokenAt))
		}
		lastTokenAt = now
		text.WriteString(e.Choices[0].Text)
	}
	r.Text = text.String()
	return r, errors.Wrap(scanner.Err(), "read event stream")
}
