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
	shortestLifetime = 100 * time.Millisecond
)

// entryBook keeps the answers to where each workspace should connect.
type entryBook struct {
	http  *http.Client
	seeds []string
	keys  map[id.Workspace]string

	mu    sync.Mutex
	books map[id.Workspace]*entryPage
}

// entryPage is the answer for one workspace; mu lets one caller ask at a time.
type entryPage struct {
	mu      sync.Mutex
	entries []string
	until   time.Time
}

func (b *entryBook) page(w id.Workspace) *entryPage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.books == nil {
		b.books = map[id.Workspace]*entryPage{}
	}
	page, ok := b.books[w]
	if !ok {
		page = &entryPage{}
		b.books[w] = page
	}
	return page
}

// entries returns the current answer for a workspace, without those that
// the caller has found dead.
func (b *entryBook) entries(ctx context.Context, w id.Workspace) []string {
	page := b.page(w)
	page.mu.Lock()
	defer page.mu.Unlock()
	if time.Now().Before(page.until) {
		return page.entries
	}
	for _, i := range rand.Perm(len(b.seeds)) {
		entries, lifetime, err := b.ask(ctx, b.seeds[i], w)
		if err != nil || len(entries) == 0 {
			continue
		}
		page.entries = entries
		page.until = time.Now().Add(max(lifetime, shortestLifetime))
		return entries
	}
	return page.entries
}

func (b *entryBook) ask(ctx context.Context, seed string, w id.Workspace) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, seed+"/v1/entries", nil)
	if err != nil {
		return nil, 0, err
	}
	r.Header.Set("Authorization", "Bearer "+b.keys[w])
	response, err := b.http.Do(r)
	if err != nil {
		return nil, 0, fault.Wrap("ask for entries", seed, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, 0, fault.New("ask for entries", seed, response.Status)
	}
	var answer struct {
		Entries    []string `json:"entries"`
		LifetimeMS int64    `json:"lifetime_ms"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, 0, fault.Wrap("ask for entries", seed, err)
	}
	return answer.Entries, time.Duration(answer.LifetimeMS) * time.Millisecond, nil
}
