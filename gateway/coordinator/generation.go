package coordinator

import (
	"context"
	"sync"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
)

// Generation is one request in progress, as its caller sees it.
type Generation struct {
	id      uint64
	account string
	key     catalog.Digest
	prompt  string
	// promptTokens and most are the prompt length and the largest answer, in tokens.
	promptTokens    int
	maxOutputTokens int
	priority        int
	cancel          func()

	mu sync.Mutex
	// openAttempt is the only one whose tokens are taken; zero while none may write.
	openAttempt int
	// texts are the answer's tokens in order, each exactly once.
	texts      []string
	readTokens int
	ended      bool
	result     Result
	wake       chan struct{}
	// cacheSource and handle locate the KV cache of the present attempt.
	cacheSource string
	cacheHandle string
}

// Result tells how a flight ended.
type Result struct {
	// Failed is set when the answer is not whole.
	Failed bool
	Reason dispatcher.Reason
	NotRun bool
	// RetryAfterSeconds advises the caller in whole seconds.
	RetryAfterSeconds int64
}

// NextTokens waits for tokens that were not read yet. It returns none once the flight has ended; it
// fails when the context ends first.
func (g *Generation) NextTokens(ctx context.Context) ([]string, error) {
	for {
		g.mu.Lock()
		fresh := g.texts[g.readTokens:]
		g.readTokens = len(g.texts)
		ended := g.ended
		g.mu.Unlock()
		if len(fresh) > 0 || ended {
			return fresh, nil
		}
		select {
		case <-g.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Result returns how the flight ended; it is meaningful once Next returned no tokens.
func (g *Generation) Result() Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.result
}

// OutputTokens returns how many tokens arrived so far.
func (g *Generation) OutputTokens() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.texts)
}

// Cancel ends the flight and frees all that it holds; it is safe to call more than once.
func (g *Generation) Cancel() {
	g.cancel()
}

// appendTokens appends the tokens of the open attempt that are not there yet and returns how many.
func (g *Generation) appendTokens(attempt, index int, texts []string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	skip := len(g.texts) - index
	if g.ended || attempt != g.openAttempt || skip < 0 || skip >= len(texts) {
		return 0
	}
	g.texts = append(g.texts, texts[skip:]...)
	g.signal()
	return len(texts) - skip
}

func (g *Generation) setOpenAttempt(attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openAttempt = attempt
}

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

func (g *Generation) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
