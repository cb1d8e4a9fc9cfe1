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
	objectCompletion = "text_completion"
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	finishStop       = "stop"
	roleAssistant    = "assistant"
	// statusClosed is the status of a request whose caller has gone; nobody reads it.
	statusClosed = 499
)

// prompt is what both forms of completions have in common.
type prompt struct {
	model string
	text  string
	most  int
	draft bool
	chat  bool
}

// answer is a flight with what is needed to settle it.
type answer struct {
	id     string
	prompt prompt
	tokens int
	flight *coordinator.Generation
	settle admitter.Settlement
	server *Server
	ctx    context.Context
}

// CreateCompletion answers a prompt. It fails with a Refusal.
func (s *Server) CreateCompletion(ctx context.Context, req *callerapi.CompletionRequest, _ callerapi.CreateCompletionParams) (callerapi.CreateCompletionRes, error) {
	p := prompt{model: req.Model, text: req.Prompt, most: req.MaxTokens.Or(0), draft: req.Draft.Or(false)}
	a, err := s.submit(ctx, p)
	if err != nil {
		return nil, err
	}
	if req.Stream.Or(false) {
		reader, err := a.stream()
		return &callerapi.CreateCompletionOKTextEventStream{Data: reader}, err
	}
	text, err := a.whole()
	if err != nil {
		return nil, err
	}
	return &callerapi.Completion{
		ID: a.id, Object: objectCompletion, Model: p.model, Usage: a.usage(),
		Choices: []callerapi.CompletionChoicesItem{{Text: text, FinishReason: finishStop}},
	}, nil
}

// CreateChatCompletion answers a chat. It fails with a Refusal.
func (s *Server) CreateChatCompletion(ctx context.Context, req *callerapi.ChatRequest, _ callerapi.CreateChatCompletionParams) (callerapi.CreateChatCompletionRes, error) {
	var text strings.Builder
	for _, m := range req.Messages {
		text.WriteString(string(m.Role) + ": " + m.Content + "\n")
	}
	p := prompt{model: req.Model, text: text.String(), most: req.MaxTokens.Or(0), draft: req.Draft.Or(false), chat: true}
	a, err := s.submit(ctx, p)
	if err != nil {
		return nil, err
	}
	if req.Stream.Or(false) {
		reader, err := a.stream()
		return &callerapi.CreateChatCompletionOKTextEventStream{Data: reader}, err
	}
	whole, err := a.whole()
	if err != nil {
		return nil, err
	}
	message := callerapi.ChatCompletionChoicesItemMessage{Role: roleAssistant, Content: whole}
	return &callerapi.ChatCompletion{
		ID: a.id, Object: objectChat, Model: p.model, Usage: a.usage(),
		Choices: []callerapi.ChatCompletionChoicesItem{{Message: message, FinishReason: finishStop}},
	}, nil
}

// submit admits a prompt and starts its flight.
func (s *Server) submit(ctx context.Context, p prompt) (*answer, error) {
	tokens := tokenizer.Count(p.text)
	wait := patience
	if p.draft {
		wait = draftPatience
	}
	c, settle, err := s.enter(ctx, catalog.RouteModel, p.model, wait, func(*catalog.Route) float64 { return float64(tokens + p.most) })
	if err != nil {
		return nil, err
	}
	if plan, ok := c.catalog.Plan(c.account.Plan); ok && plan.Output > 0 && p.most > plan.Output {
		settle(float64(tokens + p.most))
		return nil, invalid(http.StatusBadRequest, "max_tokens", "the plan allows at most "+strconv.Itoa(plan.Output)+" output tokens")
	}
	f := s.coordinator.Submit(coordinator.GenerationRequest{
		Account: c.account, Key: c.key, Model: p.model, Prompt: p.text,
		PromptTokens: tokens, MaxOutputTokens: p.most, Draft: p.draft, FirstTokenTimeout: s.options.FirstTokenTimeout,
	})
	a := &answer{id: requestID(), prompt: p, tokens: tokens, flight: f, settle: settle, server: s, ctx: ctx}
	// A key that was withdrawn between its check and the submission is found here: the coordinator only
	// sees flights that exist when a configuration comes into force.
	if now := s.current(); now != c.catalog {
		if account, ok := now.ByKey(c.key); !ok || account.Name != c.account.Name {
			a.close()
			return nil, unauthorized()
		}
	}
	return a, nil
}

