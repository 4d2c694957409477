package loglines

import (
	"bytes"
	"maps"
	"time"
)

const (
	// classLines is how many lines of one class are written in one second at
	// most: many times those of an instance of the size designed for.
	classLines = 1000
	// maxClasses bounds the classes that are told apart; all further ones
	// count as one.
	maxClasses = 64
)

// Quota bounds the lines of each class in one second. A class of many lines
// takes no room from the others. The zero value is ready. It is not safe for
// concurrent use.
type Quota struct {
	second  int64
	taken   map[string]int
	dropped map[string]int64
}

// Take reports whether one more line of a class may be written at now.
func (q *Quota) Take(now time.Time, class string) bool {
	if second := now.Unix(); q.taken == nil || second != q.second {
		q.second, q.taken = second, make(map[string]int)
	}
	if q.taken[class] >= classLines {
		q.Drop(class)
		return false
	}
	q.taken[class]++
	return true
}

// Drop counts a line that was not written.
func (q *Quota) Drop(class string) {
	if q.dropped == nil {
		q.dropped = make(map[string]int64)
	}
	if _, known := q.dropped[class]; !known && len(q.dropped) >= maxClasses {
		class = ""
	}
	q.dropped[class]++
}

// Dropped returns the lines by class that were dropped since it was last asked.
func (q *Quota) Dropped() map[string]int64 {
	dropped := maps.Clone(q.dropped)
	clear(q.dropped)
	return dropped
}

var (
	messageKey = []byte(`"msg":"`)
	quote      = []byte(`"`)
)

// classOf returns the message of a line; empty where there is none.
func classOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, messageKey)
	if !ok {
		return ""
	}
	message, _, _ := bytes.Cut(rest, quote)
	return string(message)
}
