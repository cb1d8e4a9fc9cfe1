// Package delimiter names what delimits the body of an HTTP/1.1 response, and with that whether a reader can tell the
// end of a complete body from a connection that broke off.
package delimiter

import "net/http"

// Delimiter is what delimits the body of a response.
type Delimiter uint8

// The delimiters of a body.
const (
	// None means that the response can't have a body.
	None Delimiter = iota
	// Length means that the header says how long the body is.
	Length
	// Chunks means that the body comes in chunks, of which the last one is marked.
	Chunks
	// ConnectionEnd means that the body ends with the connection. The sender's process may have crashed in the middle of
	// it: its kernel then ends the connection in the same way.
	ConnectionEnd
)

// New returns the delimiter of a received response.
func New(r *http.Response) Delimiter {
	switch {
	case r.Body == http.NoBody && r.ContentLength <= 0:
		return None
	case len(r.TransferEncoding) > 0:
		return Chunks
	case r.ContentLength >= 0:
		return Length
	default:
		return ConnectionEnd
	}
}

// MarksEnd reports whether the sender marks the end of the body, so that a body that is read to its end is complete.
func (d Delimiter) MarksEnd() bool {
	return d != ConnectionEnd
}

// String returns the delimiter as it appears in logs.
func (d Delimiter) String() string {
	switch d {
	case None:
		return "none"
	case Length:
		return "length"
	case Chunks:
		return "chunks"
	default:
		return "connection"
	}
}
