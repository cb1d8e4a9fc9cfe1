package forwarder

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// maxPrefixBytes is how much of a response is read before any of it is sent to the caller. A shorter response that breaks
	// off can still be replaced by the response of another endpoint.
	maxPrefixBytes = 256 << 10
	// minPrefixBytes is how much of it may be read although the memory for buffers is used up.
	minPrefixBytes = 4 << 10
)

// prefix is what has been read of the body of a response before any of it is sent to the caller.
type prefix struct {
	bytes []byte
	// whole is set if it is the whole body.
	whole bool
}

// readPrefix reads the body of a response until its end, until maxPrefixBytes are read, or until the memory for buffers is used
// up. It returns the error of the body, unless that is its end.
func (f *Forwarder) readPrefix(j *job, r *Response) (p prefix, err error) {
	p.bytes = make([]byte, 0, f.firstPrefixBytes(j, r))
	for {
		if len(p.bytes) == cap(p.bytes) && !f.growPrefix(j, &p) {
			return p, nil
		}
		n, err := r.Body.Read(p.bytes[len(p.bytes):cap(p.bytes)])
		p.bytes = p.bytes[:len(p.bytes)+n]
		switch {
		case errors.Is(err, io.EOF):
			p.whole = true
			return p, nil
		case err != nil:
			return p, err
		}
	}
}

// firstPrefixBytes returns the size of the buffer to begin with. A body of known length gets one in which it fits, with a byte
// more that shows its end.
func (f *Forwarder) firstPrefixBytes(j *job, r *Response) int64 {
	n := r.ContentLength + 1
	if n > minPrefixBytes && n <= maxPrefixBytes && f.takeBuffer(j, n) {
		return n
	}
	if r.ContentLength >= 0 {
		return min(n, minPrefixBytes)
	}
	return minPrefixBytes
}

// growPrefix doubles the buffer of a prefix. It returns false if the prefix is long enough or no memory is left.
func (f *Forwarder) growPrefix(j *job, p *prefix) bool {
	n := min(maxPrefixBytes, 2*cap(p.bytes))
	if cap(p.bytes) >= maxPrefixBytes || !f.takeBuffer(j, int64(n-cap(p.bytes))) {
		return false
	}
	p.bytes = append(make([]byte, 0, n), p.bytes...)
	return true
}

// takeBuffer takes bytes from the memory for buffers, for a request. It returns false if fewer are left.
func (f *Forwarder) takeBuffer(j *job, n int64) bool {
	if !f.buffers.TryTake(n) {
		return false
	}
	j.bufferBytes += n
	return true
}

// returnBuffers gives back the bytes that a request has taken.
func (f *Forwarder) returnBuffers(j *job) {
	f.buffers.Return(j.bufferBytes)
	j.bufferBytes = 0
}
