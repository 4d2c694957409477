// Package requestlog reads the log lines of routers and derives from them how a
// request was handled and why requests failed.
package requestlog

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
	// maxLineBytes bounds the length of one log line.
	maxLineBytes = 1 << 20
	// timeoutTolerance is how long before its timeout a caller may disconnect
	// and still count as timed out.
	timeoutTolerance = 50 * time.Millisecond
	// timeFormat is the layout of times in descriptions.
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
	Software       string        `json:"software,omitempty"`
	Resumes        string        `json:"resumes,omitempty"`
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

// Read reads log lines from r. Text before the JSON object of a line is ignored,
// and so are lines without a valid object. The name of the log is used in errors
// only.
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

// Trace lists the log lines that explain the end of one request, in time order.
type Trace struct {
	Request string  `json:"request"`
	Events  []Event `json:"events"`
	// Cause describes how the request ended, and why.
	Cause string `json:"cause"`
}

// Explain traces one request through the log lines of any number of instances.
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

// reasonTexts explains the reasons of ended requests.
var reasonTexts = map[string]string{
	"no_routes":        "the instance had no routes yet; the request did not run",
	"bad_request":      "the request header could not be parsed",
	"no_route":         "no route of the active version matches the host and path",
	"unknown_key":      "no workspace of the active version has the key",
	"body_too_large":   "the body exceeds the configured limit",
	"body_broken":      "the caller did not send the whole body",
	"instance_leaving": "the instance was draining and the request could not complete within its grace period; the request did not run",
	"quarantined":      "the request, or a part of its prompt, had crashed upstreams, and it was not sent to others",
	"no_upstream":      "no upstream of the service was left to try",
	"overloaded":       "requests ahead of it would have delayed its start beyond its objective; the request did not run",
	"upstream_limit":   "the upstreams that could run it take fewer requests than arrive, or asked for a pause; the request did not run",
	"origin_unknown":   "it goes on with a stream of which it is not known at which software version it began; the request did not run",
	"not_run":          "none of the upstreams tried ran the request",
	"timed_out":        "the deadline passed before an upstream had answered completely",
	"outcome_unknown":  "an upstream failed or gave no usable answer; the request may have run and could not be retried",
	"stream_broken":    "the upstream broke the stream, which could not be resumed at another",
	"caller_left":      "the caller disconnected",
}

// explainCause describes the end of a request by the last line that ends it. If
// there is none, it says where the log of the request breaks off.
func explainCause(events []Event) string {
	if len(events) == 0 {
		return "no log line: the request reached no instance whose log was read, or its lines were dropped"
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
	return fmt.Sprintf("the log of %s ends after %q at %s: the instance exited or lost power, and the request may have run",
		last.Instance, last.Message, cmp.Or(last.Upstream, "no upstream"))
}

func describeAnswer(e Event) string {
	text := fmt.Sprintf("upstream %s answered %d after %s", e.Upstream, e.Status, e.Elapsed.Round(time.Millisecond))
	if e.Events > 0 {
		text += fmt.Sprintf(", first event after %s, longest pause %s", e.FirstEvent.Round(time.Millisecond), e.LongestPause.Round(time.Millisecond))
	}
	return text
}

// callerTimeout returns how long the caller was going to wait for an answer; the
// maximum duration if no line contains it.
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
		text = "the timeout of the caller expired and it disconnected"
	}
	if e.Status > 0 {
		text = fmt.Sprintf("answered %d: %s", e.Status, text)
	}
	if e.Reason == "overloaded" {
		text += fmt.Sprintf("; expected start after %s", e.Expected.Round(time.Millisecond))
	}
	for _, f := range slices.Backward(events) {
		if f.Error != "" {
			return fmt.Sprintf("%s; last error at %s: %s", text, f.Upstream, f.Error)
		}
	}
	return text
}

// String returns the events in time order, one on each line, and the cause.
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
		text := fmt.Sprintf("received: route %s, service %s, workspace %s, urgency %d, routes version %d, timeout %s",
			e.Route, e.Service, e.Workspace, e.Urgency, e.Version, e.Remaining.Round(time.Millisecond))
		if e.Resumes != "" {
			text += ", goes on with the stream of " + e.Resumes
		}
		return text
	case "sent":
		return fmt.Sprintf("sent to %s, software %s, attempt %d, %s left: %s", e.Upstream, cmp.Or(e.Software, "unknown"), e.Attempt, e.Remaining.Round(time.Millisecond), e.choiceReason())
	case "retry budget spent":
		return fmt.Sprintf("not retried: %.0f retries to %s in the last window, %.1f allowed", e.RetriesSpent, e.Service, e.RetriesAllowed)
	case "attempt failed":
		return fmt.Sprintf("%s at %s after %s, status %d, retried: %t %s",
			e.Outcome, e.Upstream, e.Elapsed.Round(time.Millisecond), e.Status, e.Retried, e.Error)
	case "stream broken":
		return fmt.Sprintf("stream broken at %s after %d events and %s: %s", e.Upstream, e.Events, e.Elapsed.Round(time.Millisecond), e.Error)
	case "stream resumed":
		return fmt.Sprintf("stream resumed at %s: %s", e.Upstream, cmp.Or(e.Outcome, e.Error))
	case "answered":
		return describeAnswer(e)
	case "ended":
		return fmt.Sprintf("ended after %s: %s", e.Elapsed.Round(time.Millisecond), e.Reason)
	case "instance paused":
		return fmt.Sprintf("%s was paused for %s meanwhile", e.Instance, e.PausedFor.Round(time.Millisecond))
	case "upstream gone":
		return fmt.Sprintf("%s was removed from the usable upstreams at %s", e.Upstream, e.Time.Format(timeFormat))
	case "upstream judged":
		return fmt.Sprintf("%s was ejected at %s: %s", e.Upstream, e.Time.Format(timeFormat), e.Cause)
	}
	return e.Message
}

// choiceReason describes why the upstream was chosen.
func (e Event) choiceReason() string {
	if e.Expected == 0 {
		return fmt.Sprintf("least loaded, load reports from %d others, oldest %s", e.LoadReports, e.ReportAge.Round(time.Millisecond))
	}
	return fmt.Sprintf("choice %d by affinity, %d tokens to prefill, %d ahead, expected after %s, load reports from %d others, oldest %s",
		e.Rank+1, e.Prefill, e.PrefillAhead, e.Expected.Round(time.Millisecond), e.LoadReports, e.ReportAge.Round(time.Millisecond))
}
