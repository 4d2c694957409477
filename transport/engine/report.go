package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const reportTimeout = time.Second

// Load is an engine's own late report.
type Load struct {
	AsOfMsAgo    int64      `json:"as_of_ms_ago"`
	Running      int        `json:"running"`
	Waiting      int        `json:"waiting"`
	KVUsedTokens id.Tokens  `json:"kv_used_tokens"`
	Models       []id.Model `json:"models"`
}

// Load asks the engine at address for its load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var out Load
	err := c.get(ctx, "read load", address, "/v1/load", &out)
	return out, err
}

// CacheEventKind says what became of a block of a prompt.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Hash is in hex.
	Hash string `json:"hash"`
}

// Block returns the hash of the block, and false if it can't be read.
func (e CacheEvent) Block() (uint64, bool) {
	hash, err := strconv.ParseUint(e.Hash, 16, 64)
	return hash, err == nil
}

// CacheEvents are late changes of a prefix cache, in order and with gaps.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// FirstAvailable is the lowest sequence that the engine still has.
	FirstAvailable uint64 `json:"first_available"`
}

// CacheEvents asks the engine at address for the events after a sequence.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	path := "/v1/cache_events?after=" + strconv.FormatUint(after, 10)
	err := c.get(ctx, "read cache events", address, path, &out)
	return out, err
}

func (c *Client) get(ctx context.Context, step, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + address).Get(path).Request()
	if err != nil {
		return fault.At(step, address, err)
	}
	resp, err := sling.New().Client(c.HTTP).Do(req.WithContext(ctx), into, nil) //nolint:bodyclose // Do closes it.
	if err != nil {
		return fault.At(step, address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(step, address, resp.Status)
	}
	return nil
}
