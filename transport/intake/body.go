package intake

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// freeBodyBytes of a body are part of connectionBytes.
	freeBodyBytes = 4 << 10
	// deadlineInterval is how often the time that is left for a body is adapted to what
	// has arrived.
	deadlineInterval = time.Second
)

// ErrTooSlow means that a body did not arrive in time.
var ErrTooSlow = errors.New("body arrives too slowly")

// BodyLimits bound the reading of a body.
type BodyLimits struct {
	// Declared is the length that the caller stated; negative if it stated none.
	Declared int64
	// Bytes bounds the length. The reader itself reports that a body is longer.
	Bytes int64
	// Deadline ends the reading in any case, and Grace unless BytesPerSecond arrive. A
	// zero value sets no bound.
	Deadline       time.Time
	Grace          time.Duration
	BytesPerSecond int64
}

// ReadBody reads a whole body. It draws memory on the account of c as the bytes arrive, and
// returns how much it has drawn. Its errors are ErrRefused, ErrTooSlow and those of r. After
// an error nothing is read from the connection any more.
func ReadBody(c *Conn, r io.Reader, limits BodyLimits) (data []byte, drawn int64, err error) {
	if limits.Declared == 0 {
		return nil, 0, nil
	}
	b := bodyReader{conn: c, limits: limits, started: time.Now()}
	err = b.read(r)
	if err == nil {
		b.setDeadline(time.Time{})
		return b.data, b.drawn, nil
	}
	ended := false
	if c != nil {
		c.mu.Lock()
		ended = c.ended
		c.mu.Unlock()
		c.stopReading()
	}
	c.Release(b.drawn)
	if ended || errors.Is(err, ErrRefused) {
		return nil, 0, ErrRefused
	}
	return nil, 0, err
}

// bodyReader is a body that is being read.
type bodyReader struct {
	conn       *Conn
	limits     BodyLimits
	started    time.Time
	deadlineAt time.Time
	data       []byte
	// drawn is the memory that was drawn for data.
	drawn int64
}

func (b *bodyReader) read(r io.Reader) error {
	for {
		if err := b.grow(); err != nil {
			return err
		}
		if now := time.Now(); now.Sub(b.deadlineAt) >= deadlineInterval {
			b.deadlineAt = now
			b.setDeadline(b.deadline())
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case isTimeout(err):
			return ErrTooSlow
		case err != nil:
			return err
		}
	}
}

// grow makes room for at least one byte more.
func (b *bodyReader) grow() error {
	if len(b.data) < cap(b.data) {
		return nil
	}
	// One byte more than the body has shows that it has ended.
	largest := b.limits.Bytes + 1
	if b.limits.Declared > 0 {
		largest = min(largest, b.limits.Declared+1)
	}
	size := max(min(int64(2*cap(b.data)), largest), min(freeBodyBytes, largest), int64(len(b.data))+1)
	drawn := size - freeBodyBytes
	if drawn > 0 && !b.conn.Draw(drawn) {
		return ErrRefused
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	if drawn > 0 {
		b.conn.Release(b.drawn)
		b.drawn = drawn
	}
	return nil
}

// deadline returns until when the next bytes have to arrive.
func (b *bodyReader) deadline() time.Time {
	at := b.limits.Deadline
	if b.limits.BytesPerSecond <= 0 {
		return at
	}
	seconds := time.Duration(int64(len(b.data)) / b.limits.BytesPerSecond)
	if rated := b.started.Add(b.limits.Grace + seconds*time.Second); at.IsZero() || rated.Before(at) {
		return rated
	}
	return at
}

func (b *bodyReader) setDeadline(at time.Time) {
	if b.conn != nil {
		b.conn.setReadDeadline(at)
	}
}
