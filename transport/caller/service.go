package caller

import (
	"net/http"
	"time"

	"samphirehead/protocol/answer"
	"samphirehead/state/id"
)

// forwardedHeaders are the response headers of a plain service that are
// forwarded to the caller.
var forwardedHeaders = []string{"Content-Type", "Location", "Etag", "Last-Modified", "Retry-After"}

func (s *Server) call(w http.ResponseWriter, r *http.Request, ws id.Workspace) {
	arrived := time.Now()
	request := requestID(w)
	body, failure := s.readBody(w, r)
	if failure != nil {
		s.refuse(w, *failure)
		return
	}
	result, reply := s.RequestHandler.Call(r.Context(), ServiceCall{
		Request:        request,
		Workspace:      ws,
		Service:        id.Service(r.PathValue("service")),
		Method:         r.Method,
		Path:           "/" + r.PathValue("path"),
		Query:          r.URL.RawQuery,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Repeat:         r.Header.Get(HeaderRepeat) == "true",
		Header:         r.Header,
		Body:           body,
		Arrived:        arrived,
	})
	s.writeServiceAnswer(w, result, reply)
}

// outcome answers with the outcome of an earlier at-most-once call, without
// running it.
func (s *Server) outcome(w http.ResponseWriter, r *http.Request, ws id.Workspace) {
	q := r.URL.Query()
	result, reply := s.RequestHandler.Outcome(r.Context(), ServiceCall{
		Request:        requestID(w),
		Workspace:      ws,
		Service:        id.Service(q.Get("service")),
		Method:         q.Get("method"),
		Path:           q.Get("path"),
		IdempotencyKey: r.PathValue("key"),
		Arrived:        time.Now(),
	})
	s.writeServiceAnswer(w, result, reply)
}

func (s *Server) writeServiceAnswer(w http.ResponseWriter, result answer.Result, reply ServiceAnswer) {
	if _, completed := result.(answer.Completed); !completed {
		s.fail(w, result)
		return
	}
	for _, name := range forwardedHeaders {
		if v := reply.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	s.setHeaders(w, answer.OutcomeCompleted)
	s.extendWriteDeadline(w)
	w.WriteHeader(reply.Status)
	// A write error means that the caller is gone. It can still ask for the
	// outcome of an at-most-once call, which is stored.
	_, _ = w.Write(reply.Body)
}
