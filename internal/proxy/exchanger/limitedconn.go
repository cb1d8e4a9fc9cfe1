package exchanger

import (
	"io"
	"net"

	"github.com/pkg/errors"
)

// maxHeadBytes limits the head of a response, including the first bytes of the body that arrive with it.
const maxHeadBytes = 64 << 10

// errHeadTooLong is returned by reads of a limitedConn whose limit is reached.
var errHeadTooLong = errors.Errorf("head of the response is longer than %d bytes", maxHeadBytes)

// limitedConn is a connection whose reads fail once more bytes were read than are allowed. The parser of net/http keeps
// a whole head in memory, however long it is.
type limitedConn struct {
	net.Conn
	// remaining is the number of bytes that may still be read while limited is set.
	remaining int
	limited   bool
	// ended is set once a read has met the ordinary end of the connection.
	ended bool
}

// limitHead allows maxHeadBytes to be read until unlimit is called.
func (c *limitedConn) limitHead() {
	c.remaining, c.limited = maxHeadBytes, true
}

// unlimit allows any number of bytes to be read. Bodies are not kept in memory by the parser.
func (c *limitedConn) unlimit() {
	c.limited = false
}

// Read reads from the connection. It fails with errHeadTooLong if the limit is reached.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.limited && c.remaining <= 0 {
		return 0, errHeadTooLong
	}
	if c.limited {
		p = p[:min(len(p), c.remaining)]
	}
	n, err := c.Conn.Read(p)
	c.remaining -= n
	c.ended = c.ended || errors.Is(err, io.EOF)
	return n, err
}

// explain returns the error of parsing what was read. Where the connection ended inside a line of the head or of the
// trailer, the parser reports only that it is malformed.
func (c *limitedConn) explain(err error) error {
	if !c.ended || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errors.Wrap(io.ErrUnexpectedEOF, err.Error())
}
