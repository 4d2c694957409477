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

const lineBuffer = 16 << 10

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
	record *Record
	told   *Told
	digest string
	// next is the index of the next token in this answer.
	next int
	// ended says that the stream said how it ended.
	ended bool
}

// readStream reads and checks events up to the end of the stream.
func (r *Record) readStream(t *Told, body io.Reader) {
	s := &streamReader{record: r, told: t, digest: r.Job.expectedDigest()}
	// An answer that starts anew replaces an earlier attempt's.
	r.Tokens, r.TokenTimes = 0, nil
	t.Outcome = OutcomeFailed
	err := eachEvent(body, s.take)
	switch {
	case s.ended:
	case err == nil:
		// A clean end that does not say whether the answer is whole.
		r.Truncated = true
	default:
		t.Broken = true
	}
}

// eachEvent parses the stream; it returns nil at its clean end.
func eachEvent(body io.Reader, take func(event)) error {
	reader := bufio.NewReaderSize(body, lineBuffer)
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
				take(e)
			}
			e = event{}
			continue
		}
		e.add(line)
	}
}

func (e *event) add(line []byte) {
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

func (s *streamReader) take(e event) {
	switch {
	case s.ended:
	case e.name == "error":
		s.ended = true
		s.told.takeFailure(e.data)
	case string(e.data) == "[DONE]":
		s.end()
	case e.name == "outcome":
	default:
		s.token(e)
	}
}

// end checks that an answer that is called whole is whole.
func (s *streamReader) end() {
	s.ended = true
	s.told.Outcome = answer.OutcomeCompleted
	if s.next != s.record.Job.AnswerTokens {
		s.record.Truncated = true
	}
}

func (s *streamReader) token(e event) {
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
	wrongPlace := e.id != strconv.Itoa(s.next) || content != engine.Token(s.next, s.digest)
	wrongRequest := s.told.Request != "" && chunk.ID != s.told.Request
	if wrongPlace || wrongRequest {
		s.record.Crossed = true
		return
	}
	s.next++
	s.record.addToken(time.Now())
}

func (r *Record) addToken(now time.Time) {
	if r.FirstToken == 0 {
		r.FirstToken = now.Sub(r.Sent)
	}
	r.Tokens++
	r.TokenTimes = append(r.TokenTimes, now)
}
