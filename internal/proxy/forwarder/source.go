package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// source is the body of a response while it is copied to a caller.
type source struct {
	io.Reader
	clock clock.Clock
	// startedAt is when the copy began, and waited how long it has waited for the endpoint since.
	startedAt, waited time.Duration
	// err is the error of reading, to tell it from that of writing.
	err error
}

func newSource(r io.Reader, c clock.Clock) *source {
	return &source{Reader: r, clock: c, startedAt: c()}
}

// Read reads from the body. It keeps an error other than io.EOF.
func (s *source) Read(p []byte) (int, error) {
	startedAt := s.clock()
	n, err := s.Reader.Read(p)
	s.waited += s.clock() - startedAt
	if err != io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
		s.err = err
	}
	return n, err
}

// hasFailed reports whether the body did not end for a reason of the endpoint: not because the caller has left, and not
// because it takes the bytes more slowly than they come.
func (s *source) hasFailed() bool {
	if s.err == nil || errors.Is(s.err, context.Canceled) {
		return false
	}
	return s.waited >= (s.clock()-s.startedAt)/2
}
