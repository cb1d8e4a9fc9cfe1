// Package client is a caller of the gateway for the demo, the load tool and the tests.
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

// Client calls one gateway with one key.
type Client struct {
	baseURL    string
	accountKey string
	client     *http.Client
}

// New returns a client of the gateway at the base URL.
func New(baseURL, accountKey string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, accountKey: accountKey, client: client}
}

// Result is what a caller received.
type Result struct {
	Status int
	// ErrorCode and Run are the reason and whether anything ran, of a refusal.
	ErrorCode string
	RunState  string
	Text      string
	// TimeToFirstToken is the time to the first token of a stream.
	TimeToFirstToken time.Duration
	// TokenIntervals are the times between its tokens.
	TokenIntervals []time.Duration
	// Complete is set when a stream came to its end.
	Complete bool
}

// CompletionRequest is a prompt.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Draft     bool   `json:"draft"`
}

// Complete sends a prompt and streams the answer. It fails when the connection does.
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

// Call runs a call of a plain service; an empty key sends none. It fails when the connection does.
func (c *Client) Call(ctx context.Context, service, call, idempotencyKey string, body any) (Result, error) {
	return c.requestService(ctx, http.MethodPost, "/v1/services/"+service+"/"+call, idempotencyKey, body)
}

// Read reads from a plain service. It fails when the connection does.
func (c *Client) Read(ctx context.Context, service, call string) (Result, error) {
	return c.requestService(ctx, http.MethodGet, "/v1/services/"+service+"/"+call, "", nil)
}

func (c *Client) requestService(ctx context.Context, method, path, idempotencyKey string, body any) (Result, error) {
	resp, err := c.send(ctx, method, path, idempotencyKey, body)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp), nil
	}
	var answer struct {
		Result string `json:"result"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return Result{Status: resp.StatusCode, Text: answer.Result, Complete: err == nil}, errors.Wrap(err, "decode answer")
}

func (c *Client) send(ctx context.Context, method, path, idempotencyKey string, body any) (*http.Response, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.accountKey)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := c.client.Do(req)
	return resp, errors.Wrap(err, "send")
}

type errorResponse struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func readRefusal(resp *http.Response) Result {
	var body errorResponse
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return Result{Status: resp.StatusCode, ErrorCode: body.Error.Code, RunState: body.Error.Run}
}

type streamEvent struct {
	errorResponse
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

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
			return r, errors.Wrap(err, "decode event")
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
	return r, errors.Wrap(scanner.Err(), "read stream")
}
