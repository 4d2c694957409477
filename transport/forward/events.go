package forward

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	readChunkBytes = 16 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 4 << 20
)

// Events reads a stream in whole events.
type EventReader struct {
	Body io.Reader

	pending []byte
	chunk   []byte
	readErr error
}

// Next returns the bytes of one or more whole events, with the id of the last
// one that has one. It returns io.EOF after the last. What stands before the
// end of a complete stream without a blank line belongs to its last event; the
// rest of a broken stream is dropped.
func (e *EventReader) Next() (data []byte, lastID string, err error) {
	if e.chunk == nil {
		e.chunk = make([]byte, readChunkBytes)
	}
	for {
		if length := completeEventsLength(e.pending); length > 0 {
			data = append([]byte(nil), e.pending[:length]...)
			e.pending = append(e.pending[:0], e.pending[length:]...)
			return data, lastEventID(data), nil
		}
		if e.readErr != nil {
			return e.flush()
		}
		if len(e.pending) > maxEventBytes {
			return nil, "", ErrTooLong
		}
		n, err := e.Body.Read(e.chunk)
		e.pending = append(e.pending, e.chunk[:n]...)
		e.readErr = err
	}
}

func (e *EventReader) flush() (data []byte, lastID string, err error) {
	if !errors.Is(e.readErr, io.EOF) || len(e.pending) == 0 {
		return nil, "", e.readErr
	}
	data, e.pending = e.pending, nil
	return data, lastEventID(data), nil
}

// wholeEvents returns the length of the whole events at the start of data.
func completeEventsLength(data []byte) int {
	length := 0
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(data, separator); i >= 0 {
			length = max(length, i+len(separator))
		}
	}
	return length
}

// lastID returns the id of the last event in data that has one.
func lastEventID(data []byte) string {
	id := ""
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
