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

// DefaultRetryPause separates the attempts of Apply.
const DefaultRetryDelay = 500 * time.Millisecond

// applyAttempts bounds the calls that one Apply makes.
const applyAttempts = 3

// Submission is a manifest to be applied.
type Submission struct {
	// Base is the version that the manifest was made against; 0 means none.
	Base id.ManifestVersion
	// YAML is the manifest.
	YAML []byte
	// Operation is new for each submission and the same for its repeats.
	Operation id.Attempt
	// Repeated says that an earlier Apply of the submission had no known
	// outcome.
	Repeated bool
}

// Apply submits a manifest. It repeats calls whose answer is lost, and returns
// Unknown where that settles nothing. An error means that nothing was
// accepted.
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

// applyFailure is a call without a result.
type applyError struct {
	// ambiguous says that the manifest may have been accepted.
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

// dialFailed says that no connection was made, so nothing was sent.
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

// ambiguous says that the answer leaves open whether the call took effect.
// Refusals, and 503 by the protocol, mean that it did not.
func (r *response) ambiguous() bool {
	refused := r.status >= 400 && r.status < 500
	return !refused && r.status != http.StatusServiceUnavailable
}

// settle decides what a conflict means after a call whose answer was lost:
// that call may have been accepted and then succeeded by another operator's.
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
