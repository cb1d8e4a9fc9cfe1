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
	// tokens and most are the prompt length and the largest answer, in tokens.
	tokens   int
	most     int
	priority int
	cancel   func()

	mu sync.Mutex
	// attempt is the only one whose tokens are taken; zero while none may write.
	attempt int
	// texts are the answer's tokens in order, each exactly once.
	texts []string
	read  int
	ended bool
	end   Result
	wake  chan struct{}
	// source and handle locate the KV cache of the present attempt.
	source string
	handle string
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
func (f *Generation) NextTokens(ctx context.Context) ([]string, error) {
	for {
		f.mu.Lock()
		fresh := f.texts[f.read:]
		f.read = len(f.texts)
		ended := f.ended
		f.mu.Unlock()
		if len(fresh) > 0 || ended {
			return fresh, nil
		}
		select {
		case <-f.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Result returns how the flight ended; it is meaningful once Next returned no tokens.
func (f *Generation) Result() Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// OutputTokens returns how many tokens arrived so far.
func (f *Generation) OutputTokens() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.texts)
}

// Cancel ends the flight and frees all that it holds; it is safe to call more than once.
func (f *Generation) Cancel() {
	f.cancel()
}

// take appends the tokens of the open attempt that are not there yet and returns how many.
func (f *Generation) take(attempt, index int, texts []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	skip := len(f.texts) - index
	if f.ended || attempt != f.attempt || skip < 0 || skip >= len(texts) {
		return 0
	}
	f.texts = append(f.texts, texts[skip:]...)
	f.signal()
	return len(texts) - skip
}

func (f *Generation) open(attempt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempt = attempt
}

func (f *Generation) finish(e Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.end = e
	f.signal()
}

func (f *Generation) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
