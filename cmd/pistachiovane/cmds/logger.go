package cmds

import (
	"bytes"
	"io"

	"github.com/phuslu/log"
)

// newLogger returns a logger that writes lines of JSON at or above a level; a part keeps only the lines
// whose message begins with it.
func newLogger(level, prefix string, w io.Writer) *log.Logger {
	if prefix != "" {
		w = &prefixFilter{prefix: []byte(`"message":"` + prefix + ":"), w: w}
	}
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}}
}

// prefixFilter drops the lines of other parts.
type prefixFilter struct {
	prefix []byte
	w      io.Writer
}

// Write passes a line of the part on.
func (p *prefixFilter) Write(line []byte) (int, error) {
	if !bytes.Contains(line, p.prefix) {
		return len(line), nil
	}
	return p.w.Write(line)
}
