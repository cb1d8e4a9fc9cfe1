package cmds

import (
	"bytes"
	"io"

	"github.com/phuslu/log"
)

// newLogger returns a logger that writes lines of JSON at or above a level; a part keeps only the lines
// whose message begins with it.
func newLogger(level, part string, w io.Writer) *log.Logger {
	if part != "" {
		w = &partWriter{part: []byte(`"message":"` + part + ":"), w: w}
	}
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}}
}

// partWriter drops the lines of other parts.
type partWriter struct {
	part []byte
	w    io.Writer
}

// Write passes a line of the part on.
func (p *partWriter) Write(line []byte) (int, error) {
	if !bytes.Contains(line, p.part) {
		return len(line), nil
	}
	return p.w.Write(line)
}
