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
	// minLifetime bounds how often entries are fetched, whatever lifetime
	// the instance gives.
	minLifetime = 100 * time.Millisecond
)

// entryCache caches the entries, the URLs to connect to, of each workspace.
type entryCache struct {
	http  *http.Client
	seeds []string
	keys  map[id.Workspace]string

	mu          sync.Mutex
	byWorkspace map[id.Workspace]*cachedEntries
}

// cachedEntries holds the entries of one workspace. mu is held while they are
// fetched, so that only one job of a workspace fetches them at a time.
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

// lookup returns the entries of a workspace. It fetches them from a random
// seed once they have expired; while no seed answers, it returns the expired
// ones.
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
		return nil, 0, fault.Wrap("fetch entries", seed, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fault.New("fetch entries", seed, response.Status)
	}
	var body struct {
		Entries    []string `json:"entries"`
		LifetimeMS int64    `json:"lifetime_ms"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, 0, fault.Wrap("fetch entries", seed, err)
	}
	return body.Entries, time.Duration(body.LifetimeMS) * time.Millisecond, nil
}
