package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"samphirehead/protocol/answer"
	"samphirehead/protocol/openai"
)

// errorBody is the OpenAI error object with fields that the router adds.
type errorBody struct {
	Error   openai.Error   `json:"error"`
	Outcome answer.Outcome `json:"outcome"`
	// RetryAfterMs is 0 if a retry would not help.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

func newErrorBody(f answer.Failure, o answer.Outcome) errorBody {
	return errorBody{
		Error:        openai.Error{Message: f.Message, Type: errorType(f.Reason), Code: string(f.Reason)},
		Outcome:      o,
		RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
}

// errorType maps a reason to the error type that OpenAI clients expect.
func errorType(r answer.Reason) string {
	switch status := r.Status(); {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// refuse answers and logs a request of which nothing was sent to an upstream.
func (s *Server) refuse(w http.ResponseWriter, f answer.Failure) {
	logRefusal(w, f.Reason)
	var progress answer.Progress
	s.fail(w, progress.Fail(f))
}

// fail writes the error response for a result that is not Completed.
func (s *Server) fail(w http.ResponseWriter, result answer.Result) {
	failure, outcome := failureAndOutcome(result)
	s.setHeaders(w, outcome)
	if failure.RetryAfter > 0 {
		seconds := int(math.Ceil(failure.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	s.writeJSON(w, failure.Reason.Status(), newErrorBody(failure, outcome))
}

// failureAndOutcome returns why a result is not Completed, and its outcome. For
// Completed the failure is empty.
func failureAndOutcome(result answer.Result) (answer.Failure, answer.Outcome) {
	switch r := result.(type) {
	case answer.NotRun:
		return r.Failure(), answer.OutcomeNotRun
	case answer.Unknown:
		return r.Failure, answer.OutcomeUnknown
	default:
		return answer.Failure{}, answer.OutcomeCompleted
	}
}

func (s *Server) setHeaders(w http.ResponseWriter, o answer.Outcome) {
	version := uint64(s.RequestHandler.ManifestVersion())
	w.Header().Set(HeaderManifestVersion, strconv.FormatUint(version, 10))
	if o != "" {
		w.Header().Set(HeaderOutcome, string(o))
	}
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	s.extendWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller is gone and needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) extendWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.WriteTimeout))
}
