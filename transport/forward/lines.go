package forward

import (
	"bytes"
	"iter"
)

// lines yields the lines of data without their ends. Server-sent events allow "\n",
// "\r\n" and "\r".
func lines(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			end := bytes.IndexAny(data, "\r\n")
			if end < 0 {
				yield(data)
				return
			}
			if !yield(data[:end]) {
				return
			}
			if bytes.HasPrefix(data[end:], []byte("\r\n")) {
				end++
			}
			data = data[end+1:]
		}
	}
}

// eventScanner finds the blank lines that end events. Its zero value is at the start
// of a stream.
type eventScanner struct {
	// scanned is the length of the bytes that were scanned and not taken.
	scanned int
	// inLine is set if the last line has bytes, and inEvent if a line since the
	// last blank one has.
	inLine, inEvent bool
	// afterReturn is set after a "\r", which may be the first half of a line end.
	afterReturn bool
}

// scan returns the length of the whole events at the start of data, with the blank
// lines after them. It scans only bytes that it has not seen.
func (s *eventScanner) scan(data []byte) int {
	length := 0
	for i := s.scanned; i < len(data); i++ {
		switch {
		case !isLineEnd(data[i]):
			s.inLine, s.inEvent = true, true
		case data[i] == '\n' && s.afterReturn:
			// The line has ended already.
		case s.inLine:
			s.inLine = false
		case s.inEvent:
			s.inEvent = false
			length = i + 1
		}
		s.afterReturn = data[i] == '\r'
	}
	s.scanned = len(data)
	for length > 0 && length < len(data) && isLineEnd(data[length]) {
		length++
	}
	return length
}

func isLineEnd(b byte) bool { return b == '\n' || b == '\r' }
