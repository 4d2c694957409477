// Package openai holds the messages of the OpenAI-style chat completion
// protocol that callers and engines speak.
package openai

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
)

// bytesPerToken estimates the length of a prompt before an engine counts it.
const bytesPerToken = 4

// knownFields are the names that ParseChat reads.
var knownFields = []string{"model", "stream", "max_tokens", "n", "messages"}

// ChatRequest is a caller's request. Fields that the router does not know stay
// in Body and reach the engine.
type ChatRequest struct {
	// Model is never empty.
	Model id.Model
	// Stream says whether the caller wants server-sent events.
	Stream bool
	// MaxTokens bounds the answer; 0 means no bound.
	MaxTokens id.Tokens
	// PromptTokens is estimated from the length of the messages.
	PromptTokens id.Tokens
	// Messages holds the raw JSON of each message, at least one.
	Messages []json.RawMessage
	// Body is the request as an engine gets it: always streamed.
	Body []byte
}

// Error is the error object that callers get. See the OpenAI API reference.
type Error struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// Outcome is set by the router in the last event of a stream.
	Outcome string `json:"outcome,omitempty"`
}

// ChunkChoice is the piece of one answer in a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is text that is added to an answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     id.Tokens `json:"prompt_tokens"`
	CompletionTokens id.Tokens `json:"completion_tokens"`
	TotalTokens      id.Tokens `json:"total_tokens"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is one answer of a Completion.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ParseChat decodes and checks a caller's request body. The error's text names
// the field at fault and is fit for the caller.
func ParseChat(body []byte) (*ChatRequest, error) {
	var in struct {
		Model     id.Model          `json:"model"`
		Stream    bool              `json:"stream"`
		MaxTokens id.Tokens         `json:"max_tokens"`
		N         *int              `json:"n"`
		Messages  []json.RawMessage `json:"messages"`
	}
	var fields map[string]json.RawMessage
	err := errors.CombineErrors(json.Unmarshal(body, &in), json.Unmarshal(body, &fields))
	if err != nil {
		return nil, errors.Wrap(err, "the body is not a chat completion request")
	}
	if err := checkFieldNames(fields); err != nil {
		return nil, err
	}
	if in.Model == "" {
		return nil, errors.New("model: must be given")
	}
	if in.MaxTokens < 0 {
		return nil, errors.New("max_tokens: must not be negative")
	}
	if in.N != nil && *in.N != 1 {
		return nil, errors.New("n: only 1 is supported")
	}
	if len(in.Messages) == 0 {
		return nil, errors.New("messages: must hold at least one message")
	}
	size, err := checkMessages(in.Messages)
	if err != nil {
		return nil, err
	}
	engineBody, err := streamingBody(fields)
	if err != nil {
		return nil, err
	}
	return &ChatRequest{
		Model:        in.Model,
		Stream:       in.Stream,
		MaxTokens:    in.MaxTokens,
		PromptTokens: id.Tokens(size/bytesPerToken + 1),
		Messages:     in.Messages,
		Body:         engineBody,
	}, nil
}

// checkMessages returns the size of all messages in bytes.
func checkMessages(messages []json.RawMessage) (int, error) {
	size := 0
	for i, m := range messages {
		trimmed := bytes.TrimSpace(m)
		if len(trimmed) == 0 || trimmed[0] != '{' {
			return 0, errors.Newf("messages[%d]: must be an object", i)
		}
		size += len(trimmed)
	}
	return size, nil
}

// checkNames refuses names that differ from a known one by case alone: the
// router would read them and an engine would not.
func checkFieldNames(fields map[string]json.RawMessage) error {
	for name := range fields {
		lower := strings.ToLower(name)
		if lower != name && slices.Contains(knownFields, lower) {
			return errors.Newf("%s: must be written %s", name, lower)
		}
	}
	return nil
}

// asStream returns a body with each field once and the stream field set, since
// answers are always streamed between engine and entry.
func streamingBody(fields map[string]json.RawMessage) ([]byte, error) {
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// Event is one verified piece of an answer.
type Event struct {
	// Sequence is the index of the token in the whole answer.
	Sequence id.Tokens
	// Data is the chunk's JSON.
	Data string
	// Content is the text that the chunk adds.
	Content string
	// Usage is set in the last chunk, if at all.
	Usage *Usage
	// FinishReason is empty before the last chunk.
	FinishReason string
}

// SequenceText returns the sequence as an event id.
func (e Event) ID() string { return strconv.FormatInt(int64(e.Sequence), 10) }
