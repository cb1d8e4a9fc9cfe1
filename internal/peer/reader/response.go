// Package reader judges what a gateway did from the bytes that callers got and the requests that endpoints got alone. It
// shares no code with the parsers of the gateway.
package reader

import (
	"errors"
	"io"
	"strconv"
	"strings"
)

// Response is what a caller got for one request.
type Response struct {
	// Status is zero if there was no complete head.
	Status int
	Header map[string]string
	Body   string
	// Complete is set if the caller takes the body for the whole answer, and Marked if it was told its end: by a length or
	// chunks, not by the end of the connection.
	Complete bool
	Marked   bool
	// KeepOpen is set if the connection can carry another request.
	KeepOpen bool
	// Malformed says what is no answer of the protocol in what the caller got. It is empty if nothing is.
	Malformed string
}

// source reads bytes one at a time from a connection.
type source struct {
	r io.Reader
	// err is the error that ended the connection.
	err error
}

// next returns the next byte. ok is false at the end of the connection.
func (s *source) next() (b byte, ok bool) {
	if s.err != nil {
		return 0, false
	}
	var p [1]byte
	for {
		n, err := s.r.Read(p[:])
		if n == 1 {
			return p[0], true
		}
		if err != nil {
			s.err = err
			return 0, false
		}
	}
}

// line returns the next line without its end. ok is false if the connection ended before that.
func (s *source) line() (line string, ok bool) {
	var b strings.Builder
	for {
		c, more := s.next()
		if !more {
			return b.String(), false
		}
		if c == '\n' {
			return strings.TrimSuffix(b.String(), "\r"), true
		}
		b.WriteByte(c)
	}
}

// take returns the next n bytes, or fewer if the connection ends.
func (s *source) take(n int) (text string, ok bool) {
	var b strings.Builder
	for b.Len() < n {
		c, more := s.next()
		if !more {
			return b.String(), false
		}
		b.WriteByte(c)
	}
	return b.String(), true
}

// Read reads the response to one request from a connection, up to its end or that of the connection.
func Read(conn io.Reader) Response {
	s := &source{r: conn}
	r := Response{Header: map[string]string{}}
	statusLine, ok := s.line()
	if !ok {
		if statusLine != "" {
			r.Malformed = "part of a status line: " + statusLine
		}
		return r
	}
	r.Status = parseStatus(statusLine)
	if r.Status == 0 {
		r.Malformed = "no status line: " + statusLine
		return r
	}
	for {
		line, ok := s.line()
		if !ok {
			r.Status = 0
			return r
		}
		if line == "" {
			break
		}
		name, value, found := strings.Cut(line, ":")
		if !found {
			r.Malformed = "no header line: " + line
			return r
		}
		r.Header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	r.readBody(s)
	return r
}

// parseStatus returns the status in a status line, or zero.
func parseStatus(line string) int {
	rest, ok := strings.CutPrefix(line, "HTTP/1.1 ")
	if !ok || len(rest) < 3 {
		return 0
	}
	status, err := strconv.Atoi(rest[:3])
	if err != nil {
		return 0
	}
	return status
}

// readBody reads the body as the header says.
func (r *Response) readBody(s *source) {
	open := !strings.EqualFold(r.Header["connection"], "close")
	switch length := r.Header["content-length"]; {
	case r.Header["transfer-encoding"] == "chunked":
		r.Marked = true
		r.readChunks(s)
	case length != "":
		n, err := strconv.Atoi(length)
		if err != nil || n < 0 {
			r.Malformed = "length " + length
			return
		}
		r.Marked = true
		r.Body, r.Complete = s.take(n)
	default:
		for {
			c, more := s.next()
			if !more {
				break
			}
			r.Body += string([]byte{c})
		}
		r.Complete, open = errors.Is(s.err, io.EOF), false
	}
	r.KeepOpen = open && r.Complete
}

// readChunks reads a body in chunks.
func (r *Response) readChunks(s *source) {
	for {
		line, ok := s.line()
		if !ok {
			return
		}
		n, err := strconv.ParseUint(line, 16, 31)
		if err != nil {
			r.Malformed = "length of a chunk: " + line
			return
		}
		chunk, ok := s.take(int(n))
		r.Body += chunk
		if !ok {
			return
		}
		end, ok := s.line()
		if !ok {
			return
		}
		if end != "" {
			r.Malformed = "no end of a chunk: " + end
			return
		}
		if n == 0 {
			r.Complete = true
			return
		}
	}
}
