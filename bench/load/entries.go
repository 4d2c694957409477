package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const (
	entriesTimeout = time.Second
	// shortestLifetime bounds how often entries are asked for.
	minLifetime = 100 * time.Millisecond
)

// entryBook keeps the answers to where each workspace should connect.
type entryCache struct {
	http  *http.Client
	seeds []string
	keys  map[id.Workspace]string

	mu          sync.Mutex
	byWorkspace map[id.Workspace]*cachedEntries
}

// entryPage is the answer for one workspace; mu lets one caller ask at a time.
type cachedEntries struct {
	mu      sync.Mutex
	entries []string
	expires time.Time
}

func (c *entryCache) forWorkspace(w id.Workspace) *cachedEntries {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byWorkspace == nil {
		c.byWorkspace = map[id.Workspace]*cachedEntries{}
	}
	cached, ok := c.byWorkspace[w]
	if !ok {
		cached = &cachedEntries{}
		c.byWorkspace[w] = cached
	}
	return cached
}

// entries returns the current answer for a workspace, without those that
// the caller has found dead.
func (c *entryCache) lookup(ctx context.Context, w id.Workspace) []string {
	cached := c.forWorkspace(w)
	cached.mu.Lock()
	defer cached.mu.Unlock()
	if time.Now().Before(cached.expires) {
		return cached.entries
	}
	for _, i := range rand.Perm(len(c.seeds)) {
		entries, lifetime, err := c.fetch(ctx, c.seeds[i], w)
		if err != nil || len(entries) == 0 {
			continue
		}
		cached.entries = entries
		cached.expires = time.Now().Add(max(lifetime, minLifetime))
		return entries
	}
	return cached.entries
}

func (c *entryCache) fetch(ctx context.Context, seed string, w id.Workspace) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, seed+"/v1/entries", nil)
	if err != nil {
		return nil, 0, err
	}
	r.Header.Set("Authorization", "Bearer "+c.keys[w])
	response, err := c.http.Do(r)
	if err != nil {
		return nil, 0, fault.Wrap("ask for entries", seed, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fault.New("ask for entries", seed, response.Status)
	}
	var body struct {
		Entries    []string `json:"entries"`
		LifetimeMS int64    `json:"lifetime_ms"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, 0, fault.Wrap("ask for entries", seed, err)
	}
	return body.Entries, time.Duration(body.LifetimeMS) * time.Millisecond, nil
}
