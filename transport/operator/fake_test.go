package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/operator"
)

const secret = "operator-secret"

// backend is an operator.Backend that keeps accepted manifests in memory.
type fakeHandler struct {
	revisions []operator.Revision
	yaml      []byte
	drained   []id.Instance
	// applyErr and applyResult are returned by Apply if one is set.
	applyErr     error
	applyResult  operator.ApplyResult
	historyLimit int
}

func (h *fakeHandler) Apply(_ context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (operator.ApplyResult, error) {
	if h.applyErr != nil || h.applyResult != nil {
		return h.applyResult, h.applyErr
	}
	current := id.ManifestVersion(len(h.revisions))
	if current > 0 && h.revisions[current-1].Operation == operation {
		return operator.Accepted{Version: current}, nil
	}
	if base != current {
		return operator.Conflict{Current: current, Difference: []manifest.Change{{Field: "f", Before: "1", After: "2"}}}, nil
	}
	h.accept(operation)
	h.yaml = yaml
	return operator.Accepted{Version: base + 1}, nil
}

func (h *fakeHandler) accept(operation id.Attempt) {
	h.revisions = append(h.revisions, operator.Revision{
		Version:   id.ManifestVersion(len(h.revisions) + 1),
		Operation: operation,
		Author:    "i1",
		AppliedAt: time.Unix(1, 0).UTC(),
	})
}

func (h *fakeHandler) Manifest(context.Context) (id.ManifestVersion, []byte, error) {
	if len(h.revisions) == 0 {
		return 0, nil, operator.ErrNoManifest
	}
	return id.ManifestVersion(len(h.revisions)), h.yaml, nil
}

func (h *fakeHandler) History(_ context.Context, limit int) ([]operator.Revision, error) {
	h.historyLimit = limit
	var newest []operator.Revision
	for i := len(h.revisions) - 1; i >= 0 && len(newest) < limit; i-- {
		newest = append(newest, h.revisions[i])
	}
	return newest, nil
}

func (h *fakeHandler) Status(context.Context) ([]operator.InstanceStatus, error) {
	return []operator.InstanceStatus{{Instance: "i1", FailureDomain: "d", State: operator.StateLive, ManifestVersion: 3, InFlight: 4}}, nil
}

func (h *fakeHandler) Drain(_ context.Context, instance id.Instance) error {
	if instance != "i1" {
		return operator.ErrUnknownInstance
	}
	h.drained = append(h.drained, instance)
	return nil
}

// serve starts a server for b and returns its address.
func serve(t *testing.T, h *fakeHandler) string {
	t.Helper()
	s := &operator.Server{Secret: secret, RequestHandler: h}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

var errInjected = errors.New("injected")

// faultyTransport injects one of faults into each POST request, in order. Later
// requests succeed.
type faultyTransport struct {
	faults []callFault
	// afterFault, if set, runs after each injected fault.
	afterFault func()
}

// callFault is a way for a call to fail.
type callFault string

const (
	// lostRequest fails before the request reaches the server.
	lostRequest callFault = "lost request"
	// lostResponse fails after the server has handled the request.
	lostResponse callFault = "lost response"
	// unavailable responds with 503 without calling the server.
	unavailable callFault = "unavailable"
	// gatewayTimeout responds with 504 after the server has handled the
	// request.
	gatewayTimeout callFault = "gateway timeout"
)

func (f *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method != http.MethodPost || len(f.faults) == 0 {
		return http.DefaultTransport.RoundTrip(r)
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	response, err := next.roundTrip(r)
	if f.afterFault != nil {
		f.afterFault()
	}
	return response, err
}

func (c callFault) roundTrip(r *http.Request) (*http.Response, error) {
	switch c {
	case lostRequest:
		return nil, errInjected
	case unavailable:
		return emptyResponse(r, http.StatusServiceUnavailable), nil
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	if c == gatewayTimeout {
		return emptyResponse(r, http.StatusGatewayTimeout), nil
	}
	return nil, errInjected
}

func emptyResponse(r *http.Request, code int) *http.Response {
	return &http.Response{StatusCode: code, Header: http.Header{}, Body: http.NoBody, Request: r}
}
