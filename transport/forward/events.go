package forward

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"samphirehead/transport/bound"
)

// ErrNotEvents means that a stream has bytes that are no server-sent events.
var ErrNotEvents = errors.New("stream has bytes that are no events")

// EventReader reads a stream of server-sent events, one or more whole events at
// a time. Release must be called after the last call of Next.
type EventReader struct {
	Body io.Reader
	// Unframed is set if only the end of Body marks the end of the stream.
	Unframed bool

	pending bound.Buffer
	scanner eventScanner
	readErr error
	// returned is set once bytes have been returned.
	returned bool
}

// Next returns the bytes of one or more whole events, and the id of the last of
// them that has an id. It returns io.EOF after the last event, bound.ErrTooLong for
// an event that is too long, and ErrNotEvents for bytes that are no event. It returns
// io.ErrUnexpectedEOF if the stream ends inside an event, or if it is unframed and has
// no event: it has been broken off. The bytes of a partial event are dropped.
func (e *EventReader) Next() (data []byte, lastID string, err error) {
	e.pending.Limit = maxEventBytes
	for {
		if length := e.scanner.scan(e.pending.Data); length > 0 {
			return e.take(length)
		}
		if e.readErr != nil {
			return e.flush()
		}
		n, err := e.pending.Fill(e.Body)
		if n == 0 && (errors.Is(err, bound.ErrTooLong) || errors.Is(err, bound.ErrMemory)) {
			return nil, "", err
		}
		e.readErr = err
	}
}

// Release drops the buffered bytes.
func (e *EventReader) Release() { e.pending.Release() }

// flush returns the blank lines after the last event, and then why there are no
// further events.
func (e *EventReader) flush() (data []byte, lastID string, err error) {
	switch {
	case !errors.Is(e.readErr, io.EOF):
		return nil, "", e.readErr
	case e.scanner.inEvent, e.Unframed && !e.returned:
		return nil, "", io.ErrUnexpectedEOF
	case len(e.pending.Data) == 0:
		return nil, "", io.EOF
	}
	return e.take(len(e.pending.Data))
}

// take removes the first bytes of pending, which are whole events.
func (e *EventReader) take(length int) (data []byte, lastID string, err error) {
	data = append([]byte(nil), e.pending.Data[:length]...)
	e.pending.Data = append(e.pending.Data[:0], e.pending.Data[length:]...)
	e.scanner.scanned = len(e.pending.Data)
	e.returned = true
	lastID, ok := parseEvents(data)
	if !ok {
		return nil, "", ErrNotEvents
	}
	return data, lastID, nil
}

// parseEvents returns the id of the last event in data that has one, and reports
// whether each event has a field that events have, and no line that is neither one of
// these nor has a value.
func parseEvents(data []byte) (lastID string, ok bool) {
	fields, known := 0, 0
	for line := range lines(data) {
		if len(line) == 0 {
			if fields > 0 && known == 0 {
				return "", false
			}
			fields, known = 0, 0
			continue
		}
		fields++
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		switch {
		case isEventField(name):
			known++
		case !hasValue:
			return "", false
		}
		if string(name) == "id" {
			lastID = string(bytes.TrimSpace(value))
		}
	}
	return lastID, fields == 0 || known > 0
}

// isEventField reports whether an event may have a field of this name. A comment
// has an empty name.
func isEventField(name []byte) bool {
	switch string(name) {
	case "id", "data", "event", "retry", "":
		return true
	}
	return false
}
