package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiovane/pistachiovane/api/caller/callerapi"
	"github.com/pistachiovane/pistachiovane/gateway/admitter"
	"github.com/pistachiovane/pistachiovane/gateway/coordinator"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/tokenizer"
)

const (
	// The values of fields in responses.
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	finishStop       = "stop"
	roleAssistant    = "assistant"
	// statusClientDisconnected is the status of the answer to a client that has disconnected. No client receives it.
	statusClientDisconnected = 499
)

// prompt is what text and chat completions have in common.
type prompt struct {
	model           string
	text            string
	maxOutputTokens int
	// draft marks a request without a deadline, which is served after interactive requests.
	draft bool
	// chat marks a chat completion.
	chat bool
}

// completion is a generation for a caller, with the settlement of its charge.
type completion struct {
	id           string
	prompt       prompt
	promptTokens int
	generation   *coordinator.Generation
	settle       admitter.Settlement
	server       *Server
	ctx          context.Context
}

// CreateCompletion completes a text, as one answer or as a stream. It fails with a Refusal.
func (s *Server) CreateCompletion(
	ctx context.Context, req *callerapi.CompletionRequest, _ callerapi.CreateCompletionParams,
) (callerapi.CreateCompletionRes, error) {
	p := prompt{model: req.Model, text: req.Prompt, maxOutputTokens: req.MaxTokens.Or(0), draft: req.Draft.Or(false)}
	c, err := s.submit(ctx, p)
	if err != nil {
		return nil, err
	}
	if req.Stream.Or(false) {
		reader, err := c.startStream()
		return &callerapi.CreateCompletionOKTextEventStream{Data: reader}, err
	}
	text, err := c.wholeText()
	if err != nil {
		return nil, err
	}
	return &callerapi.Completion{
		ID: c.id, Object: objectCompletion, Model: p.model, Usage: c.usage(),
		Choices: []callerapi.CompletionChoicesItem{{Text: text, FinishReason: finishStop}},
	}, nil
}

// CreateChatCompletion completes a chat, as one answer or as a stream. It fails with a Refusal.
func (s *Server) CreateChatCompletion(
	ctx context.Context, req *callerapi.ChatRequest, _ callerapi.CreateChatCompletionParams,
) (callerapi.CreateChatCompletionRes, error) {
	var text strings.Builder
	for _, m := range req.Messages {
		text.WriteString(string(m.Role) + ": " + m.Content + "\n")
	}
	p := prompt{
		model: req.Model, text: text.String(), maxOutputTokens: req.MaxTokens.Or(0), draft: req.Draft.Or(false),
		chat: true,
	}
	c, err := s.submit(ctx, p)
	if err != nil {
		return nil, err
	}
	if req.Stream.Or(false) {
		reader, err := c.startStream()
		return &callerapi.CreateChatCompletionOKTextEventStream{Data: reader}, err
	}
	content, err := c.wholeText()
	if err != nil {
		return nil, err
	}
	message := callerapi.ChatCompletionChoicesItemMessage{Role: roleAssistant, Content: content}
	return &callerapi.ChatCompletion{
		ID: c.id, Object: objectChat, Model: p.model, Usage: c.usage(),
		Choices: []callerapi.ChatCompletionChoicesItem{{Message: message, FinishReason: finishStop}},
	}, nil
}

