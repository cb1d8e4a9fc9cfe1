// Package linewriter writes log lines without making the process wait for the output, neither while it runs nor when it ends.
package linewriter

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// closeTimeout is the longest time for which Close waits for the output.
const closeTimeout = 200 * time.Millisecond

var (
	// errClosed is the error of a line that is written after Close.
	errClosed = errors.New("log writer is closed")
	// errFull is the error of a line that is dropped because too many are queued.
	errFull = errors.New("queue of the log is full")
)

// Writer queues log lines and writes them in the background. It is safe for concurrent use. The queue belongs to it and
// not to the logging library, whose own one reads the length of a line that it has already given away.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// done receives the first error of the output once all queued lines are written.
	done chan error
	// mu guards closed. Lines are queued under its read lock, so that none is queued once the queue is closed.
	mu     sync.RWMutex
	closed bool
}

// New returns a Writer to an output. When maxLines are queued, it drops lines.
func New(out io.Writer, maxLines uint) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxLines), done: make(chan error, 1)}
	go w.run()
	return w
}

// WriteEntry queues the line of a log entry. Its errors are those of Write.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	return log.IOWriter{Writer: w}.WriteEntry(e)
}

// Write queues a copy of a line. It fails if the queue is full or if the Writer is closed: parts of the process may log until
// its very end.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, errClosed
	}
	select {
	case w.lines <- bytes.Clone(line):
		return len(line), nil
	default:
		return 0, errFull
	}
}

// Close writes the queued lines. If the output takes longer than closeTimeout, Close fails and the rest is lost.
func (w *Writer) Close() error {
	w.mu.Lock()
	wasClosed := w.closed
	w.closed = true
	w.mu.Unlock()
	if wasClosed {
		return nil
	}
	close(w.lines)
	select {
	case err := <-w.done:
		return errors.Wrap(err, "write the log")
	case <-time.After(closeTimeout):
		return errors.Errorf("the output of the log has not taken all lines in %v", closeTimeout)
	}
}

// run writes the queued lines until the queue is closed.
func (w *Writer) run() {
	var firstErr error
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	w.done <- firstErr
}
