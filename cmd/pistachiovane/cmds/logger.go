package cmds

import (
	"bytes"
	"io"

	"github.com/phuslu/log"
)

// newLogger returns a logger that writes a line of JSON for each message at or above the level. If prefix is not empty,
// it writes only messages that begin with the prefix and a colon.
func newLogger(level, prefix string, w io.Writer) *log.Logger {
	if prefix != "" {
		w = &prefixFilter{prefix: []byte(`"message":"` + prefix + ":"), w: w}
	}
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}}
}

// prefixFilter writes only the log lines whose message has a prefix, and drops the others.
type prefixFilter struct {
	// prefix is the beginning of the message field as the logger encodes it.
	prefix []byte
	w      io.Writer
}

// Write writes one log line, or drops it and reports success.
func (p *prefixFilter) Write(line []byte) (int, error) {
	if !bytes.Contains(line, p.prefix) {
		return len(line), nil
	}
	return p.w.Write(line)
}