// whole waits for the whole answer.
func (a *answer) whole() (string, error) {
	defer a.close()
	var text strings.Builder
	for {
		texts, err := a.flight.NextTokens(a.ctx)
		if err != nil {
			return "", gone()
		}
		if len(texts) == 0 {
			break
		}
		for _, t := range texts {
			text.WriteString(t)
		}
	}
	if end := a.flight.Result(); end.Failed {
		return "", failure(end, a.flight.OutputTokens())
	}
	a.server.Stats.Answers.Add(1)
	return text.String(), nil
}

// stream waits for the first tokens, so that a refusal keeps its status, and returns the events.
func (a *answer) stream() (io.Reader, error) {
	first, err := a.flight.NextTokens(a.ctx)
	if err != nil {
		a.close()
		return nil, gone()
	}
	if end := a.flight.Result(); len(first) == 0 && end.Failed {
		a.close()
		return nil, failure(end, 0)
	}
	context.AfterFunc(a.ctx, a.close)
	events := &events{answer: a}
	events.add(first)
	return events, nil
}

// close settles the answer and frees whatever it still holds; it is safe to call more than once.
func (a *answer) close() {
	a.flight.Cancel()
	answered := a.flight.OutputTokens()
	a.server.Stats.OutputTokens.Add(uint64(answered))
	a.settle(a.unused(answered))
}

// unused returns the tokens to give back: all of them when certainly nothing ran.
func (a *answer) unused(answered int) float64 {
	if end := a.flight.Result(); end.Failed && end.NotRun {
		return float64(a.tokens + a.prompt.most)
	}
	return float64(a.prompt.most - answered)
}

func (a *answer) usage() callerapi.Usage {
	n := a.flight.OutputTokens()
	return callerapi.Usage{PromptTokens: a.tokens, CompletionTokens: n, TotalTokens: a.tokens + n}
}

// events is the answer as server-sent events.
type events struct {
	answer *answer
	buffer []byte
	closed bool
}

// Read returns the next events. The generated code reads it until its end; where the caller goes, the context of
// the request ends first.
func (e *events) Read(p []byte) (int, error) {
	for len(e.buffer) == 0 {
		if e.closed {
			return 0, io.EOF
		}
		if err := e.fill(); err != nil {
			e.answer.close()
			return 0, err
		}
	}
	n := copy(p, e.buffer)
	e.buffer = e.buffer[n:]
	return n, nil
}

func (e *events) fill() error {
	texts, err := e.answer.flight.NextTokens(e.answer.ctx)
	if err != nil {
		return err
	}
	if len(texts) > 0 {
		e.add(texts)
		return nil
	}
	e.closed = true
	end := e.answer.flight.Result()
	if end.Failed {
		refusal := failure(end, e.answer.flight.OutputTokens()).wire()
		e.event(refusal.Response)
	} else {
		e.event(e.last())
		e.buffer = append(e.buffer, "data: [DONE]\n\n"...)
		e.answer.server.Stats.Answers.Add(1)
	}
	e.answer.close()
	return nil
}

func (e *events) add(texts []string) {
	for _, t := range texts {
		e.event(e.chunk(t))
	}
}

func (e *events) event(body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	e.buffer = append(e.buffer, "data: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
}

// chunk is one event of either form.
type chunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Model   string           `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   *callerapi.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

func (e *events) chunk(text string) chunk {
	c := chunk{ID: e.answer.id, Object: objectCompletion, Model: e.answer.prompt.model, Choices: []choice{{Text: text}}}
	if e.answer.prompt.chat {
		c.Object = objectChatChunk
		c.Choices = []choice{{Delta: &delta{Content: text}}}
	}
	return c
}

func (e *events) last() chunk {
	c := e.chunk("")
	finish := finishStop
	usage := e.answer.usage()
	c.Choices[0].FinishReason = &finish
	c.Usage = &usage
	return c
}

func gone() *Refusal {
	return &Refusal{Status: statusClosed, Type: typeFailed, Code: "cancelled", Message: "the caller has gone", Run: callerapi.RunUnknown}
}

// failure converts the end of a flight.
func failure(end coordinator.Result, answered int) *Refusal {
	r := &Refusal{Status: http.StatusServiceUnavailable, Type: typeOverload, Code: string(end.Reason), Run: callerapi.RunUnknown}
	if end.NotRun {
		r.Run = callerapi.RunNotRun
	}
	r.RetryAfter = time.Duration(end.RetryAfterSeconds) * time.Second
	switch end.Reason {
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
		r.Message = "the fleet is " + string(end.Reason)
	}
	if answered > 0 {
		r.Run = callerapi.RunRan
	}
	return r
}
