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
)

// CallTimeout bounds one call to an instance.
const CallTimeout = 20 * time.Second

// Client calls one instance as an operator.
type Client struct {
	// Address is an IP number and a TCP port.
	Address string
	// Secret is the operator secret.
	Secret settings.Secret
	// HTTP makes the calls; nil stands for a client with CallTimeout.
	HTTP *http.Client
	// RetryPause separates the attempts of Apply; 0 stands for
	// DefaultRetryPause.
	RetryPause time.Duration
}

// Manifest returns the manifest in force at the instance and its version.
func (c *Client) Manifest(ctx context.Context) (id.ManifestVersion, []byte, error) {
	answer, err := c.call(ctx, c.request().Get(pathManifest))
	if err != nil {
		return 0, nil, fault.Wrap("get manifest", c.Address, err)
	}
	if answer.status != http.StatusOK {
		return 0, nil, fault.Wrap("get manifest", c.Address, answer.err())
	}
	version, err := strconv.ParseUint(answer.header.Get(HeaderManifestVersion), 10, 64)
	if err != nil {
		return 0, nil, fault.New("get manifest", c.Address, "the answer names no version")
	}
	return id.ManifestVersion(version), answer.body, nil
}

// History returns the latest accepted versions, the newest first.
func (c *Client) History(ctx context.Context, limit int) ([]Revision, error) {
	query := struct {
		Limit int `url:"limit"`
	}{limit}
	var result struct {
		Revisions []Revision `json:"revisions"`
	}
	err := c.receive(ctx, c.request().Get(pathHistory).QueryStruct(query), &result)
	return result.Revisions, fault.Wrap("get history", c.Address, err)
}

// Status describes the instances that the called one knows.
func (c *Client) Status(ctx context.Context) ([]InstanceStatus, error) {
	var result struct {
		Instances []InstanceStatus `json:"instances"`
	}
	err := c.receive(ctx, c.request().Get(pathStatus), &result)
	return result.Instances, fault.Wrap("get status", c.Address, err)
}

// Drain tells an instance to leave. Repeating it does no harm.
func (c *Client) Drain(ctx context.Context, instance id.Instance) error {
	body := struct {
		Instance id.Instance `json:"instance"`
	}{instance}
	err := c.receive(ctx, c.request().Post(pathDrain).BodyJSON(body), nil)
	return fault.Wrap("drain "+string(instance), c.Address, err)
}

func (c *Client) request() *sling.Sling {
	return sling.New().
		Base("http://"+c.Address).
		Set("Authorization", "Bearer "+c.Secret.Reveal())
}

// answer is an HTTP response that was read to its end.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// err describes an answer that reports a failure.
func (a *answer) err() error {
	var failure struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(a.body, &failure) != nil || failure.Error.Message == "" {
		return errors.Newf("status %d", a.status)
	}
	return errors.Newf("status %d: %s", a.status, failure.Error.Message)
}

// receive decodes the body of a successful answer into result, if not nil.
func (c *Client) receive(ctx context.Context, s *sling.Sling, result any) error {
	answer, err := c.call(ctx, s)
	if err != nil {
		return err
	}
	if answer.status != http.StatusOK {
		return answer.err()
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(answer.body, result)
}

func (c *Client) call(ctx context.Context, s *sling.Sling) (*answer, error) {
	request, err := s.Request()
	if err != nil {
		return nil, err
	}
	response, err := c.httpClient().Do(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Timeout: CallTimeout}
}
