package operator

import (
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphirehead/state/document"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/settings"
)

// The number of revisions in a response, without and with a limit parameter.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// maxDrainBodyBytes bounds the body of a drain request.
const maxDrainBodyBytes = 4 << 10

// Server serves operators over HTTP. Its fields must be set before Handler is
// called.
type Server struct {
	// Secret is the bearer token that every request needs. If it is empty,
	// all requests are refused.
	Secret settings.Secret
	// Backend handles the requests; it must not be nil.
	RequestHandler RequestHandler
	// Metrics serves the metrics; nil means the handler of expvar.
	Metrics http.Handler
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	metrics := s.Metrics
	if metrics == nil {
		metrics = expvar.Handler()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathManifest, s.apply)
	mux.HandleFunc("GET "+pathManifest, s.serveManifest)
	mux.HandleFunc("GET "+pathHistory, s.history)
	mux.HandleFunc("GET "+pathStatus, s.status)
	mux.HandleFunc("POST "+pathDrain, s.drain)
	mux.Handle("GET "+pathMetrics, metrics)
	return s.authenticate(mux)
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if !strings.EqualFold(scheme, "Bearer") || !s.Secret.Matches(token) {
			// No more bytes are read from a client without the secret.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			w.Header().Set("Connection", "close")
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "the operator secret is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "base: want the number of the active version, or 0")
		return
	}
	operation := r.Header.Get(HeaderOperation)
	if err := document.CheckName(operation); err != nil {
		writeError(w, http.StatusBadRequest, HeaderOperation+": "+err.Error())
		return
	}
	yaml, ok := readBody(w, r, manifest.MaxSize)
	if !ok {
		return
	}
	result, err := s.RequestHandler.Apply(r.Context(), id.ManifestVersion(base), yaml, id.Attempt(operation))
	if err != nil {
		writeHandlerError(w, err)
		return
	}
	writeApplyResult(w, result)
}

func writeApplyResult(w http.ResponseWriter, result ApplyResult) {
	switch result := result.(type) {
	case Accepted:
		writeJSON(w, http.StatusOK, struct {
			Version id.ManifestVersion `json:"version"`
		}{result.Version})
	case Conflict:
		writeJSON(w, http.StatusConflict, struct {
			Current    id.ManifestVersion `json:"current"`
			Difference []manifest.Change  `json:"difference"`
		}{result.Current, nonNil(result.Difference)})
	case Invalid:
		writeJSON(w, http.StatusUnprocessableEntity, struct {
			Faults []manifest.Fault `json:"faults"`
		}{result.Faults})
	case Unknown:
		writeError(w, http.StatusGatewayTimeout, "the manifest may have been accepted: "+result.Cause)
	default:
		writeError(w, http.StatusInternalServerError, "the instance returned no result")
	}
}

func (s *Server) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, yaml, err := s.RequestHandler.Manifest(r.Context())
	if err != nil {
		writeHandlerError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set(HeaderManifestVersion, strconv.FormatUint(uint64(version), 10))
	_, _ = w.Write(yaml)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			writeError(w, http.StatusBadRequest, "limit: want a number from 1 to "+strconv.Itoa(maxHistoryLimit))
			return
		}
		limit = n
	}
	revisions, err := s.RequestHandler.History(r.Context(), limit)
	if err != nil {
		writeHandlerError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Revisions []Revision `json:"revisions"`
	}{nonNil(revisions)})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	instances, err := s.RequestHandler.Status(r.Context())
	if err != nil {
		writeHandlerError(w, err)
		return
	}
	for i := range instances {
		instances[i].Queued = nonNil(instances[i].Queued)
	}
	writeJSON(w, http.StatusOK, struct {
		Instances []InstanceStatus `json:"instances"`
	}{nonNil(instances)})
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxDrainBodyBytes)
	if !ok {
		return
	}
	var request struct {
		Instance id.Instance `json:"instance"`
	}
	if err := json.Unmarshal(body, &request); err != nil || request.Instance == "" {
		writeError(w, http.StatusBadRequest, `want {"instance": ID}`)
		return
	}
	if err := s.RequestHandler.Drain(r.Context(), request.Instance); err != nil {
		writeHandlerError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, request)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "the request body is too large")
		return nil, false
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "the request body could not be read")
		return nil, false
	}
	return body, true
}

func writeHandlerError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrUnknownInstance), errors.Is(err, ErrNoManifest):
		writeError(w, http.StatusNotFound, err.Error())
	default:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	}
}

func writeError(w http.ResponseWriter, status int, message string) {
	type detail struct {
		Message string `json:"message"`
	}
	writeJSON(w, status, struct {
		Error detail `json:"error"`
	}{detail{message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// nonNil replaces a nil list by an empty one, which JSON encodes as [].
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
