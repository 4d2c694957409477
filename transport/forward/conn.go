package forward

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errUnsolicited is the error of a connection on which an upstream sent bytes that
// no request asked for.
var errUnsolicited = errors.New("unsolicited bytes on the connection")

// conn is a connection to an upstream that does not send a request as long as
// bytes from before the request may be left to read. net/http may reuse a
// connection before it has seen the bytes that follow an answer, and would take
// them for the next answer.
type conn struct {
	net.Conn
	// openedAt is a time after which the connection was not opened.
	openedAt time.Time

	mu      sync.Mutex
	changed *sync.Cond
	// reading is set while the reader waits for bytes, having used up all
	// earlier ones.
	reading bool
	// pending is set from the assignment of a request to its first byte.
	pending bool
	// begun is set once bytes of the last assigned request have been written, and passed
	// once net/http has passed on all of them. inWrite is set during a Write, and writeErr
	// is why one failed.
	begun, passed, inWrite bool
	writeErr               error
	// unsolicited is set once bytes have arrived while a request was pending.
	unsolicited bool
	closed      bool
}

func newConn(c net.Conn) *conn {
	guarded := &conn{Conn: c, openedAt: time.Now()}
	guarded.changed = sync.NewCond(&guarded.mu)
	return guarded
}

// assign announces that a request will be written next.
func (c *conn) assign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.begun, c.passed = true, false, false
}

// answerBegun reports that the reader has found the first byte of an answer. If no
// byte of the request has been written, the answer belongs to no request.
func (c *conn) answerBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending {
		c.unsolicited = true
		c.changed.Broadcast()
	}
}

// hasUnsolicited reports whether bytes have arrived that no request asked for.
func (c *conn) hasUnsolicited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// abandon reports whether no byte of the assigned request has been written. If so,
// none will be.
func (c *conn) abandon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending {
		c.closed = true
		c.changed.Broadcast()
	}
	return c.pending
}

// refuse makes the connection write nothing any more.
func (c *conn) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
}

// Read reads from the connection. A reset that comes while a request is being written is
// reported by one call only: if that is a Write, Read returns io.EOF, and a part of an answer
// that ends with its connection would look whole. So the end of the connection counts only if
// the request could be written.
func (c *conn) Read(p []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := c.awaitWritten(); writeErr != nil {
			return n, errors.Wrap(writeErr, "connection ended while a request was written")
		}
	}
	return n, err
}

// awaitWritten waits until the request that is being written has been, or the connection is
// closed. It returns why the request could not be written, if it could not.
func (c *conn) awaitWritten() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	unwritten := func() bool { return c.begun && !c.passed || c.inWrite }
	for unwritten() && !c.closed {
		c.changed.Wait()
	}
	if c.writeErr == nil && unwritten() {
		return net.ErrClosed
	}
	return c.writeErr
}

// pass reports that net/http has passed on the whole request, or given it up.
func (c *conn) pass() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passed = true
	c.changed.Broadcast()
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.changed.Broadcast()
}

// Write writes to the connection. The first write of a request waits until the
// reader has used up all bytes received earlier.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.awaitReader(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

func (c *conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inWrite = false
	if err != nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
}

func (c *conn) awaitReader() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending && !c.reading && !c.unsolicited && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.unsolicited:
		return errUnsolicited
	case c.closed:
		return net.ErrClosed
	}
	c.pending, c.begun, c.inWrite = false, true, true
	return nil
}

// Close closes the connection and ends a waiting Write.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
