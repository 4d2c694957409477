package requestlog

import (
	"slices"
	"time"
)

// lossWindow is how long after the end of a request the loss of its upstream may
// be logged and still count as the cause.
const lossWindow = 10 * time.Second

// span is the time from the first to the last line of a request in the log of one
// instance.
type span struct{ from, to time.Time }

// relatedEvents returns the lines without the id of the request that help to
// explain how it ended: pauses of the instances that handled it and, if it ended
// without an answer, the loss of the upstream that it was last sent to.
func relatedEvents(events, requestEvents []Event) []Event {
	spans := make(map[string]span)
	var lastSent Event
	for _, e := range requestEvents {
		s, known := spans[e.Instance]
		if !known {
			s.from = e.Time
		}
		s.to = e.Time
		spans[e.Instance] = s
		if e.Message == "sent" {
			lastSent = e
		}
	}
	var found []Event
	for _, e := range events {
		if s, handled := spans[e.Instance]; handled && e.Message == "instance paused" && e.Time.After(s.from) && !e.Time.Add(-e.PausedFor).After(s.to) {
			found = append(found, e)
		}
	}
	if loss, ok := firstLoss(events, lastSent, spans[lastSent.Instance].to); ok && unanswered(requestEvents) {
		found = append(found, loss)
	}
	return found
}

// unanswered reports whether no upstream answered the request; a connection that
// failed counts as no answer.
func unanswered(requestEvents []Event) bool {
	return !slices.ContainsFunc(requestEvents, func(e Event) bool { return e.Message == answered })
}

// firstLoss returns the first line in which the instance that sent the request
// reports the upstream as removed or ejected.
func firstLoss(events []Event, sent Event, ended time.Time) (Event, bool) {
	var first Event
	for _, e := range events {
		if e.Instance != sent.Instance || e.Upstream == "" || e.Upstream != sent.Upstream ||
			e.Time.Before(sent.Time) || e.Time.After(ended.Add(lossWindow)) {
			continue
		}
		lost := e.Message == "upstream gone" || (e.Message == "upstream judged" && e.HealthState == "ejected")
		if lost && (first.Message == "" || e.Time.Before(first.Time)) {
			first = e
		}
	}
	return first, first.Message != ""
}
