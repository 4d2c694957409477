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
	largestBody         = 4 << 20
	defaultAnswerTokens = 16
	bytesPerToken       = 4
)

type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`

	// parsed holds the messages after parse.
	parsed []message
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parse decodes a body with its messages.
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

// text returns all contents in order.
func (c *completionRequest) text() string {
	var b strings.Builder
	for _, m := range c.parsed {
		b.WriteString(m.Content)
	}
	return b.String()
}

// digest identifies the last user message.
func (c *completionRequest) digest() string {
	content := ""
	for _, m := range c.parsed {
		if m.Role == "user" {
			content = m.Content
		}
	}
	return Digest(content)
}

// Digest returns the hex of the first 8 bytes of the SHA-256 of a message.
func Digest(message string) string {
	sum := sha256.Sum256([]byte(message))
	return hex.EncodeToString(sum[:8])
}

// Token returns the token at index i of the answer to a message with the
// digest.
func Token(i int, digest string) string {
	return "t" + strconv.Itoa(i) + "." + digest + " "
}

// promptNumber reads NAME=N from a prompt; it returns otherwise if there is
// none.
func promptNumber(text, name string, otherwise int) int {
	at := strings.LastIndex(text, name+"=")
	if at < 0 {
		return otherwise
	}
	rest := text[at+len(name)+1:]
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		rest = rest[:end]
	}
	n, err := strconv.Atoi(rest)
	if err != nil {
		return otherwise
	}
	return n
}

// answer is what the handler needs to write an answer.
type answer struct {
	stream *stream
	model  string
	digest string
	// cut says that max_tokens shortens the answer.
	cut bool
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largestBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	var request completionRequest
	if err := request.parse(body); err != nil {
		writeError(w, http.StatusBadRequest, "bad body: "+err.Error())
		return
	}
	a := e.newAnswer(r, &request)
	if f, ok := e.Faults.Trigger(fault.Crash, string(body)); ok {
		e.recordAttempt(a)
		e.crash(f, a.stream.request)
		fault.DropConnection()
	}
	if !e.serves(request.Model) {
		writeError(w, http.StatusNotFound, "model is not loaded")
		return
	}
	e.recordAttempt(a)
	e.readPrefix(a.stream, &request)
	e.add(a.stream)
	if request.Stream {
		e.writeStream(w, r, a)
		return
	}
	e.writeWhole(w, r, a)
}

func (e *Engine) newAnswer(r *http.Request, request *completionRequest) answer {
	text := request.text()
	length := promptNumber(text, "answer_tokens", defaultAnswerTokens)
	cut := request.MaxTokens > 0 && request.MaxTokens < length
	if cut {
		length = request.MaxTokens
	}
	offset := min(max(headerNumber(r, "X-Resume-Offset"), 0), length)
	s := &stream{
		request:   r.Header.Get("X-Request-Id"),
		tier:      headerNumber(r, "X-Priority"),
		prompt:    promptNumber(text, "prompt_tokens", len(text)/bytesPerToken),
		length:    length,
		offset:    offset,
		notify:    make(chan struct{}, 1),
		generated: float64(offset),
		available: offset,
	}
	s.prefillLeft = float64(s.prompt + offset)
	s.attempt = &Attempt{
		Request:       s.request,
		Number:        headerNumber(r, "X-Attempt"),
		Model:         request.Model,
		Tier:          s.tier,
		PromptTokens:  s.prompt,
		ResumeOffset:  offset,
		ArrivedUnixUS: time.Now().UnixMicro(),
	}
	return answer{stream: s, model: request.Model, digest: request.digest(), cut: cut}
}

func headerNumber(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.Header.Get(name))
	if err != nil {
		return 0
	}
	return n
}

func (e *Engine) recordAttempt(a answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = append(e.attempts, a.stream.attempt)
}

// readPrefix shortens the prefill by what is cached.
func (e *Engine) readPrefix(s *stream, request *completionRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := e.cache.read(request.Model, request.Messages)
	s.prefillLeft -= share * float64(s.prompt)
}

// progress waits for more than next tokens or the end; it reports false when
// the caller has gone.
func (e *Engine) progress(r *http.Request, s *stream) (available int, ended End, ok bool) {
	select {
	case <-s.notify:
	case <-r.Context().Done():
		e.cancel(s)
		return 0, "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.available, s.ended, true
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, a answer) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", a.stream.request)
	next := a.stream.offset
	out := newChunkWriter(a)
	for {
		available, ended, ok := e.progress(r, a.stream)
		if !ok {
			return
		}
		if ended == EndCrashed || ended == EndCancelled {
			fault.DropConnection()
		}
		out.reset()
		for ; next < available; next++ {
			out.token(next)
		}
		if ended == EndCompleted {
			out.last()
		}
		if _, err := w.Write(out.buffer); err != nil {
			e.cancel(a.stream)
			return
		}
		if ended == EndCompleted {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// chunkWriter formats events into one buffer.
type chunkWriter struct {
	answer answer
	// opening is the JSON of a chunk up to the choices.
	opening string
	buffer  []byte
}

func newChunkWriter(a answer) *chunkWriter {
	id, _ := json.Marshal(a.stream.request)
	model, _ := json.Marshal(a.model)
	opening := fmt.Sprintf(`{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,"choices":[{"index":0,"delta":`,
		id, time.Now().Unix(), model)
	return &chunkWriter{answer: a, opening: opening}
}

func (c *chunkWriter) reset() { c.buffer = c.buffer[:0] }

func (c *chunkWriter) begin(sequence int) {
	c.buffer = append(c.buffer, "id: "...)
	c.buffer = strconv.AppendInt(c.buffer, int64(sequence), 10)
	c.buffer = append(c.buffer, "\ndata: "...)
	c.buffer = append(c.buffer, c.opening...)
}

func (c *chunkWriter) token(i int) {
	c.begin(i)
	c.buffer = append(c.buffer, `{"content":"`...)
	c.buffer = append(c.buffer, Token(i, c.answer.digest)...)
	c.buffer = append(c.buffer, "\"},\"finish_reason\":null}]}\n\n"...)
}

// last writes the chunk with the finish reason, whose sequence is the number
// of tokens, and the end of the stream.
func (c *chunkWriter) last() {
	c.begin(c.answer.stream.length)
	c.buffer = fmt.Appendf(c.buffer, "{},\"finish_reason\":%q}],\"usage\":%s}\n\ndata: [DONE]\n\n", c.answer.finishReason(), c.answer.usage())
}

func (a answer) finishReason() string {
	if a.cut {
		return "length"
	}
	return "stop"
}

func (a answer) usage() string {
	s := a.stream
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, s.prompt, s.length, s.prompt+s.length)
}

func (e *Engine) writeWhole(w http.ResponseWriter, r *http.Request, a answer) {
	for {
		_, ended, ok := e.progress(r, a.stream)
		if !ok {
			return
		}
		if ended == EndCrashed || ended == EndCancelled {
			fault.DropConnection()
		}
		if ended == EndCompleted {
			break
		}
	}
	var content strings.Builder
	for i := a.stream.offset; i < a.stream.length; i++ {
		content.WriteString(Token(i, a.digest))
	}
	id, _ := json.Marshal(a.stream.request)
	model, _ := json.Marshal(a.model)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", a.stream.request)
	_, _ = fmt.Fprintf(w, `{"id":%s,"object":"chat.completion","created":%d,"model":%s,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":%q}],"usage":%s}`,
		id, time.Now().Unix(), model, content.String(), a.finishReason(), a.usage())
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.batch.live[r.PathValue("request")]
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
