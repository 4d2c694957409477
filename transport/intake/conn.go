package intake

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/coordination/memory"
	"samphirehead/state/id"
)

const (
	// fieldBytes is the memory of one field of a head beyond its bytes.
	fieldBytes = 256
	// listEntryBytes is the memory of one entry of a list, such as the parts of a prompt.
	listEntryBytes = 64
	// freeHeadBytes of a head are part of connectionBytes.
	freeHeadBytes = 8 << 10
	// drainTimeout bounds the reading of a body that is not used.
	drainTimeout = time.Second
	// headStep is in what steps memory for a head is drawn.
	headStep = 8 << 10
	// writeStep is how much of an answer a caller has to read within ReadTimeout.
	writeStep = 64 << 10
)

// Conn is a connection of a caller. What it holds is released when it is closed.
type Conn struct {
	*net.TCPConn
	intake *Intake
	holder memory.Holder
	remove sync.Once

	mu sync.Mutex
	// inHandler is set from the start of the handler to the end of the request, and
	// arrived once that has arrived whole.
	inHandler, arrived bool
	// ended is set once the connection was told to give way.
	ended bool
	// requestBytes is what the request holds.
	requestBytes int64
	head         headCounter
	// drop forgets the retained bytes; nil if none are.
	drop     func()
	retained int64
	// streaming is set while the answer is a stream.
	streaming bool
	// epoch counts the calls of Keep and the requests.
	epoch Epoch
}

// Read reads from the connection. It counts the bytes of a head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return 0, ErrRefused
	}
	wanted := int64(0)
	if !c.inHandler {
		wanted = c.head.count(p[:n])
	}
	c.mu.Unlock()
	if wanted > 0 && !c.draw(wanted) {
		c.intake.countClosed(HeadTooLarge, c.RemoteAddr())
		_ = c.Close()
		return 0, ErrRefused
	}
	return n, err
}

// Write writes to the connection. A caller that does not read loses it: after ReadTimeout,
// or before when others need its memory.
func (c *Conn) Write(p []byte) (int, error) {
	timeout := c.readTimeout()
	if timeout <= 0 {
		return c.TCPConn.Write(p)
	}
	written := 0
	for {
		n, err := c.writeStep(p[written:min(len(p), written+writeStep)], timeout)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// readTimeout returns how long the caller may take to read a part of the answer.
func (c *Conn) readTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streaming {
		return c.intake.StreamReadTimeout
	}
	return c.intake.ReadTimeout
}

// writeStep writes a part of an answer.
func (c *Conn) writeStep(p []byte, timeout time.Duration) (int, error) {
	blockedAfter := min(c.intake.Account.StallAfter, timeout)
	n, err := c.writeWithin(p, blockedAfter)
	if !isTimeout(err) {
		return n, err
	}
	c.change(memory.Blocked)
	rest, err := c.writeWithin(p[n:], timeout-blockedAfter)
	n += rest
	if err == nil && c.change(memory.Serving) {
		return n, nil
	}
	// The answer must not look complete.
	_ = c.SetLinger(0)
	if isTimeout(err) {
		c.intake.countClosed(SlowReader, c.RemoteAddr())
	}
	if err == nil {
		err = ErrRefused
	}
	return n, err
}

func (c *Conn) writeWithin(p []byte, timeout time.Duration) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.remove.Do(func() { c.intake.remove(c) })
	return err
}

// Begin reports that the head of a request has arrived, of a workspace and with an urgency.
func (c *Conn) Begin(workspace id.Workspace, urgency int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.inHandler = true
	c.mu.Unlock()
	c.intake.identify(c, workspace, urgency)
}

// Arrived reports that the request has arrived whole. It returns false if it is to be
// refused, as its connection had to give way.
func (c *Conn) Arrived() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.arrived = true
	c.mu.Unlock()
	return c.change(memory.Serving)
}

// Stream reports that the answer to the request is a stream: an upstream waits while the
// caller does not read.
func (c *Conn) Stream() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = true
}

// Draw asks for n further bytes for the request, until it ends.
func (c *Conn) Draw(n int64) bool { return c == nil || c.draw(n) }

