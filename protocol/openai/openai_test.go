package openai_test

import (
	"encoding/json"
	"strings"
	"testing"

	"samphirehead/protocol/openai"
)

func TestParseChatErrorNamesField(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"no model", `{"messages":[{}]}`, "model"},
		{"model of a wrong type", `{"model":1,"messages":[{}]}`, "model"},
		{"no messages", `{"model":"m"}`, "messages"},
		{"message of a wrong type", `{"model":"m","messages":[{},7]}`, "messages[1]"},
		{"negative bound", `{"model":"m","messages":[{}],"max_tokens":-1}`, "max_tokens"},
		{"several answers", `{"model":"m","messages":[{}],"n":2}`, "n:"},
		{"name in another case", `{"model":"m","messages":[{}],"Stream":true}`, "Stream"},
		{"cut short", `{"model":"m","mess`, "not a chat completion request"},
	} {
		_, err := openai.ParseChat([]byte(c.body))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v does not name %q", c.name, err, c.want)
		}
	}
}

// TestUnknownFieldsReachTheEngine checks that what the router does not know is
// not lost when a whole answer is asked for.
func TestUnknownFieldsReachTheEngine(t *testing.T) {
	chat, err := openai.ParseChat([]byte(`{"model":"m","temperature":0.5,"messages":[{"role":"user","content":"a"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	var body struct {
		Temperature float64 `json:"temperature"`
		Stream      bool    `json:"stream"`
	}
	if err := json.Unmarshal(chat.Body, &body); err != nil {
		t.Fatal(err)
	}
	if body.Temperature != 0.5 || !body.Stream {
		t.Errorf("the engine gets %s", chat.Body)
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{}],"n":1,"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","model":"","messages":[null]}`))
	f.Add([]byte("\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := openai.ParseChat(body)
		if err != nil {
			return
		}
		if chat.Model == "" || len(chat.Messages) == 0 || chat.PromptTokens <= 0 {
			t.Fatalf("accepted %q as %+v", body, chat)
		}
		reparsed, err := openai.ParseChat(chat.Body)
		if err != nil {
			t.Fatalf("the body for the engine is not accepted: %v", err)
		}
		if !reparsed.Stream || reparsed.Model != chat.Model {
			t.Fatalf("the engine gets %q for %q", chat.Body, body)
		}
	})
}
