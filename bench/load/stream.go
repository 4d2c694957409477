package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"samphirehead/protocol/answer"
	"samphirehead/standin/engine"
)

const lineBufferSize = 16 << 10

// expectedDigest is the digest that a correct answer contains. The stand-ins
// compute it from the request, for service calls with GET from an empty body.
func (j Job) expectedDigest() string {
	if j.Stream.Model != "" {
		return engine.Digest(j.Prompt)
	}
	if j.Stream.Method == "GET" {
		return engine.Digest("")
	}
	return engine.Digest(j.Body)
}

// event is one event of a text/event-stream.
type event struct {
	id, name string
	data     []byte
}

// streamReader checks one streamed answer.
type streamReader struct {
	record  *Record
	attempt *Attempt
	digest  string
	// nextToken is the index of the next token in this answer.
	nextToken int
	// ended means that the stream ended with [DONE] or an error event.
	ended bool
}

// readStream reads and checks the events of a completion until the stream ends.
func (r *Record) readStream(a *Attempt, body io.Reader) {
	s := &streamReader{record: r, attempt: a, digest: r.Job.expectedDigest()}
	// A new answer replaces that of an earlier attempt.
	r.Tokens, r.TokenTimes = 0, nil
	a.Outcome = OutcomeFailed
	err := readEvents(body, s.handleEvent)
	switch {
	case s.ended:
	case err == nil:
		// The body ended cleanly, but with neither [DONE] nor an error.
		r.Truncated = true
	default:
		a.Broken = true
	}
}

// readEvents parses the stream and calls handle with each event. It returns
// nil when the stream ends at the end of a line.
func readEvents(body io.Reader, handle func(event)) error {
	reader := bufio.NewReaderSize(body, lineBufferSize)
	var e event
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil {
			return err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(e.data) > 0 {
				handle(e)
			}
			e = event{}
			continue
		}
		e.addLine(line)
	}
}

func (e *event) addLine(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		e.id = string(value)
	case "event":
		e.name = string(value)
	case "data":
		e.data = append(e.data, value...)
	}
}

func (s *streamReader) handleEvent(e event) {
	switch {
	case s.ended:
	case e.name == "error":
		s.ended = true
		s.attempt.parseError(e.data)
	case string(e.data) == "[DONE]":
		s.finish()
	case e.name == "outcome":
	default:
		s.handleToken(e)
	}
}

// finish handles [DONE]: it checks that all tokens of the answer were received.
func (s *streamReader) finish() {
	s.ended = true
	s.attempt.Outcome = answer.OutcomeCompleted
	if s.nextToken != s.record.Job.AnswerTokens {
		s.record.Truncated = true
	}
}

func (s *streamReader) handleToken(e event) {
	var chunk struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(e.data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return
	}
	content := chunk.Choices[0].Delta.Content
	if content == "" {
		return
	}
	wrongToken := e.id != strconv.Itoa(s.nextToken) || content != engine.Token(s.nextToken, s.digest)
	wrongRequest := s.attempt.RequestID != "" && chunk.ID != s.attempt.RequestID
	if wrongToken || wrongRequest {
		s.record.Crossed = true
		return
	}
	s.nextToken++
	s.record.addToken(time.Now())
}

func (r *Record) addToken(now time.Time) {
	if r.FirstToken == 0 {
		r.FirstToken = now.Sub(r.Sent)
	}
	r.Tokens++
	r.TokenTimes = append(r.TokenTimes, now)
}
