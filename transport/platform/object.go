package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/transport/bound"
	"samphirehead/transport/framing"
)

const (
	stepPutObject = "put object"
	stepGetObject = "get object"
	stepInstances = "list instances"
	stepRegister  = "register instance"
	stepWithdraw  = "withdraw instance"
	stepWeights   = "get weights"

	maxObjectBytes = 64 << 20
	// listTimeout bounds a call for the instance list.
	listTimeout = 2 * time.Second
)

// ErrExists marks a conditional put of an object that exists already.
var ErrExists = errors.New("object exists")

// PutObject creates an object. If the object exists already, the error is marked
// ErrExists. After any other error, the object may or may not have been created.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	c.init()
	call := c.objectRequest().Put(objectPath(name)).Set("If-None-Match", "*").Body(bytes.NewReader(body))
	result := c.do(ctx, c.objectBreaker, call, nil, nil)
	if result.status == http.StatusPreconditionFailed {
		return fault.Wrap(stepPutObject, c.Address, ErrExists)
	}
	if result.err != nil || result.status >= http.StatusMultipleChoices {
		return c.callError(stepPutObject, result)
	}
	return nil
}

// GetObject returns the body of an object, at most 64 MiB. If the object does not
// exist, the error is marked ErrNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	c.init()
	var body []byte
	call := c.objectRequest().Get(objectPath(name)).ResponseDecoder(bytesDecoder{})
	result := c.do(ctx, c.objectBreaker, call, &body, nil)
	if result.err != nil || result.status != http.StatusOK {
		return nil, c.callError(stepGetObject, result)
	}
	return body, nil
}

func objectPath(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

// bytesDecoder stores a response body unchanged in a *[]byte.
type bytesDecoder struct{}

// Decode reads the body of r into v, which must be a *[]byte. It returns an error
// if the body is larger than maxObjectBytes, and bound.ErrUnframed if a part of it
// would look complete.
func (bytesDecoder) Decode(r *http.Response, v any) error {
	dst, ok := v.(*[]byte)
	if !ok {
		return errors.Newf("cannot decode into %T", v)
	}
	if framing.Of(r) == framing.Connection {
		return bound.ErrUnframed
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxObjectBytes {
		return errors.New("body too large")
	}
	*dst = body
	return nil
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The values of InstanceState. A leaving instance is draining and will exit.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	Instance      id.Instance      `json:"instance"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Region        id.Region        `json:"region"`
	// CallerAddress and PeerAddress are an IP address and TCP port each.
	CallerAddress string        `json:"caller_address"`
	PeerAddress   string        `json:"peer_address"`
	State         InstanceState `json:"state"`
}

// Instances returns the platform's list of instances, which may be out of date,
// and the time as of which it is correct.
func (c *Client) Instances(ctx context.Context) ([]Instance, time.Time, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var list struct {
		AsOfMS    int64      `json:"as_of_ms"`
		Instances []Instance `json:"instances"`
	}
	result := c.do(ctx, c.objectBreaker, c.objectRequest().Get("/v1/instances"), &list, nil)
	if result.err != nil || result.status != http.StatusOK {
		return nil, time.Time{}, c.callError(stepInstances, result)
	}
	return list.Instances, time.UnixMilli(list.AsOfMS), nil
}

// Register adds an instance to the platform's list or replaces its entry. It is
// for platforms that do not list instances by themselves.
func (c *Client) Register(ctx context.Context, i Instance) error {
	c.init()
	call := c.objectRequest().Put("/v1/instances/" + url.PathEscape(string(i.Instance))).BodyJSON(i)
	result := c.do(ctx, c.objectBreaker, call, nil, nil)
	if result.err != nil || result.status >= http.StatusMultipleChoices {
		return c.callError(stepRegister, result)
	}
	return nil
}

// Withdraw removes an instance from the platform's list.
func (c *Client) Withdraw(ctx context.Context, i id.Instance) error {
	c.init()
	result := c.do(ctx, c.objectBreaker, c.objectRequest().Delete("/v1/instances/"+url.PathEscape(string(i))), nil, nil)
	if result.err != nil || result.status >= http.StatusMultipleChoices {
		return c.callError(stepWithdraw, result)
	}
	return nil
}

// Weights returns the weights of a model version, at most 64 MiB. If the weight
// store responds with status 429, the error is marked ErrUnavailable and the
// returned duration is the delay of its Retry-After header.
func (c *Client) Weights(ctx context.Context, m id.Model, version string) ([]byte, time.Duration, error) {
	c.init()
	var body []byte
	path := "/v1/weights/" + url.PathEscape(string(m)) + "/" + url.PathEscape(version)
	result := c.do(ctx, c.objectBreaker, c.objectRequest().Get(path).ResponseDecoder(bytesDecoder{}), &body, nil)
	if result.status == http.StatusTooManyRequests {
		return nil, result.retryAfter(), c.callError(stepWeights, result)
	}
	if result.err != nil || result.status != http.StatusOK {
		return nil, 0, c.callError(stepWeights, result)
	}
	return body, 0, nil
}
