package coordinator

import (
	"context"
	"sync"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
)

// Generation is one request for text in progress. Its caller reads the tokens with NextTokens.
type Generation struct {
	id      uint64
	account string
	key     catalog.Digest
	prompt  string
	// promptTokens is the length of the prompt, maxOutputTokens the largest number of tokens to generate.
	promptTokens    int
	maxOutputTokens int
	priority        int
	cancel          func()

	// mu guards the fields below except wake.
	mu sync.Mutex
	// openAttempt is the only attempt whose tokens are appended; zero before the first decode starts.
	openAttempt int
	// texts holds the output tokens in order, each exactly once.
	texts []string
	// returnedCount is how many tokens of texts NextTokens has returned.
	returnedCount int
	ended         bool
	result        Result
	// wake receives a value when tokens were appended or the generation has ended.
	wake chan struct{}
	// cacheSource and cacheHandle locate the KV cache of the latest prefill: the URL of the engine that keeps it, and
	// its handle there.
	cacheSource string
	cacheHandle string
}

// Result is how a generation ended.
type Result struct {
	// Failed is set when the output is not complete.
	Failed bool
	// Reason says why the generation failed. It is empty for a complete output, after Cancel and when the coordinator
	// stopped.
	Reason dispatcher.Reason
	// NotRun is set when it is certain that no engine ran any part of the request.
	NotRun bool
	// RetryAfterSeconds is how long the caller should wait before it tries again.
	RetryAfterSeconds int64
}

// NextTokens waits for tokens that it has not returned before, and returns them. It returns no tokens once the
// generation has ended and all were returned. It fails when the context ends first.
func (g *Generation) NextTokens(ctx context.Context) ([]string, error) {
	for {
		g.mu.Lock()
		newTexts := g.texts[g.returnedCount:]
		g.returnedCount = len(g.texts)
		ended := g.ended
		g.mu.Unlock()
		if len(newTexts) > 0 || ended {
			return newTexts, nil
		}
		select {
		case <-g.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Result returns how the generation ended. It is the zero value until the generation has ended, that is until
// NextTokens has returned no tokens.
func (g *Generation) Result() Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.result
}

// OutputTokens returns the number of tokens received so far.
func (g *Generation) OutputTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.texts)
}

// Cancel ends the generation and releases what it holds at endpoints. It may be called more than once.
func (g *Generation) Cancel() {
	g.cancel()
}

// appendTokens appends those of the given tokens that were not received before and returns their number; index is the
// position of the first one in the output. It appends none where the attempt is not open, the generation has ended, or
// tokens before index are missing.
func (g *Generation) appendTokens(attempt, firstIndex int, texts []string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	skip := len(g.texts) - firstIndex
	if g.ended || attempt != g.openAttempt || skip < 0 || skip >= len(texts) {
		return 0
	}
	g.texts = append(g.texts, texts[skip:]...)
	g.signal()
	return len(texts) - skip
}

// setOpenAttempt makes an attempt the only one whose tokens are appended.
func (g *Generation) setOpenAttempt(attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openAttempt = attempt
}

// finish sets the result and wakes the caller. Only the first call has an effect.
func (g *Generation) finish(result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.result = result
	g.signal()
}

// signal wakes NextTokens, now or at its next call, and does not block.
func (g *Generation) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
