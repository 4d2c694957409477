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
	e := s.RequestHandler.Entries(ws)
	urls := make([]string, len(e.Addresses))
	for i, a := range e.Addresses {
		urls[i] = "http://" + a
	}
	s.setHeaders(w, "")
	s.writeJSON(w, http.StatusOK, struct {
		Entries         []string           `json:"entries"`
		LifetimeMs      int64              `json:"lifetime_ms"`
		ManifestVersion id.ManifestVersion `json:"manifest_version"`
	}{urls, e.Lifetime.Milliseconds(), s.RequestHandler.ManifestVersion()})
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
	c := ChatCall{
		Request:   request,
		Workspace: ws,
		Class:     id.Class(r.Header.Get(HeaderClass)),
		Chat:      chat,
		Arrived:   arrived,
	}
	if chat.Stream {
		s.serveStream(w, r, c)
		return
	}
	s.serveCompletion(w, r, c)
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *answer.Failure) {
	setReadTimeout(w, s.BodyTimeout)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	// The read deadline stays set, so that it also bounds how long net/http
	// reads the rest of the body.
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, &answer.Failure{Reason: answer.ReasonTooLarge, Message: "the request body is larger than this instance accepts"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &answer.Failure{Reason: answer.ReasonBadRequest, Message: "the request body did not arrive in time"}
	}
	return nil, &answer.Failure{Reason: answer.ReasonBadRequest, Message: "the request body could not be read"}
}

// serveStream sends the answer as server-sent events. A failure after the
// response was started is sent as an "error" event.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, c ChatCall) {
	sink := &eventSink{server: s, w: w}
	result := s.RequestHandler.Generate(r.Context(), c, sink)
	if !sink.started {
		if _, completed := result.(answer.Completed); !completed {
			s.fail(w, result)
			return
		}
		sink.start()
	}
	failure, outcome := failureAndOutcome(result)
	if outcome != answer.OutcomeCompleted {
		sink.writeJSON("error", newErrorBody(failure, outcome))
		return
	}
	sink.writeJSON("outcome", openai.Chunk{
		ID:      string(c.Request),
		Object:  "chat.completion.chunk",
		Created: c.Arrived.Unix(),
		Model:   string(c.Chat.Model),
		Choices: []openai.ChunkChoice{},
		Outcome: string(outcome),
	})
	_ = sink.write("", "", "[DONE]")
}

// serveCompletion sends the answer as one JSON object once it is complete.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, c ChatCall) {
	sink := &completionSink{}
	result := s.RequestHandler.Generate(r.Context(), c, sink)
	if _, completed := result.(answer.Completed); !completed {
		s.fail(w, result)
		return
	}
	s.setHeaders(w, answer.OutcomeCompleted)
	s.writeJSON(w, http.StatusOK, sink.completion(c))
}

// completionSink collects the events of an answer for serveCompletion.
type completionSink struct {
	content      strings.Builder
	usage        openai.Usage
	finishReason string
}

func (s *completionSink) Deliver(ev openai.Event) error {
	s.content.WriteString(ev.Content)
	if ev.Usage != nil {
		s.usage = *ev.Usage
	}
	if ev.FinishReason != "" {
		s.finishReason = ev.FinishReason
	}
	return nil
}

func (s *completionSink) completion(c ChatCall) openai.Completion {
	return openai.Completion{
		ID:      string(c.Request),
		Object:  "chat.completion",
		Created: c.Arrived.Unix(),
		Model:   string(c.Chat.Model),
		Choices: []openai.CompletionChoice{{
			Message:      openai.Message{Role: "assistant", Content: s.content.String()},
			FinishReason: s.finishReason,
		}},
		Usage: s.usage,
	}
}

// eventSink writes each event of an answer as a server-sent event.
type eventSink struct {
	server *Server
	w      http.ResponseWriter
	// started is set once the response header is written.
	started bool
	// buf is reused for each event.
	buf []byte
}

func (s *eventSink) start() {
	s.started = true
	s.server.setHeaders(s.w, "")
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventSink) Deliver(ev openai.Event) error {
	if !s.started {
		s.start()
	}
	return s.write(ev.ID(), "", ev.Data)
}

func (s *eventSink) write(sequence, event, data string) error {
	s.buf = s.buf[:0]
	if sequence != "" {
		s.buf = append(append(append(s.buf, "id: "...), sequence...), '\n')
	}
	if event != "" {
		s.buf = append(append(append(s.buf, "event: "...), event...), '\n')
	}
	s.buf = append(append(append(s.buf, "data: "...), data...), "\n\n"...)
	s.server.extendWriteDeadline(s.w)
	if _, err := s.w.Write(s.buf); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(http.NewResponseController(s.w).Flush(), "write to the caller")
}

func (s *eventSink) writeJSON(event string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_ = s.write("", event, string(data))
}