// submit admits a prompt and starts its generation. The charge is the length of the prompt and the largest output, in
// tokens; the unused part is refunded at the end. It fails with a Refusal.
func (s *Server) submit(ctx context.Context, p prompt) (*completion, error) {
	promptTokens := tokenizer.CountTokens(p.text)
	maxWait := maxInteractiveWait
	if p.draft {
		maxWait = maxDraftWait
	}
	c, settle, err := s.admit(ctx, catalog.RouteModel, p.model, maxWait,
		func(*catalog.Route) float64 { return float64(promptTokens + p.maxOutputTokens) })
	if err != nil {
		return nil, err
	}
	if plan, ok := c.catalog.Plan(c.account.Plan); ok && plan.MaxOutputTokens > 0 &&
		p.maxOutputTokens > plan.MaxOutputTokens {
		settle(float64(promptTokens + p.maxOutputTokens))
		return nil, invalid(http.StatusBadRequest, "max_tokens",
			"the plan allows at most "+strconv.Itoa(plan.MaxOutputTokens)+" output tokens")
	}
	generation := s.coordinator.Submit(coordinator.GenerationRequest{
		Account: c.account, Key: c.key, Model: p.model, Prompt: p.text,
		PromptTokens: promptTokens, MaxOutputTokens: p.maxOutputTokens, Draft: p.draft,
		FirstTokenTimeout: s.options.FirstTokenTimeout,
	})
	a := &completion{
		id: newRequestID(), prompt: p, promptTokens: promptTokens, generation: generation, settle: settle, server: s,
		ctx: ctx,
	}
	// A key may have been withdrawn after it was checked and before the generation was submitted. This is found here,
	// because the coordinator only cancels generations that exist when a configuration becomes active.
	if active := s.activeCatalog(); active != c.catalog {
		if account, ok := active.AccountByKey(c.key); !ok || account.Name != c.account.Name {
			a.close()
			return nil, unauthorized()
		}
	}
	return a, nil
}

// wholeText waits for the end of the generation and returns the complete output. It fails with a Refusal.
func (c *completion) wholeText() (string, error) {
	defer c.close()
	var text strings.Builder
	for {
		texts, err := c.generation.NextTokens(c.ctx)
		if err != nil {
			return "", disconnected()
		}
		if len(texts) == 0 {
			break
		}
		for _, t := range texts {
			text.WriteString(t)
		}
	}
	if result := c.generation.Result(); result.Failed {
		return "", refusalOfResult(result, c.generation.OutputTokens())
	}
	c.server.Stats.Answers.Add(1)
	return text.String(), nil
}

// startStream waits for the first tokens, so that a request that fails before them gets its own HTTP status, and
// returns a reader of the event stream. It fails with a Refusal.
func (c *completion) startStream() (io.Reader, error) {
	firstTokens, err := c.generation.NextTokens(c.ctx)
	if err != nil {
		c.close()
		return nil, disconnected()
	}
	if result := c.generation.Result(); len(firstTokens) == 0 && result.Failed {
		c.close()
		return nil, refusalOfResult(result, 0)
	}
	context.AfterFunc(c.ctx, c.close)
	events := &eventStream{completion: c}
	events.addTokens(firstTokens)
	return events, nil
}

// close cancels the generation, adds its output tokens to the statistics and refunds the unused tokens. Only the first
// call refunds tokens.
func (c *completion) close() {
	c.generation.Cancel()
	outputTokens := c.generation.OutputTokens()
	c.server.Stats.OutputTokens.Add(uint64(outputTokens))
	c.settle(c.unusedTokens(outputTokens))
}

// unusedTokens returns the tokens to refund: all of them where it is certain that nothing ran, and otherwise those of
// the largest output that were not generated.
func (c *completion) unusedTokens(outputTokens int) float64 {
	if result := c.generation.Result(); result.Failed && result.NotRun {
		return float64(c.promptTokens + c.prompt.maxOutputTokens)
	}
	return float64(c.prompt.maxOutputTokens - outputTokens)
}

// usage returns the numbers of tokens for the caller.
func (c *completion) usage() callerapi.Usage {
	n := c.generation.OutputTokens()
	return callerapi.Usage{PromptTokens: c.promptTokens, CompletionTokens: n, TotalTokens: c.promptTokens + n}
}

// eventStream reads a completion as server-sent events.
type eventStream struct {
	completion *completion
	// buffer holds the events that were not read yet; closed is set when no more follow.
	buffer []byte
	closed bool
}

// Read returns the next events. The generated code reads until the end of the stream; where the caller disconnects,
// Read fails because the context of the request has ended.
func (e *eventStream) Read(p []byte) (int, error) {
	for len(e.buffer) == 0 {
		if e.closed {
			return 0, io.EOF
		}
		if err := e.fill(); err != nil {
			e.completion.close()
			return 0, err
		}
	}
	n := copy(p, e.buffer)
	e.buffer = e.buffer[n:]
	return n, nil
}

