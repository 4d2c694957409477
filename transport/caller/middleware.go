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

// unreadTimeout bounds the wait for the body of a request that is refused
// without reading it.
const unreadBodyTimeout = time.Second

// response notes what is known of a request while it is answered.
type responseWriter struct {
	http.ResponseWriter
	// begun is set once a part of the answer was written.
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

// Unwrap lets http.ResponseController reach the connection.
func (r *responseWriter) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// guarded gives each request an id, bounds what a slow client can hold, also
// before it is authenticated, and outlives a panic.
func (s *Server) protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w := &responseWriter{ResponseWriter: rw}
		w.Header().Set(HeaderRequestID, uuid.NewString())
		s.extendWriteDeadline(w)
		// Without a body the server reads on to see the client go; a limit
		// would count as its going.
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

// noteWorkspace keeps whose request w answers, for the log.
func setWorkspace(w http.ResponseWriter, workspace id.Workspace) {
	if r, ok := w.(*responseWriter); ok {
		r.workspace = workspace
	}
}

// logRefusal writes the line of a request that ends before it has a class.
func logRefusal(w http.ResponseWriter, reason answer.Reason) {
	workspace := id.Workspace("")
	if r, ok := w.(*responseWriter); ok {
		workspace = r.workspace
	}
	klog.V(1).InfoS("request refused", "request", requestID(w), "workspace", workspace, "class", id.Class(""), "reason", reason)
}

// limitRead bounds from now on the reading of what is left of a request's body.
// At its end net/http lifts the limit by itself.
func setReadTimeout(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}

func requestID(w http.ResponseWriter) id.Request {
	return id.Request(w.Header().Get(HeaderRequestID))
}

// panicked ends a request whose handler panicked. What was sent by then is not
// known; an answer that has begun is cut, so that it can't pass for a whole one.
func (s *Server) handlePanic(w *responseWriter, v any) {
	if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		klog.ErrorS(fmt.Errorf("panic: %v", v), "request panicked", "request", requestID(w), "workspace", w.workspace, "stack", string(debug.Stack()))
	}
	if w.started {
		panic(http.ErrAbortHandler)
	}
	s.fail(w, answer.Unknown{Failure: answer.Failure{Reason: answer.ReasonInternal, Message: "the instance failed at this request"}})
}
