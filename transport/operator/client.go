package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/settings"
	"samphirehead/transport/bound"
)

// CallTimeout bounds one call of a Client whose HTTP is nil.
const CallTimeout = 20 * time.Second

// maxResponseBytes bounds a response; manifests are the largest ones.
const maxResponseBytes = 16 << 20

// Client calls one instance as an operator.
type Client struct {
	// Address is an IP address with a TCP port.
	Address string
	// Secret is the operator secret.
	Secret settings.Secret
	// HTTP makes the calls; nil means a client with CallTimeout.
	HTTP *http.Client
	// RetryDelay is the delay between the attempts of Apply; 0 means
	// DefaultRetryDelay.
	RetryDelay time.Duration
}

// Manifest returns the version and the text of the active manifest.
func (c *Client) Manifest(ctx context.Context) (id.ManifestVersion, []byte, error) {
	resp, err := c.call(ctx, c.request().Get(pathManifest))
	if err != nil {
		return 0, nil, fault.Wrap("get manifest", c.Address, err)
	}
	if resp.status != http.StatusOK {
		return 0, nil, fault.Wrap("get manifest", c.Address, resp.err())
	}
	version, err := strconv.ParseUint(resp.header.Get(HeaderManifestVersion), 10, 64)
	if err != nil {
		return 0, nil, fault.New("get manifest", c.Address, "the response has no valid manifest version")
	}
	return id.ManifestVersion(version), resp.body, nil
}

// History returns up to limit of the latest accepted versions, the newest first.
// The server accepts limits from 1 to 1000.
func (c *Client) History(ctx context.Context, limit int) ([]Revision, error) {
	query := struct {
		Limit int `url:"limit"`
	}{limit}
	var result struct {
		Revisions []Revision `json:"revisions"`
	}
	err := c.callJSON(ctx, c.request().Get(pathHistory).QueryStruct(query), &result)
	return result.Revisions, fault.Wrap("get history", c.Address, err)
}

// Status returns the status of all instances that the called instance knows.
func (c *Client) Status(ctx context.Context) ([]InstanceStatus, error) {
	var result struct {
		Instances []InstanceStatus `json:"instances"`
	}
	err := c.callJSON(ctx, c.request().Get(pathStatus), &result)
	return result.Instances, fault.Wrap("get status", c.Address, err)
}

// Drain asks an instance to drain. The call is idempotent.
func (c *Client) Drain(ctx context.Context, instance id.Instance) error {
	body := struct {
		Instance id.Instance `json:"instance"`
	}{instance}
	err := c.callJSON(ctx, c.request().Post(pathDrain).BodyJSON(body), nil)
	return fault.Wrap("drain "+string(instance), c.Address, err)
}

func (c *Client) request() *sling.Sling {
	return sling.New().
		Base("http://"+c.Address).
		Set("Authorization", "Bearer "+c.Secret.Reveal())
}

// response is an HTTP response whose body was read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// err returns the status and the message of an error response.
func (r *response) err() error {
	var failure struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(r.body, &failure) != nil || failure.Error.Message == "" {
		return errors.Newf("status %d", r.status)
	}
	return errors.Newf("status %d: %s", r.status, failure.Error.Message)
}

// callJSON sends a request and decodes the body of a successful response into
// result, unless that is nil.
func (c *Client) callJSON(ctx context.Context, s *sling.Sling, result any) error {
	resp, err := c.call(ctx, s)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return resp.err()
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(resp.body, result)
}

func (c *Client) call(ctx context.Context, s *sling.Sling) (*response, error) {
	httpReq, err := s.Request()
	if err != nil {
		return nil, err
	}
	httpResp, err := c.httpClient().Do(httpReq.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer httpResp.Body.Close()
	body, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return nil, err
	}
	return &response{status: httpResp.StatusCode, header: httpResp.Header, body: body}, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Timeout: CallTimeout, Transport: &bound.Transport{
		Next: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: bound.MaxHeaderBytes}, MaxBytes: maxResponseBytes,
	}}
}