// fill waits for the next tokens and adds their events to the buffer, or the final events at the end of the
// generation. It fails when the context ends.
func (e *eventStream) fill() error {
	texts, err := e.completion.generation.NextTokens(e.completion.ctx)
	if err != nil {
		return err
	}
	if len(texts) > 0 {
		e.addTokens(texts)
		return nil
	}
	e.closed = true
	result := e.completion.generation.Result()
	if result.Failed {
		refusal := refusalOfResult(result, e.completion.generation.OutputTokens()).response()
		e.addEvent(refusal.Response)
	} else {
		e.addEvent(e.finalChunk())
		e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
		e.completion.server.Stats.Answers.Add(1)
	}
	e.completion.close()
	return nil
}

// addTokens adds one event for each token to the buffer.
func (e *eventStream) addTokens(texts []string) {
	for _, t := range texts {
		e.addEvent(e.chunk(t))
	}
}

// addEvent adds an event with the body as JSON to the buffer. A body that can't be encoded is left out.
func (e *eventStream) addEvent(body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	e.buffer = append(e.buffer, "data: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
}

// chunk is the body of one event of a stream. A text completion has its text in Choices[0].Text, a chat completion in
// Choices[0].Delta.
type chunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Model   string           `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   *callerapi.Usage `json:"usage,omitempty"`
}

// choice is the only choice of a chunk. FinishReason is null in all but the last one.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// delta is the text that a chunk adds to a chat completion.
type delta struct {
	Content string `json:"content,omitempty"`
}

// chunk returns the body of an event with one token.
func (e *eventStream) chunk(text string) chunk {
	c := chunk{
		ID: e.completion.id, Object: objectCompletion, Model: e.completion.prompt.model, Choices: []choice{{Text: text}},
	}
	if e.completion.prompt.chat {
		c.Object = objectChatChunk
		c.Choices = []choice{{Delta: &delta{Content: text}}}
	}
	return c
}

// finalChunk returns the body of the last event of a complete output, with the usage.
func (e *eventStream) finalChunk() chunk {
	c := e.chunk("")
	finish := finishStop
	usage := e.completion.usage()
	c.Choices[0].FinishReason = &finish
	c.Usage = &usage
	return c
}

// disconnected returns the refusal of a request whose client disconnected.
func disconnected() *Refusal {
	return &Refusal{
		Status: statusClientDisconnected, Type: typeFailed, Code: "cancelled", Message: "the caller has gone",
		Run: callerapi.RunUnknown,
	}
}

// refusalOfResult converts the result of a failed generation; outputTokens is how many tokens it has generated.
func refusalOfResult(result coordinator.Result, outputTokens int) *Refusal {
	r := &Refusal{
		Status: http.StatusServiceUnavailable, Type: typeOverload, Code: string(result.Reason), Run: callerapi.RunUnknown,
	}
	if result.NotRun {
		r.Run = callerapi.RunNotRun
	}
	r.RetryAfter = time.Duration(result.RetryAfterSeconds) * time.Second
	switch result.Reason {
	case dispatcher.ReasonUnknownModel:
		return invalid(http.StatusNotFound, "model", "no endpoint offers the model")
	case dispatcher.ReasonCrashesEndpoints:
		r.Status, r.Type, r.RetryAfter = http.StatusUnprocessableEntity, typeInvalid, 0
		r.Message = "the request took down the endpoints that ran it"
	case dispatcher.ReasonDeadline:
		r.Message = "the request could not have met its deadline"
	case dispatcher.ReasonRetriesExhausted:
		r.Status, r.Type = http.StatusBadGateway, typeFailed
		r.Message = "the endpoints failed more often than may be retried"
	case coordinator.ReasonKeyWithdrawn:
		r.Status, r.Type, r.RetryAfter = http.StatusUnauthorized, typeAuth, 0
		r.Message = "the key was withdrawn"
	default:
		r.Message = "the fleet is " + string(result.Reason)
	}
	if outputTokens > 0 {
		r.Run = callerapi.RunRan
	}
	return r
}
