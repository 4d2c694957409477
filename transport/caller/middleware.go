package caller

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"samphirehead/protocol/answer"
	"samphirehead/state/id"
)

// unreadBodyTimeout bounds how long net/http waits for the body of a request
// that is refused before its body is read.
const unreadBodyTimeout = time.Second

// responseWriter records whether the response was started and which workspace
// the request belongs to.
type responseWriter struct {
	http.ResponseWriter
	// started is set once the header or a part of the body is written.
	started bool
	// workspace is empty until the request is authenticated.
	workspace id.Workspace
}

func (r *responseWriter) WriteHeader(status int) {
	r.started = true
	r.ResponseWriter.WriteHeader(status)
}

func (r *responseWriter) Write(b []byte) (int, error) {
	r.started = true
	return r.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer, so that http.ResponseController can set
// the deadlines of the connection.
func (r *responseWriter) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// protect assigns each request an id, sets the read and write deadlines that
// stop slow clients, including those not authenticated yet, and recovers from
// panics of the handlers.
func (s *Server) protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w := &responseWriter{ResponseWriter: rw}
		w.Header().Set(HeaderRequestID, uuid.NewString())
		s.extendWriteDeadline(w)
		// For a request without a body, net/http reads from the connection in
		// the background to notice a disconnect. It would treat an expired
		// read deadline as a disconnect and cancel the request.
		if r.Body != http.NoBody {
			setReadTimeout(w, unreadBodyTimeout)
		}
		defer func() {
			if v := recover(); v != nil {
				s.handlePanic(w, v)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// setWorkspace records for the log which workspace the request belongs to.
func setWorkspace(w http.ResponseWriter, workspace id.Workspace) {
	if r, ok := w.(*responseWriter); ok {
		r.workspace = workspace
	}
}

// logRefusal logs a request that is refused before its class is known.
func logRefusal(w http.ResponseWriter, reason answer.Reason) {
	workspace := id.Workspace("")
	if r, ok := w.(*responseWriter); ok {
		workspace = r.workspace
	}
	klog.V(1).InfoS("request refused", "request", requestID(w), "workspace", workspace, "class", id.Class(""), "reason", reason)
}

// setReadTimeout bounds the time from now until the rest of the request's body
// has been read. net/http clears the deadline at the end of the body.
func setReadTimeout(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}

func requestID(w http.ResponseWriter) id.Request {
	return id.Request(w.Header().Get(HeaderRequestID))
}

// handlePanic ends a request whose handler panicked. The outcome is unknown,
// because the request may have been sent to an upstream. A response that was
// started is aborted, so that the caller can't mistake it for a complete one.
func (s *Server) handlePanic(w *responseWriter, v any) {
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		klog.ErrorS(fmt.Errorf("panic: %v", v), "request panicked", "request", requestID(w), "workspace", w.workspace, "stack", string(debug.Stack()))
	}
	if w.started {
		panic(http.ErrAbortHandler)
	}
	s.fail(w, answer.Unknown{Failure: answer.Failure{Reason: answer.ReasonInternal, Message: "internal error while handling the request"}})
}
