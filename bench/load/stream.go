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

// expectedDigest is what a right answer carries.
func (j Job) expectedDigest() string {
	if j.Stream.Model != "" {
		return engine.Digest(j.Prompt)
	}
	if j.Stream.Method == "GET" {
		return engine.Digest("")
	}
	return engine.Digest(j.Body)
}

// event is one server-sent event.
type event struct {
	id, name string
	data     []byte
}

// streamReader checks one streamed answer.
type streamReader struct {
	record  *Record
	attempt *Attempt
	digest  string
	// next is the index of the next token in this answer.
	nextToken int
	// ended says that the stream said how it ended.
	ended bool
}

// readStream reads and checks events up to the end of the stream.
func (r *Record) readStream(a *Attempt, body io.Reader) {
	s := &streamReader{record: r, attempt: a, digest: r.Job.expectedDigest()}
	// An answer that starts anew replaces an earlier attempt's.
	r.Tokens, r.TokenTimes = 0, nil
	a.Outcome = OutcomeFailed
	err := readEvents(body, s.handleEvent)
	switch {
	case s.ended:
	case err == nil:
		// A clean end that does not say whether the answer is whole.
		r.Truncated = true
	default:
		a.Broken = true
	}
}

// eachEvent parses the stream; it returns nil at its clean end.
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

// end checks that an answer that is called whole is whole.
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
