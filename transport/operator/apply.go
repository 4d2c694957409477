package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// DefaultRetryDelay is the delay between the attempts of Apply if the client
// sets no RetryDelay.
const DefaultRetryDelay = 500 * time.Millisecond

// applyAttempts bounds the attempts of one Apply.
const applyAttempts = 3

// Submission is a manifest to apply.
type Submission struct {
	// Base is the version that the manifest replaces; 0 means none. Apply
	// returns Conflict if another version is active.
	Base id.ManifestVersion
	// YAML is the text of the manifest.
	YAML []byte
	// Operation identifies the submission: a new one needs a new value, and
	// a retry has the same value.
	Operation id.Attempt
	// Repeated reports whether an earlier Apply of the same submission had
	// an unknown outcome.
	Repeated bool
}

// Apply submits a manifest. It retries calls whose response is lost, and
// returns Unknown if the outcome is still not known after that. An error means
// that the manifest was not accepted.
func (c *Client) Apply(ctx context.Context, s Submission) (ApplyResult, error) {
	var ambiguousErr error
	if s.Repeated {
		ambiguousErr = errors.New("the outcome of an earlier call is unknown")
	}
	for attempt := 1; ; attempt++ {
		result, err := c.applyOnce(ctx, s)
		if err == nil {
			return c.resolveConflict(ctx, s, result, ambiguousErr), nil
		}
		var applyErr *applyError
		if errors.As(err, &applyErr) && applyErr.ambiguous {
			ambiguousErr = err
		} else if ambiguousErr == nil {
			return nil, fault.Wrap("apply manifest", c.Address, err)
		}
		if attempt == applyAttempts || !c.waitForRetry(ctx) {
			return Unknown{Cause: fault.Wrap("apply manifest", c.Address, ambiguousErr).Error()}, nil
		}
	}
}

// applyError is the error of an attempt that got no ApplyResult.
type applyError struct {
	// ambiguous is set if the manifest may have been accepted.
	ambiguous bool
	cause     error
}

func (e *applyError) Error() string { return e.cause.Error() }
func (e *applyError) Unwrap() error { return e.cause }

func (c *Client) applyOnce(ctx context.Context, s Submission) (ApplyResult, error) {
	query := struct {
		Base id.ManifestVersion `url:"base"`
	}{s.Base}
	resp, err := c.call(ctx, c.request().
		Post(pathManifest).
		QueryStruct(query).
		Set("Content-Type", "application/yaml").
		Set(HeaderOperation, string(s.Operation)).
		Body(bytes.NewReader(s.YAML)))
	if err != nil {
		return nil, &applyError{ambiguous: !dialFailed(err), cause: err}
	}
	return resp.applyResult()
}

// dialFailed reports whether no connection could be opened. The request was not
// sent then.
func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (r *response) applyResult() (ApplyResult, error) {
	var body struct {
		Version    id.ManifestVersion `json:"version"`
		Current    id.ManifestVersion `json:"current"`
		Difference []manifest.Change  `json:"difference"`
		Faults     []manifest.Fault   `json:"faults"`
	}
	decodeErr := json.Unmarshal(r.body, &body)
	switch {
	case r.status == http.StatusOK && decodeErr == nil && body.Version > 0:
		return Accepted{Version: body.Version}, nil
	case r.status == http.StatusConflict && decodeErr == nil:
		return Conflict{Current: body.Current, Difference: body.Difference}, nil
	case r.status == http.StatusUnprocessableEntity && decodeErr == nil:
		return Invalid{Faults: body.Faults}, nil
	default:
		return nil, &applyError{ambiguous: r.ambiguous(), cause: r.err()}
	}
}

// ambiguous reports whether the manifest may have been accepted although the
// response carries no result. It was not accepted with a 4xx status, nor with
// 503, which the server sends only if nothing was written.
func (r *response) ambiguous() bool {
	refused := r.status >= 400 && r.status < 500
	return !refused && r.status != http.StatusServiceUnavailable
}

// resolveConflict looks up in the history whether an earlier attempt that ended
// with an ambiguous error was accepted. A conflict does not exclude that: another
// operator may have replaced the accepted version since. Results other than a
// conflict are returned as they are.
func (c *Client) resolveConflict(ctx context.Context, s Submission, result ApplyResult, ambiguousErr error) ApplyResult {
	conflict, isConflict := result.(Conflict)
	if !isConflict || ambiguousErr == nil {
		return result
	}
	revisions, err := c.History(ctx, maxHistoryLimit)
	if err != nil {
		ambiguousErr = err
	}
	for _, revision := range revisions {
		if revision.Operation == s.Operation {
			return Accepted{Version: revision.Version}
		}
		if revision.Version == s.Base+1 {
			return conflict
		}
	}
	return Unknown{Cause: ambiguousErr.Error()}
}

func (c *Client) waitForRetry(ctx context.Context) bool {
	delay := c.RetryDelay
	if delay == 0 {
		delay = DefaultRetryDelay
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}
