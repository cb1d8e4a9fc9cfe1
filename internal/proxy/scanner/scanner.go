// Package scanner follows a stream of server-sent events while it passes, to know where events end and after which event
// the stream can be continued. The format is that of the WHATWG HTML standard, "Server-sent events": lines end with LF,
// CRLF or CR, and a blank line ends an event.
package scanner

import "bytes"

// maxLineBytes is how much of a line is kept. The ID of an event on a longer line is not known.
const maxLineBytes = 256

var (
	idField   = []byte("id")
	dataField = []byte("data")
)

// Scanner follows one stream. The zero value stands at the start of a stream.
type Scanner struct {
	// line holds the first bytes of the current line, lineBytes of it or all if it is that long.
	line      [maxLineBytes]byte
	lineBytes int
	// afterCR is set if the last byte was a CR, so that an LF that follows belongs to the same line end.
	afterCR bool
	// inside is set from the first byte of an event until its blank line.
	inside bool
	// id is the ID of the current event. It is valid if hasID is set.
	id    []byte
	hasID bool
	// hasData is set if the current event has a data field. Events without one change nothing for their reader.
	hasData bool
	// events counts the complete events.
	events int
	// lastID is the ID of the last complete event with data, and lastUnknown is set if that event has none.
	lastID      []byte
	lastUnknown bool
}

// Scan reads the next bytes of the stream. It returns the length of the part that ends with the last complete event,
// or zero if no event ends in these bytes.
func (s *Scanner) Scan(p []byte) int {
	end := 0
	for at := 0; at < len(p); {
		n := indexLineEnd(p[at:])
		if n > 0 {
			s.addToLine(p[at : at+n])
			at += n
			continue
		}
		if p[at] == '\n' && s.afterCR {
			s.afterCR = false
		} else {
			s.afterCR = p[at] == '\r'
			s.endLine()
		}
		at++
		if !s.inside {
			end = at
		}
	}
	return end
}

// indexLineEnd returns the index of the first CR or LF, or the length of p if there is none.
func indexLineEnd(p []byte) int {
	if n := bytes.IndexByte(p, '\n'); n >= 0 {
		p = p[:n]
	}
	if n := bytes.IndexByte(p, '\r'); n >= 0 {
		p = p[:n]
	}
	return len(p)
}

// addToLine adds bytes to the current line. It keeps the first maxLineBytes.
func (s *Scanner) addToLine(p []byte) {
	s.afterCR, s.inside = false, true
	if s.lineBytes < maxLineBytes {
		copy(s.line[s.lineBytes:], p)
	}
	s.lineBytes += len(p)
}

// Inside reports whether the stream stands inside an event. A stream that ends there was broken off.
func (s *Scanner) Inside() bool {
	return s.inside
}

// Events returns the number of complete events.
func (s *Scanner) Events() int {
	return s.events
}

// LastEventID returns the ID after which the stream continues. ok is false if the last event has no ID, so that the
// position is not known. Before the first event the ID is empty and ok is true.
func (s *Scanner) LastEventID() (id string, ok bool) {
	return string(s.lastID), !s.lastUnknown
}

// DropIncomplete forgets the event inside which the stream broke off. The next bytes begin an event.
func (s *Scanner) DropIncomplete() {
	s.lineBytes, s.afterCR, s.inside, s.hasID, s.hasData = 0, false, false, false, false
}

// endLine handles the end of a line. A blank line ends the event.
func (s *Scanner) endLine() {
	length := s.lineBytes
	s.lineBytes = 0
	if length == 0 {
		s.endEvent()
		return
	}
	name, value, _ := bytes.Cut(s.line[:min(length, maxLineBytes)], []byte(":"))
	switch {
	case bytes.Equal(name, dataField):
		s.hasData = true
	case bytes.Equal(name, idField):
		s.id = append(s.id[:0], bytes.TrimPrefix(value, []byte(" "))...)
		s.hasID = length <= maxLineBytes
	}
}

// endEvent handles the blank line at the end of an event. Further blank lines have no effect.
func (s *Scanner) endEvent() {
	if !s.inside {
		return
	}
	s.events++
	if s.hasID {
		s.id, s.lastID, s.lastUnknown = s.lastID, s.id, false
	} else if s.hasData {
		s.lastUnknown = true
	}
	s.inside, s.hasID, s.hasData = false, false, false
}
