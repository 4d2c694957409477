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

// backend keeps accepted manifests in memory.
type backend struct {
	revisions []operator.Revision
	yaml      []byte
	drained   []id.Instance
	// applyErr and applyResult replace the result of Apply, if set.
	applyErr     error
	applyResult  operator.ApplyResult
	historyLimit int
}

func (b *backend) Apply(_ context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (operator.ApplyResult, error) {
	if b.applyErr != nil || b.applyResult != nil {
		return b.applyResult, b.applyErr
	}
	current := id.ManifestVersion(len(b.revisions))
	if current > 0 && b.revisions[current-1].Operation == operation {
		return operator.Accepted{Version: current}, nil
	}
	if base != current {
		return operator.Conflict{Current: current, Difference: []manifest.Change{{Field: "f", Before: "1", After: "2"}}}, nil
	}
	b.accept(operation)
	b.yaml = yaml
	return operator.Accepted{Version: base + 1}, nil
}

func (b *backend) accept(operation id.Attempt) {
	b.revisions = append(b.revisions, operator.Revision{
		Version:   id.ManifestVersion(len(b.revisions) + 1),
		Operation: operation,
		Author:    "i1",
		AppliedAt: time.Unix(1, 0).UTC(),
	})
}

func (b *backend) Manifest(context.Context) (id.ManifestVersion, []byte, error) {
	if len(b.revisions) == 0 {
		return 0, nil, operator.ErrNoManifest
	}
	return id.ManifestVersion(len(b.revisions)), b.yaml, nil
}

func (b *backend) History(_ context.Context, limit int) ([]operator.Revision, error) {
	b.historyLimit = limit
	var newest []operator.Revision
	for i := len(b.revisions) - 1; i >= 0 && len(newest) < limit; i-- {
		newest = append(newest, b.revisions[i])
	}
	return newest, nil
}

func (b *backend) Status(context.Context) ([]operator.InstanceStatus, error) {
	return []operator.InstanceStatus{{Instance: "i1", FailureDomain: "d", State: operator.StateLive, ManifestVersion: 3, InFlight: 4}}, nil
}

func (b *backend) Drain(_ context.Context, instance id.Instance) error {
	if instance != "i1" {
		return operator.ErrUnknownInstance
	}
	b.drained = append(b.drained, instance)
	return nil
}

// serve starts a server for b and returns its address.
func serve(t *testing.T, b *backend) string {
	t.Helper()
	s := &operator.Server{Secret: secret, Backend: b}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

var errInjected = errors.New("injected")

// faulty injects one fault into each call to apply, in order; later calls are
// sound.
type faultyTransport struct {
	faults []callFault
	// after runs after each faulty call.
	afterFault func()
}

// callFault says how a call fails.
type callFault string

const (
	// lostRequest fails before anything reaches the server.
	lostRequest callFault = "lost request"
	// lostAnswer fails after the server has done its work.
	lostResponse callFault = "lost answer"
	// unavailable answers 503 without calling the server.
	unavailable callFault = "unavailable"
	// gatewayTimeout answers 504 after the server has done its work.
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
