package bound

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// minBufferBytes is the capacity of a buffer after its first read.
	minBufferBytes = 4 << 10
	// freeBytes of each buffer need no reservation, so that short responses are
	// read also while long ones use up the memory.
	freeBytes = 16 << 10
	// One buffer may use 1/buffersInMemory of the memory.
	buffersInMemory = 2
)

// Memory bounds the bytes of responses that are buffered at the same time. A nil
// Memory sets no bound. Limit must be set before the first use.
type Memory struct {
	Limit int64

	used atomic.Int64
	// peak is the most that was used.
	peak atomic.Int64
}

// Reserve reserves n bytes and reports whether they were available.
func (m *Memory) Reserve(n int64) bool {
	if m == nil {
		return true
	}
	used := m.used.Add(n)
	if used > m.Limit {
		m.used.Add(-n)
		return false
	}
	for peak := m.peak.Load(); used > peak && !m.peak.CompareAndSwap(peak, used); peak = m.peak.Load() {
	}
	return true
}

// Release gives back reserved bytes.
func (m *Memory) Release(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// Used returns the bytes that are reserved now.
func (m *Memory) Used() int64 { return m.used.Load() }

// Peak returns the most bytes that were reserved at any time.
func (m *Memory) Peak() int64 { return m.peak.Load() }

// Buffer holds bytes of one response. A capacity beyond freeBytes is reserved in
// Memory. Memory and Limit must be set before the first read.
type Buffer struct {
	Memory *Memory
	// Limit is the largest length. A buffer also uses no more than a part of
	// the memory.
	Limit int
	Data  []byte

	reserved int64
}

// Fill appends the bytes of one Read. It returns ErrTooLong if the buffer is
// at its limit, and ErrMemory if the memory is used up.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	if len(b.Data) == cap(b.Data) {
		if err := b.grow(); err != nil {
			return 0, err
		}
	}
	n, err := r.Read(b.Data[len(b.Data):cap(b.Data)])
	b.Data = b.Data[:len(b.Data)+n]
	return n, err
}

// ReadAll appends everything that r returns. Its errors are those of Fill, apart
// from io.EOF.
func (b *Buffer) ReadAll(r io.Reader) error {
	for {
		_, err := b.Fill(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *Buffer) grow() error {
	limit := b.limit()
	if len(b.Data) > limit {
		return ErrTooLong
	}
	// One byte more than allowed shows that the response goes on.
	size := min(max(2*cap(b.Data), minBufferBytes), limit+1)
	if size > freeBytes {
		added := int64(size) - b.reserved
		if !b.Memory.Reserve(added) {
			return ErrMemory
		}
		b.reserved += added
	}
	grown := make([]byte, len(b.Data), size)
	copy(grown, b.Data)
	b.Data = grown
	return nil
}

func (b *Buffer) limit() int {
	if b.Memory == nil {
		return b.Limit
	}
	return int(min(int64(b.Limit), b.Memory.Limit/buffersInMemory))
}

// Release drops the bytes and their reservation.
func (b *Buffer) Release() {
	b.Memory.Release(b.reserved)
	b.Data, b.reserved = nil, 0
}
