// Package scanner follows a stream of server-sent events while it passes, to know where events end and after which event
// the stream can be continued. The format is that of the WHATWG HTML standard, "Server-sent events": lines end with LF,
// CRLF or CR, and a blank line ends an event.
package scanner

import (
	"bytes"
	"strconv"
)

// maxLineBytes is how much of a line is kept. The ID of an event on a longer line is not known.
const maxLineBytes = 256

var (
	idField   = []byte("id")
	dataField = []byte("data")
	// The following fields change nothing for the position in the stream.
	eventField = []byte("event")
	retryField = []byte("retry")
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
	// hasOther is set if the current event has a line that is neither a comment nor a field of the format. Without data that
	// is no event, but some other text.
	hasOther bool
	// events counts the complete events.
	events int
	// lastID is the ID of the last complete event with data, and lastUnknown is set if that event has none, or is no event.
	lastID      []byte
	lastUnknown bool
	// continued is set while the bytes come from a response that must go on behind lastID, and astray once an event of it
	// does not.
	continued bool
	astray    bool
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
		if s.astray {
			return end
		}
		if !s.inside {
			end = at
		}
	}
	return end
}

// Continue says that the next bytes come from another response, which must go on behind the last event. after is the ID
// at which the stream began, if it has had no event yet. What was read of an event that broke off is forgotten.
func (s *Scanner) Continue(after string) {
	s.DropIncomplete()
	s.continued, s.astray = true, false
	if s.events == 0 {
		s.lastID = append(s.lastID[:0], after...)
	}
}

// Astray reports whether an event does not go on behind the one before it, although it must. It and what follows belong to
// another stream, or are no events at all.
func (s *Scanner) Astray() bool {
	return s.astray
}

// MayGoOn reports whether what was read of the current event allows that it goes on behind the last one.
func (s *Scanner) MayGoOn() bool {
	return !s.continued || (s.hasID && s.followsLast())
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
	s.lineBytes, s.afterCR = 0, false
	s.beginEvent()
}

// beginEvent forgets the current event.
func (s *Scanner) beginEvent() {
	s.inside, s.hasID, s.hasData, s.hasOther = false, false, false, false
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
	case len(name) > 0 && !bytes.Equal(name, eventField) && !bytes.Equal(name, retryField):
		s.hasOther = true
	}
}

// endEvent handles the blank line at the end of an event. Further blank lines have no effect.
func (s *Scanner) endEvent() {
	if !s.inside {
		return
	}
	if s.continued && !s.goesOn() {
		s.astray = true
		return
	}
	s.events++
	if s.hasID {
		s.id, s.lastID, s.lastUnknown = s.lastID, s.id, false
	} else if s.hasData || s.hasOther {
		s.lastUnknown = true
	}
	s.beginEvent()
}

// goesOn reports whether the current event goes on behind the last one: it has a later ID, or is a comment. Without a last
// event any event with data does.
func (s *Scanner) goesOn() bool {
	switch {
	case s.hasID:
		return s.followsLast()
	case s.hasData:
		return len(s.lastID) == 0
	default:
		return !s.hasOther
	}
}

// followsLast reports whether the ID of the current event is later than that of the last one. Numbers increase; of other
// IDs it is only known that they differ.
func (s *Scanner) followsLast() bool {
	if len(s.lastID) == 0 {
		return true
	}
	last, err := strconv.ParseUint(string(s.lastID), 10, 64)
	if err != nil {
		return !bytes.Equal(s.id, s.lastID)
	}
	id, err := strconv.ParseUint(string(s.id), 10, 64)
	return err == nil && id > last
}
