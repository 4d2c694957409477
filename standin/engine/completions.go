package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphirehead/standin/fault"
)

const (
	maxBodyBytes        = 4 << 20
	defaultAnswerTokens = 16
	bytesPerToken       = 4
)

type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`

	// parsed holds the decoded Messages once parse has returned.
	parsed []message
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parse decodes a request body and the messages in it.
func (c *completionRequest) parse(body []byte) error {
	if err := json.Unmarshal(body, c); err != nil {
		return err
	}
	c.parsed = make([]message, len(c.Messages))
	for i, raw := range c.Messages {
		if err := json.Unmarshal(raw, &c.parsed[i]); err != nil {
			return err
		}
	}
	return nil
}

// text returns the contents of all messages, concatenated.
func (c *completionRequest) text() string {
	var b strings.Builder
	for _, m := range c.parsed {
		b.WriteString(m.Content)
	}
	return b.String()
}

// digest returns the digest of the last user message.
func (c *completionRequest) digest() string {
	content := ""
	for _, m := range c.parsed {
		if m.Role == "user" {
			content = m.Content
		}
	}
	return Digest(content)
}

// Digest returns the first 8 bytes of the SHA-256 of a message in hexadecimal.
func Digest(message string) string {
	sum := sha256.Sum256([]byte(message))
	return hex.EncodeToString(sum[:8])
}

// Token returns token i, counted from 0, of the answer to the message with the
// given digest.
func Token(i int, digest string) string {
	return "t" + strconv.Itoa(i) + "." + digest + " "
}

// promptParameter returns the number N of the last NAME=N in a prompt, or
// fallback if there is none.
func promptParameter(text, name string, fallback int) int {
	start := strings.LastIndex(text, name+"=")
	if start < 0 {
		return fallback
	}
	rest := text[start+len(name)+1:]
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		rest = rest[:end]
	}
	n, err := strconv.Atoi(rest)
	if err != nil {
		return fallback
	}
	return n
}

// completion holds what a handler needs to write a response.
type completion struct {
	stream *stream
	model  string
	digest string
	// truncated says that max_tokens shortens the answer.
	truncated bool
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	var request completionRequest
	if err := request.parse(body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid request body: "+err.Error())
		return
	}
	c := e.newCompletion(r, &request)
	if f, ok := e.Faults.Trigger(fault.Crash, string(body)); ok {
		e.recordAttempt(c)
		e.crash(f, c.stream.requestID)
		fault.DropConnection()
	}
	if !e.hasModel(request.Model) {
		writeError(w, http.StatusNotFound, "model is not loaded")
		return
	}
	e.recordAttempt(c)
	e.applyPrefixCache(c.stream, &request)
	e.add(c.stream)
	if request.Stream {
		e.writeStream(w, r, c)
		return
	}
	e.writeNonStreaming(w, r, c)
}

func (e *Engine) newCompletion(r *http.Request, request *completionRequest) completion {
	text := request.text()
	answerTokens := promptParameter(text, "answer_tokens", defaultAnswerTokens)
	truncated := request.MaxTokens > 0 && request.MaxTokens < answerTokens
	if truncated {
		answerTokens = request.MaxTokens
	}
	resumeOffset := min(max(headerInt(r, "X-Resume-Offset"), 0), answerTokens)
	s := &stream{
		requestID:    r.Header.Get("X-Request-Id"),
		tier:         headerInt(r, "X-Priority"),
		promptTokens: promptParameter(text, "prompt_tokens", len(text)/bytesPerToken),
		answerTokens: answerTokens,
		resumeOffset: resumeOffset,
		notify:       make(chan struct{}, 1),
		generated:    float64(resumeOffset),
		available:    resumeOffset,
	}
	s.prefillRemaining = float64(s.promptTokens + resumeOffset)
	s.attempt = &Attempt{
		Request:       s.requestID,
		Number:        headerInt(r, "X-Attempt"),
		Model:         request.Model,
		Tier:          s.tier,
		PromptTokens:  s.promptTokens,
		ResumeOffset:  resumeOffset,
		ArrivedUnixUS: time.Now().UnixMicro(),
	}
	return completion{stream: s, model: request.Model, digest: request.digest(), truncated: truncated}
}

func headerInt(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return 0
	}
	return n
}

func (e *Engine) recordAttempt(c completion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, c.stream.attempt)
}

// applyPrefixCache shortens the prefill by the share of the prompt that is cached.
func (e *Engine) applyPrefixCache(s *stream, request *completionRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := e.cache.lookUpAndStore(request.Model, request.Messages)
	s.prefillRemaining -= share * float64(s.promptTokens)
}

// waitForProgress waits until the stream has generated tokens or ended. If the
// client disconnects first, it cancels the stream and ok is false.
func (e *Engine) waitForProgress(r *http.Request, s *stream) (available int, endReason EndReason, ok bool) {
	select {
	case <-s.notify:
	case <-r.Context().Done():
		e.cancel(s)
		return 0, "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.available, s.endReason, true
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, c completion) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", c.stream.requestID)
	next := c.stream.resumeOffset
	chunks := newChunkWriter(c)
	for {
		available, endReason, ok := e.waitForProgress(r, c.stream)
		if !ok {
			return
		}
		if endReason == EndCrashed || endReason == EndCancelled {
			fault.DropConnection()
		}
		chunks.reset()
		for ; next < available; next++ {
			chunks.appendToken(next)
		}
		if endReason == EndCompleted {
			chunks.appendLast()
		}
		if _, err := w.Write(chunks.buffer); err != nil {
			e.cancel(c.stream)
			return
		}
		if endReason == EndCompleted {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// chunkWriter formats server-sent events, one per token, in a buffer.
type chunkWriter struct {
	completion completion
	// prefix is the JSON of a chunk up to the delta of its choice.
	prefix string
	buffer []byte
}

func newChunkWriter(c completion) *chunkWriter {
	id, _ := json.Marshal(c.stream.requestID)
	model, _ := json.Marshal(c.model)
	prefix := fmt.Sprintf(`{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,"choices":[{"index":0,"delta":`,
		id, time.Now().Unix(), model)
	return &chunkWriter{completion: c, prefix: prefix}
}

func (c *chunkWriter) reset() { c.buffer = c.buffer[:0] }

func (c *chunkWriter) beginEvent(eventID int) {
	c.buffer = append(c.buffer, "id: "...)
	c.buffer = strconv.AppendInt(c.buffer, int64(eventID), 10)
	c.buffer = append(c.buffer, "\ndata: "...)
	c.buffer = append(c.buffer, c.prefix...)
}

func (c *chunkWriter) appendToken(i int) {
	c.beginEvent(i)
	c.buffer = append(c.buffer, `{"content":"`...)
	c.buffer = append(c.buffer, Token(i, c.completion.digest)...)
	c.buffer = append(c.buffer, "\"},\"finish_reason\":null}]}\n\n"...)
}

// appendLast adds the chunk with the finish reason, whose event ID is the length
// of the answer, and the [DONE] marker.
func (c *chunkWriter) appendLast() {
	c.beginEvent(c.completion.stream.answerTokens)
	c.buffer = fmt.Appendf(c.buffer, "{},\"finish_reason\":%q}],\"usage\":%s}\n\ndata: [DONE]\n\n", c.completion.finishReason(), c.completion.usage())
}

func (c completion) finishReason() string {
	if c.truncated {
		return "length"
	}
	return "stop"
}

func (c completion) usage() string {
	s := c.stream
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, s.promptTokens, s.answerTokens, s.promptTokens+s.answerTokens)
}

func (e *Engine) writeNonStreaming(w http.ResponseWriter, r *http.Request, c completion) {
	for {
		_, endReason, ok := e.waitForProgress(r, c.stream)
		if !ok {
			return
		}
		if endReason == EndCrashed || endReason == EndCancelled {
			fault.DropConnection()
		}
		if endReason == EndCompleted {
			break
		}
	}
	var content strings.Builder
	for i := c.stream.resumeOffset; i < c.stream.answerTokens; i++ {
		content.WriteString(Token(i, c.digest))
	}
	id, _ := json.Marshal(c.stream.requestID)
	model, _ := json.Marshal(c.model)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", c.stream.requestID)
	_, _ = fmt.Fprintf(w, `{"id":%s,"object":"chat.completion","created":%d,"model":%s,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":%q}],"usage":%s}`,
		id, time.Now().Unix(), model, content.String(), c.finishReason(), c.usage())
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.batch.byRequestID[r.PathValue("request")]
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such request")
		return
	}
	e.cancel(s)
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, struct {
		Error struct {
			Message string `json:"message"`
			Type    string `json:"type"`
		} `json:"error"`
	}{struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}{message, "engine_error"}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
