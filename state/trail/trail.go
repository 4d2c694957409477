// Package trail reads the log lines of routers and tells what became of a
// request, and why requests failed.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"samphirehead/state/fault"
)

const (
	// maxLine bounds one log line.
	maxLineBytes = 1 << 20
	// lateSlack is how much before its time is over a caller may go because of
	// that.
	timeoutTolerance = 50 * time.Millisecond
	// clock is how times are written.
	timeFormat = "15:04:05.000"
)

// Event is one log line.
type Event struct {
	Time           time.Time     `json:"time"`
	Instance       string        `json:"instance"`
	Message        string        `json:"msg"`
	Request        string        `json:"request,omitempty"`
	Route          string        `json:"route,omitempty"`
	Service        string        `json:"service,omitempty"`
	Workspace      string        `json:"workspace,omitempty"`
	Version        uint64        `json:"version,omitempty"`
	Urgency        int           `json:"urgency,omitempty"`
	Upstream       string        `json:"upstream,omitempty"`
	Outcome        string        `json:"outcome,omitempty"`
	Reason         string        `json:"reason,omitempty"`
	Error          string        `json:"err,omitempty"`
	Status         int           `json:"status,omitempty"`
	Attempt        int           `json:"attempt,omitempty"`
	Attempts       int           `json:"attempts,omitempty"`
	Events         int           `json:"events,omitempty"`
	Rank           int           `json:"rank,omitempty"`
	Prefill        int           `json:"prefill,omitempty"`
	PrefillAhead   int           `json:"ahead,omitempty"`
	Elapsed        time.Duration `json:"after,omitempty"`
	FirstEvent     time.Duration `json:"first,omitempty"`
	LongestPause   time.Duration `json:"pause,omitempty"`
	Remaining      time.Duration `json:"left,omitempty"`
	Expected       time.Duration `json:"expected,omitempty"`
	LoadReports    int           `json:"news,omitempty"`
	ReportAge      time.Duration `json:"age,omitempty"`
	RetriesSpent   float64       `json:"spent,omitempty"`
	RetriesAllowed float64       `json:"allowed,omitempty"`
	PausedFor      time.Duration `json:"for,omitempty"`
	HealthState    string        `json:"belief,omitempty"`
	Cause          string        `json:"cause,omitempty"`
	Retried        bool          `json:"again,omitempty"`
}

// Read reads log lines. Lines may have something before their JSON object; those
// without one are passed over.
func Read(name string, r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		var e Event
		if json.Unmarshal(line[start:], &e) == nil && e.Message != "" {
			events = append(events, e)
		}
	}
	return events, fault.Wrap("read log", name, scanner.Err())
}

// Path is what became of one request.
type Trace struct {
	Request string  `json:"request"`
	Events  []Event `json:"events"`
	// Cause says in words how it ended.
	Cause string `json:"cause"`
}

// Explain follows one request through the lines of any number of instances.
func Explain(events []Event, request string) Trace {
	t := Trace{Request: request}
	for _, e := range events {
		if e.Request == request {
			t.Events = append(t.Events, e)
		}
	}
	slices.SortStableFunc(t.Events, byTime)
	t.Cause = explainCause(t.Events)
	for _, e := range relatedEvents(events, t.Events) {
		t.Events = append(t.Events, e)
		t.Cause += "; " + e.describe()
	}
	slices.SortStableFunc(t.Events, byTime)
	return t
}

func byTime(a, b Event) int { return a.Time.Compare(b.Time) }

// causes says what the reasons of ended requests mean.
var reasonTexts = map[string]string{
	"no_routes":        "the instance had no configuration yet; nothing ran",
	"bad_request":      "the request's own header could not be read",
	"no_route":         "no route of the version in force has this host and path",
	"unknown_key":      "no workspace of the version in force has the key",
	"body_too_large":   "the body is over the configured limit",
	"body_broken":      "the caller did not send its whole body",
	"instance_leaving": "the instance was leaving and the request could not end in its grace; nothing ran",
	"quarantined":      "the request had crashed the upstreams that ran it; it was kept from others",
	"no_upstream":      "no upstream of the service was left to try",
	"overloaded":       "it would have begun after its objective, behind others; nothing ran",
	"not_run":          "no upstream that was tried ran it",
	"timed_out":        "its time was over before an upstream had answered it whole",
	"outcome_unknown":  "an upstream broke off or gave no usable answer, and it may have run; it could not be repeated",
	"stream_broken":    "its upstream broke the stream off, and it could not go on elsewhere",
	"caller_left":      "the caller had gone",
}

