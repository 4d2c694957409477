package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/protocol/openai"
	"samphirehead/transport/engine"
)

// Bytes without end that are no events of the request end a stream: at once if
// they are too long for an event, otherwise like silence.
func TestEndlessBytesOfEngine(t *testing.T) {
	for name, c := range map[string]struct {
		part string
		err  error
	}{
		"no separator":        {strings.Repeat("x", 1000), engine.ErrBroken},
		"events of no answer": {"data: nothing\n\n", engine.ErrStalled},
		"another answer":      {`data: {"id":"other"}` + "\n\n", engine.ErrStalled},
		"comments":            {": comment\n\n", engine.ErrStalled},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for {
					if _, err := io.WriteString(w, c.part); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			client := &engine.Client{HTTP: engine.NewHTTPClient()}
			result, err := client.Stream(context.WithoutCancel(t.Context()), engine.Request{
				Address: strings.TrimPrefix(server.URL, "http://"), ID: "own", Attempt: 1,
				FirstTokenTimeout: 50 * time.Millisecond, TokenTimeout: time.Minute,
			}, func(openai.Event) error { return nil })
			if !errors.Is(err, c.err) || result.Next != 0 {
				t.Errorf("%+v, %v, want %v", result, err, c.err)
			}
		})
	}
}
