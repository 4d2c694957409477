package forward

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	eventBytes = 16 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 4 << 20
)

// Events reads a stream in whole events.
type Events struct {
	Body io.Reader

	pending []byte
	chunk   []byte
	ended   error
}

// Next returns the bytes of one or more whole events, with the id of the last
// one that has one. It returns io.EOF after the last. What stands before the
// end of a complete stream without a blank line belongs to its last event; the
// rest of a broken stream is dropped.
func (e *Events) Next() (data []byte, last string, err error) {
	if e.chunk == nil {
		e.chunk = make([]byte, eventBytes)
	}
	for {
		if whole := wholeEvents(e.pending); whole > 0 {
			data = append([]byte(nil), e.pending[:whole]...)
			e.pending = append(e.pending[:0], e.pending[whole:]...)
			return data, lastID(data), nil
		}
		if e.ended != nil {
			return e.rest()
		}
		if len(e.pending) > maxEventBytes {
			return nil, "", ErrTooLong
		}
		n, err := e.Body.Read(e.chunk)
		e.pending = append(e.pending, e.chunk[:n]...)
		e.ended = err
	}
}

func (e *Events) rest() (data []byte, last string, err error) {
	if !errors.Is(e.ended, io.EOF) || len(e.pending) == 0 {
		return nil, "", e.ended
	}
	data, e.pending = e.pending, nil
	return data, lastID(data), nil
}

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	length := 0
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(data, end); i >= 0 {
			length = max(length, i+len(end))
		}
	}
	return length
}

// lastID returns the id of the last event in data that has one.
func lastID(data []byte) string {
	last := ""
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			last = string(bytes.TrimSpace(value))
		}
	}
	return last
}
