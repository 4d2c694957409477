package trail

import (
	"slices"
	"time"
)

// soonAfter is how long after a request the loss of its upstream may be noticed
// and still explain it.
const lossWindow = 10 * time.Second

// span is when an instance had a request.
type span struct{ from, to time.Time }

// around returns the lines that are not of the request, and tell of what
// befell it: that an instance which had it did not run, and that the upstream
// which had it last was lost.
func relatedEvents(events, requestEvents []Event) []Event {
	spans := make(map[string]span)
	var last Event
	for _, e := range requestEvents {
		s, known := spans[e.Instance]
		if !known {
			s.from = e.Time
		}
		s.to = e.Time
		spans[e.Instance] = s
		if e.Message == "sent" {
			last = e
		}
	}
	var found []Event
	for _, e := range events {
		if s, had := spans[e.Instance]; had && e.Message == "instance paused" && e.Time.After(s.from) && !e.Time.Add(-e.PausedFor).After(s.to) {
			found = append(found, e)
		}
	}
	if loss, ok := firstLoss(events, last, spans[last.Instance].to); ok && unanswered(requestEvents) {
		found = append(found, loss)
	}
	return found
}

// unanswered reports whether the request ended without an upstream's answer,
// the failure of a connection among them.
func unanswered(requestEvents []Event) bool {
	return !slices.ContainsFunc(requestEvents, func(e Event) bool { return e.Message == answered })
}

// firstLoss returns the first line by which the instance that had the request
// gave up the upstream that it was last sent to.
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