// cause judges by the last line that ends the request.
func explainCause(events []Event) string {
	if len(events) == 0 {
		return "no line: the request reached no instance whose log was read, or the lines were dropped"
	}
	for _, e := range slices.Backward(events) {
		switch e.Message {
		case "answered":
			return describeAnswer(e)
		case "ended":
			return describeEnd(events, e)
		}
	}
	last := events[len(events)-1]
	return fmt.Sprintf("the log of %s ends after %q at %s: the instance ended or lost power, and it may have run",
		last.Instance, last.Message, cmp.Or(last.Upstream, "no upstream"))
}

func describeAnswer(e Event) string {
	text := fmt.Sprintf("upstream %s answered %d after %s", e.Upstream, e.Status, e.Elapsed.Round(time.Millisecond))
	if e.Events > 0 {
		text += fmt.Sprintf(", first event after %s, longest pause %s", e.FirstEvent.Round(time.Millisecond), e.LongestPause.Round(time.Millisecond))
	}
	return text
}

// waited returns how long the caller was said to wait; very long where no line
// says it.
func callerTimeout(events []Event) time.Duration {
	for _, e := range events {
		if e.Message == "received" {
			return e.Remaining
		}
	}
	return math.MaxInt64
}

func describeEnd(events []Event, e Event) string {
	text := cmp.Or(reasonTexts[e.Reason], e.Reason)
	if e.Reason == "caller_left" && e.Elapsed >= callerTimeout(events)-timeoutTolerance {
		text = "the caller's time was over, and it had gone"
	}
	if e.Status > 0 {
		text = fmt.Sprintf("answered %d: %s", e.Status, text)
	}
	if e.Reason == "overloaded" {
		text += fmt.Sprintf("; it would have begun after %s", e.Expected.Round(time.Millisecond))
	}
	for _, f := range slices.Backward(events) {
		if f.Error != "" {
			return fmt.Sprintf("%s; last at %s: %s", text, f.Upstream, f.Error)
		}
	}
	return text
}

// String tells the path in time order, a line an event.
func (t Trace) String() string {
	var b strings.Builder
	for _, e := range t.Events {
		fmt.Fprintf(&b, "%s  %-16s %s\n", e.Time.Format(timeFormat), e.Instance, e.describe())
	}
	fmt.Fprintf(&b, "cause: %s\n", t.Cause)
	return b.String()
}

func (e Event) describe() string {
	switch e.Message {
	case "received":
		return fmt.Sprintf("received: route %s, service %s, workspace %s, urgency %d, routes of version %d, %s to wait",
			e.Route, e.Service, e.Workspace, e.Urgency, e.Version, e.Remaining.Round(time.Millisecond))
	case "sent":
		return fmt.Sprintf("sent to %s, attempt %d, %s left: %s", e.Upstream, e.Attempt, e.Remaining.Round(time.Millisecond), e.choiceReason())
	case "retry budget spent":
		return fmt.Sprintf("not repeated: %.0f repeats to %s in the last window, %.1f allowed", e.RetriesSpent, e.Service, e.RetriesAllowed)
	case "attempt failed":
		return fmt.Sprintf("%s at %s after %s, status %d, tried again: %t %s",
			e.Outcome, e.Upstream, e.Elapsed.Round(time.Millisecond), e.Status, e.Retried, e.Error)
	case "stream broken":
		return fmt.Sprintf("stream broken at %s after %d events and %s: %s", e.Upstream, e.Events, e.Elapsed.Round(time.Millisecond), e.Error)
	case "stream resumed":
		return fmt.Sprintf("stream goes on at %s: %s", e.Upstream, cmp.Or(e.Outcome, e.Error))
	case "answered":
		return describeAnswer(e)
	case "ended":
		return fmt.Sprintf("ended after %s: %s", e.Elapsed.Round(time.Millisecond), e.Reason)
	case "instance paused":
		return fmt.Sprintf("%s did not run for %s meanwhile", e.Instance, e.PausedFor.Round(time.Millisecond))
	case "upstream gone":
		return fmt.Sprintf("%s left the list of upstreams at %s", e.Upstream, e.Time.Format(timeFormat))
	case "upstream judged":
		return fmt.Sprintf("%s was kept away from at %s: %s", e.Upstream, e.Time.Format(timeFormat), e.Cause)
	}
	return e.Message
}

// grounds tells why the upstream was chosen.
func (e Event) choiceReason() string {
	if e.Expected == 0 {
		return fmt.Sprintf("least work, loads of %d others up to %s old", e.LoadReports, e.ReportAge.Round(time.Millisecond))
	}
	return fmt.Sprintf("choice %d by affinity, %d tokens to read, %d ahead, expected after %s, loads of %d others up to %s old",
		e.Rank+1, e.Prefill, e.PrefillAhead, e.Expected.Round(time.Millisecond), e.LoadReports, e.ReportAge.Round(time.Millisecond))
}
