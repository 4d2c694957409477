package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/protocol/answer"
	"samphirehead/protocol/openai"
	"samphirehead/state/id"
)

func (s *Server) entries(w http.ResponseWriter, _ *http.Request, ws id.Workspace) {
	e := s.Backend.Entries(ws)
	urls := make([]string, len(e.Addresses))
	for i, a := range e.Addresses {
		urls[i] = "http://" + a
	}
	s.setHeaders(w, "")
	s.writeJSON(w, http.StatusOK, struct {
		Entries         []string           `json:"entries"`
		LifetimeMs      int64              `json:"lifetime_ms"`
		ManifestVersion id.ManifestVersion `json:"manifest_version"`
	}{urls, e.Lifetime.Milliseconds(), s.Backend.ManifestVersion()})
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request, ws id.Workspace) {
	arrived := time.Now()
	request := requestID(w)
	body, failure := s.readBody(w, r)
	if failure != nil {
		s.refuse(w, *failure)
		return
	}
	chat, err := openai.ParseChat(body)
	if err != nil {
		s.refuse(w, answer.Failure{Reason: answer.ReasonBadRequest, Message: err.Error()})
		return
	}
	g := Generation{
		Request:   request,
		Workspace: ws,
		Class:     id.Class(r.Header.Get(HeaderClass)),
		Chat:      chat,
		Arrived:   arrived,
	}
	if chat.Stream {
		s.stream(w, r, g)
		return
	}
	s.whole(w, r, g)
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *answer.Failure) {
	limitRead(w, s.BodyTimeout)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	// The time limit on reads stays, for what is left of the body.
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, &answer.Failure{Reason: answer.ReasonTooLarge, Message: "the body is larger than this instance takes"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &answer.Failure{Reason: answer.ReasonBadRequest, Message: "the body did not arrive in time"}
	}
	return nil, &answer.Failure{Reason: answer.ReasonBadRequest, Message: "the body could not be read"}
}

// stream answers with server-sent events.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, g Generation) {
	sink := &eventSink{server: s, w: w}
	result := s.Backend.Generate(r.Context(), g, sink)
	if !sink.begun {
		if _, whole := result.(answer.Completed); !whole {
			s.fail(w, result)
			return
		}
		sink.begin()
	}
	f, o := explain(result)
	if o != answer.OutcomeCompleted {
		sink.writeJSON("error", failureBody(f, o))
		return
	}
	sink.writeJSON("outcome", openai.Chunk{
		ID:      string(g.Request),
		Object:  "chat.completion.chunk",
		Created: g.Arrived.Unix(),
		Model:   string(g.Chat.Model),
		Choices: []openai.ChunkChoice{},
		Outcome: string(o),
	})
	_ = sink.write("", "", "[DONE]")
}

// whole answers with one object.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, g Generation) {
	sink := &wholeSink{}
	result := s.Backend.Generate(r.Context(), g, sink)
	if _, done := result.(answer.Completed); !done {
		s.fail(w, result)
		return
	}
	s.setHeaders(w, answer.OutcomeCompleted)
	s.writeJSON(w, http.StatusOK, sink.completion(g))
}

// wholeSink gathers an answer.
type wholeSink struct {
	text   strings.Builder
	usage  openai.Usage
	finish string
}

func (k *wholeSink) Deliver(ev openai.Event) error {
	k.text.WriteString(ev.Content)
	if ev.Usage != nil {
		k.usage = *ev.Usage
	}
	if ev.FinishReason != "" {
		k.finish = ev.FinishReason
	}
	return nil
}

func (k *wholeSink) completion(g Generation) openai.Completion {
	return openai.Completion{
		ID:      string(g.Request),
		Object:  "chat.completion",
		Created: g.Arrived.Unix(),
		Model:   string(g.Chat.Model),
		Choices: []openai.CompletionChoice{{
			Message:      openai.Message{Role: "assistant", Content: k.text.String()},
			FinishReason: k.finish,
		}},
		Usage: k.usage,
	}
}

// eventSink writes an answer as server-sent events.
type eventSink struct {
	server *Server
	w      http.ResponseWriter
	// begun is set once the response headers are written.
	begun bool
	// buf is reused for each event.
	buf []byte
}

func (k *eventSink) begin() {
	k.begun = true
	k.server.setHeaders(k.w, "")
	h := k.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	k.w.WriteHeader(http.StatusOK)
}

func (k *eventSink) Deliver(ev openai.Event) error {
	if !k.begun {
		k.begin()
	}
	return k.write(ev.ID(), "", ev.Data)
}

func (k *eventSink) write(sequence, event, data string) error {
	k.buf = k.buf[:0]
	if sequence != "" {
		k.buf = append(append(append(k.buf, "id: "...), sequence...), '\n')
	}
	if event != "" {
		k.buf = append(append(append(k.buf, "event: "...), event...), '\n')
	}
	k.buf = append(append(append(k.buf, "data: "...), data...), "\n\n"...)
	k.server.extendWriteDeadline(k.w)
	if _, err := k.w.Write(k.buf); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(http.NewResponseController(k.w).Flush(), "write to the caller")
}

func (k *eventSink) writeJSON(event string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_ = k.write("", event, string(data))
}
