// Package openai defines the messages of the OpenAI chat completion protocol, as
// exchanged with callers and engines.
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

// bytesPerToken is used to estimate the tokens of a prompt from its length,
// because only the engine counts them.
const bytesPerToken = 4

// knownFields are the request fields that ParseChat decodes.
var knownFields = []string{"model", "stream", "max_tokens", "n", "messages"}

// ChatRequest is a caller's chat completion request. Body keeps the fields that
// ParseChat does not decode, so that they reach the engine.
type ChatRequest struct {
	// Model is never empty.
	Model id.Model
	// Stream says whether the caller wants server-sent events.
	Stream bool
	// MaxTokens bounds the tokens of the answer; 0 means no bound.
	MaxTokens id.Tokens
	// PromptTokens is an estimate from the length of the messages.
	PromptTokens id.Tokens
	// Messages holds the JSON of each message. It is never empty.
	Messages []json.RawMessage
	// Body is the JSON that is sent to the engine. It always asks for a stream.
	Body []byte
}

// Error is the error object of responses to callers. See the OpenAI API
// reference.
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

// ChunkChoice is the part of a choice that one chunk carries.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk appends to an answer.
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

// Completion is an answer that is not streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is one choice of a Completion.
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

// ParseChat decodes and validates a caller's request body. The error message
// names the invalid field and can be returned to the caller.
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
		return nil, errors.New("messages: must contain at least one message")
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

// checkMessages checks that each message is a JSON object, and returns the size
// of all messages in bytes.
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

// checkFieldNames rejects fields whose name differs from a known one by case
// only: encoding/json would decode them here, but an engine would ignore them.
func checkFieldNames(fields map[string]json.RawMessage) error {
	for name := range fields {
		lower := strings.ToLower(name)
		if lower != name && slices.Contains(knownFields, lower) {
			return errors.Newf("%s: must be written as %s", name, lower)
		}
	}
	return nil
}

// streamingBody returns a request body with each field once and stream set,
// because engines always stream their answers to the instance.
func streamingBody(fields map[string]json.RawMessage) ([]byte, error) {
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// Event is an event of a streamed answer, after the check that it belongs to the
// request and is the next one of the answer.
type Event struct {
	// Sequence is the index of the token in the whole answer, from 0.
	Sequence id.Tokens
	// Data is the JSON of the chunk.
	Data string
	// Content is the text that the chunk appends to the answer.
	Content string
	// Usage is only set in the last chunk, and optional there.
	Usage *Usage
	// FinishReason is empty before the last chunk.
	FinishReason string
}

// ID returns the id of the server-sent event, which is Sequence in decimal.
func (e Event) ID() string { return strconv.FormatInt(int64(e.Sequence), 10) }