// Release gives back bytes of the request.
func (c *Conn) Release(n int64) {
	if c == nil || n == 0 {
		return
	}
	c.mu.Lock()
	n = min(n, c.requestBytes)
	c.requestBytes -= n
	c.mu.Unlock()
	c.intake.release(c, n)
}

// Epoch identifies the time between two calls of Keep.
type Epoch uint64

// Retain lets n bytes of the request be taken when others need them. drop is called then,
// at most once, and must forget the bytes. It has no effect after the epoch.
func (c *Conn) Retain(epoch Epoch, n int64, drop func()) {
	if c == nil {
		return
	}
	c.mu.Lock()
	valid := epoch == c.epoch
	if valid {
		c.drop, c.retained = drop, n
	}
	c.mu.Unlock()
	if valid {
		c.retain(n)
	}
}

// Keep makes sure that no drop is called after it has returned, and begins a new epoch.
func (c *Conn) Keep() Epoch {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	retained := c.retained > 0
	epoch := c.forget()
	c.mu.Unlock()
	if retained {
		c.retain(0)
	}
	return epoch
}

// forget ends the epoch. c.mu must be held.
func (c *Conn) forget() Epoch {
	c.drop, c.retained = nil, 0
	c.epoch++
	return c.epoch
}

func (c *Conn) retain(n int64) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.Account.Retain(c.holder, n)
}

// dropRetained forgets what is retained.
func (c *Conn) dropRetained() {
	c.mu.Lock()
	n := c.retained
	if c.drop != nil {
		c.drop()
	}
	c.drop, c.retained = nil, 0
	c.mu.Unlock()
	c.Release(n)
}

func (c *Conn) draw(n int64) bool {
	if !c.intake.draw(c, n) {
		return false
	}
	c.mu.Lock()
	c.requestBytes += n
	c.mu.Unlock()
	return true
}

func (c *Conn) change(s memory.State) bool {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if s != memory.Serving {
		c.intake.signal()
	}
	return c.intake.Account.Change(time.Now(), c.holder, s)
}

// finish ends a request: its bytes are released.
func (c *Conn) finish() {
	c.mu.Lock()
	n := c.requestBytes
	c.requestBytes, c.inHandler, c.arrived, c.streaming = 0, false, false, false
	c.forget()
	c.head = headCounter{}
	c.mu.Unlock()
	if n > 0 {
		c.intake.release(c, n)
	}
	if !c.change(memory.Idle) {
		_ = c.Close()
	}
}

// end makes the connection give way. A request whose body is being read is refused by its
// handler; otherwise the connection is closed, so that an answer that is being written does
// not look complete.
func (c *Conn) end() {
	if c.stopReading() {
		return
	}
	c.mu.Lock()
	answering := c.arrived
	c.mu.Unlock()
	if answering {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// stopReading makes every read from now on fail, and reports whether a handler is reading
// the body of a request.
func (c *Conn) stopReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return c.inHandler && !c.arrived
}

// setReadDeadline bounds the reads of a body, unless the connection was told to give way.
func (c *Conn) setReadDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		_ = c.SetReadDeadline(at)
	}
}

// Drain bounds the time in which the server reads what is left of the body of a request
// that was refused.
func (c *Conn) Drain() {
	if c != nil {
		c.setReadDeadline(time.Now().Add(drainTimeout))
	}
}

// headCounter counts the memory that the head of a request takes.
type headCounter struct {
	counted, drawn int64
	ended          bool
}

// count adds bytes that were read, and returns how much memory is to be drawn for them.
func (h *headCounter) count(p []byte) int64 {
	if h.ended {
		return 0
	}
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if at := bytes.Index(p, []byte(end)); at >= 0 {
			p, h.ended = p[:at+1], true
		}
	}
	h.counted += int64(len(p) + fieldBytes*bytes.Count(p, []byte{'\n'}) + listEntryBytes*bytes.Count(p, []byte{','}))
	if h.counted <= h.drawn+freeHeadBytes {
		return 0
	}
	wanted := (h.counted - h.drawn - freeHeadBytes + headStep - 1) / headStep * headStep
	h.drawn += wanted
	return wanted
}
