package loglines

import (
	"bytes"
	"maps"
	"time"
)

const (
	// maxLinesPerSecond bounds the lines of one message that are written in one
	// second. It is many times the number that an instance logs when the system
	// has the size that it is designed for.
	maxLinesPerSecond = 1000
	// maxDroppedMessages bounds the messages whose dropped lines are counted
	// separately; the lines of further messages are counted together under the
	// empty message.
	maxDroppedMessages = 64
)

// Quota limits the lines written per second for each message, so that a very
// frequent message does not displace others. The zero value is ready for use.
// It is not safe for concurrent use.
type Quota struct {
	second  int64
	written map[string]int
	dropped map[string]int64
}

// Allow reports whether one more line of the message may be written at now, and
// counts it as written or as dropped.
func (q *Quota) Allow(now time.Time, message string) bool {
	if second := now.Unix(); q.written == nil || second != q.second {
		q.second, q.written = second, make(map[string]int)
	}
	if q.written[message] >= maxLinesPerSecond {
		q.CountDropped(message)
		return false
	}
	q.written[message]++
	return true
}

// CountDropped counts a line of the message that was not written.
func (q *Quota) CountDropped(message string) {
	if q.dropped == nil {
		q.dropped = make(map[string]int64)
	}
	if _, counted := q.dropped[message]; !counted && len(q.dropped) >= maxDroppedMessages {
		message = ""
	}
	q.dropped[message]++
}

// ResetDropped returns the number of dropped lines for each message since the
// last call, and starts to count anew.
func (q *Quota) ResetDropped() map[string]int64 {
	dropped := maps.Clone(q.dropped)
	clear(q.dropped)
	return dropped
}

var (
	messageKey = []byte(`"msg":"`)
	quote      = []byte(`"`)
)

// messageOf returns the value of msg in a JSON log line, up to the first quote
// in it; empty if there is none.
func messageOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, messageKey)
	if !ok {
		return ""
	}
	message, _, _ := bytes.Cut(rest, quote)
	return string(message)
}
