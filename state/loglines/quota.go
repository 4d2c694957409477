package loglines

import (
	"bytes"
	"maps"
	"time"
)

const (
	// classLines is how many lines of one class are written in one second at
	// most: many times those of an instance of the size designed for.
	maxLinesPerSecond = 1000
	// maxClasses bounds the classes that are told apart; all further ones
	// count as one.
	maxDroppedMessages = 64
)

// Quota bounds the lines of each class in one second. A class of many lines
// takes no room from the others. The zero value is ready. It is not safe for
// concurrent use.
type Quota struct {
	second  int64
	written map[string]int
	dropped map[string]int64
}

// Take reports whether one more line of a class may be written at now.
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

// Drop counts a line that was not written.
func (q *Quota) CountDropped(message string) {
	if q.dropped == nil {
		q.dropped = make(map[string]int64)
	}
	if _, counted := q.dropped[message]; !counted && len(q.dropped) >= maxDroppedMessages {
		message = ""
	}
	q.dropped[message]++
}

// Dropped returns the lines by class that were dropped since it was last asked.
func (q *Quota) ResetDropped() map[string]int64 {
	dropped := maps.Clone(q.dropped)
	clear(q.dropped)
	return dropped
}

var (
	messageKey = []byte(`"msg":"`)
	quote      = []byte(`"`)
)

// classOf returns the message of a line; empty where there is none.
func messageOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, messageKey)
	if !ok {
		return ""
	}
	message, _, _ := bytes.Cut(rest, quote)
	return string(message)
}
