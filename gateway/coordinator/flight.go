package coordinator

import (
	"context"
	"sync"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
)

// Flight is one request in progress, as its caller sees it.
type Flight struct {
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
	end   End
	wake  chan struct{}
	// source and handle locate the KV cache of the present attempt.
	source string
	handle string
}

// End tells how a flight ended.
type End struct {
	// Failed is set when the answer is not whole.
	Failed bool
	Reason dispatcher.Reason
	NotRun bool
	// RetryAfter advises the caller in whole seconds.
	RetryAfter int64
}

// Next waits for tokens that were not read yet. It returns none once the flight has ended; it
// fails when the context ends first.
func (f *Flight) Next(ctx context.Context) ([]string, error) {
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

// End returns how the flight ended; it is meaningful once Next returned no tokens.
func (f *Flight) End() End {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// Answered returns how many tokens arrived so far.
func (f *Flight) Answered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.texts)
}

// Cancel ends the flight and frees all that it holds; it is safe to call more than once.
func (f *Flight) Cancel() {
	f.cancel()
}

// take appends the tokens of the open attempt that are not there yet and returns how many.
func (f *Flight) take(attempt, index int, texts []string) int {
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

func (f *Flight) open(attempt int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempt = attempt
}

func (f *Flight) finish(e End) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.end = e
	f.signal()
}

func (f *Flight) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
