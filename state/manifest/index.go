package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
)

// The reasons why a request has no class.
var (
	ErrUnknownWorkspace = errors.New("the workspace is not in the manifest")
	ErrClassNotAllowed  = errors.New("the workspace may not use the class")
	ErrPromptTooLarge   = errors.New("the prompt is larger than any class of the workspace admits")
)

// Digest is the SHA-256 of a bearer key.
type Digest [sha256.Size]byte

// Index answers the questions that each request asks of a manifest. It is
// built once for a manifest, never changes, and can be used concurrently.
type Index struct {
	// Manifest is what the index was built from.
	Manifest *Manifest

	keys       map[Digest]keyEntry
	workspaces map[id.Workspace]*Workspace
	classes    map[id.Class]Class
	upstreams  map[id.Upstream]Upstream
	pools      map[id.Pool][]Upstream
	services   map[id.Service][]Route
}

type keyEntry struct {
	digest    Digest
	workspace *Workspace
}

// NewIndex builds the index of a manifest that Parse returned.
func NewIndex(m *Manifest) *Index {
	x := &Index{
		Manifest:   m,
		keys:       map[Digest]keyEntry{},
		workspaces: map[id.Workspace]*Workspace{},
		classes:    map[id.Class]Class{},
		upstreams:  map[id.Upstream]Upstream{},
		pools:      map[id.Pool][]Upstream{},
		services:   map[id.Service][]Route{},
	}
	x.addNames()
	x.addKeys()
	x.addPools()
	return x
}

func (x *Index) addNames() {
	for _, c := range x.Manifest.Classes {
		x.classes[c.Name] = c
	}
	for i := range x.Manifest.Workspaces {
		w := &x.Manifest.Workspaces[i]
		x.workspaces[w.Name] = w
	}
	for _, s := range x.Manifest.Services {
		routes := slices.Clone(s.Routes)
		slices.SortStableFunc(routes, compareSpecificity)
		x.services[s.Name] = routes
		x.pools[id.ServicePool(s.Name)] = nil
	}
}

// moreSpecific orders exact paths before wildcards and longer wildcards before
// shorter ones.
func compareSpecificity(a, b Route) int {
	_, aWild := splitWildcard(a.Path)
	_, bWild := splitWildcard(b.Path)
	if aWild != bWild {
		if bWild {
			return -1
		}
		return 1
	}
	return len(b.Path) - len(a.Path)
}

func (x *Index) addKeys() {
	for _, w := range x.workspaces {
		for _, text := range w.KeySHA256 {
			digest, ok := parseDigest(text)
			if ok {
				x.keys[digest] = keyEntry{digest: digest, workspace: w}
			}
		}
	}
}

func parseDigest(text string) (Digest, bool) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return Digest{}, false
	}
	copy(digest[:], raw)
	return digest, true
}

func (x *Index) addPools() {
	for _, m := range x.Manifest.Models {
		x.pools[id.ModelPool(m.Name)] = nil
	}
	for _, u := range x.Manifest.Upstreams {
		x.upstreams[u.Name] = u
		for _, pool := range u.Pools() {
			x.pools[pool] = append(x.pools[pool], u)
		}
	}
}

// Pools lists the pools that the upstream belongs to.
func (u Upstream) Pools() []id.Pool {
	if u.Kind == KindService {
		return []id.Pool{id.ServicePool(u.Service)}
	}
	pools := make([]id.Pool, len(u.Models))
	for i, m := range u.Models {
		pools[i] = id.ModelPool(m)
	}
	return pools
}

// WorkspaceByKey finds the workspace that a bearer key belongs to. How long
// it takes depends on the digest of the key only, which an attacker who does
// not know a valid key cannot steer towards a valid digest.
func (x *Index) WorkspaceByKey(key string) (*Workspace, bool) {
	digest := Digest(sha256.Sum256([]byte(key)))
	entry, found := x.keys[digest]
	same := subtle.ConstantTimeCompare(digest[:], entry.digest[:]) == 1
	if !found || !same {
		return nil, false
	}
	return entry.workspace, true
}

// Workspace returns the named workspace; it must not be changed.
func (x *Index) Workspace(name id.Workspace) (*Workspace, bool) {
	w, found := x.workspaces[name]
	return w, found
}

// Class returns the named class.
func (x *Index) Class(name id.Class) (Class, bool) {
	c, found := x.classes[name]
	return c, found
}

// Classify returns the class of a workspace's request: the wanted one, or,
// where wanted is empty, the first of the workspace that admits the prompt.
// Its errors are ErrUnknownWorkspace, ErrClassNotAllowed and ErrPromptTooLarge.
func (x *Index) Classify(workspace id.Workspace, promptTokens id.Tokens, requested id.Class) (Class, error) {
	w, found := x.workspaces[workspace]
	if !found {
		return Class{}, ErrUnknownWorkspace
	}
	if requested != "" {
		if !slices.Contains(w.Classes, requested) {
			return Class{}, ErrClassNotAllowed
		}
		return x.classes[requested], nil
	}
	for _, name := range w.Classes {
		c := x.classes[name]
		if c.LargestPrompt == 0 || promptTokens <= c.LargestPrompt {
			return c, nil
		}
	}
	return Class{}, ErrPromptTooLarge
}

// Allows says whether a workspace may use a class.
func (x *Index) Allows(workspace id.Workspace, class id.Class) bool {
	w, found := x.workspaces[workspace]
	return found && slices.Contains(w.Classes, class)
}

// Route returns the route of a call to a service: the one with exactly this
// path, else the one with the longest matching wildcard. The path is the
// decoded one. Paths that an upstream might read differently, with dot
// segments, empty segments or escapes left over, match nothing.
func (x *Index) Route(service id.Service, method, path string) (Route, bool) {
	if !isCanonicalPath(path) {
		return Route{}, false
	}
	for _, r := range x.services[service] {
		if r.Method == method && r.matches(path) {
			return r, true
		}
	}
	return Route{}, false
}

func (r Route) matches(path string) bool {
	prefix, wild := splitWildcard(r.Path)
	if !wild {
		return path == r.Path
	}
	return strings.HasPrefix(path, prefix) && len(path) > len(prefix)
}

// HasModel says whether the manifest names a model.
func (x *Index) HasModel(model id.Model) bool {
	_, found := x.pools[id.ModelPool(model)]
	return found
}

// HasService says whether the manifest names a service.
func (x *Index) HasService(service id.Service) bool {
	_, found := x.services[service]
	return found
}

// Upstream returns the named upstream.
func (x *Index) Upstream(name id.Upstream) (Upstream, bool) {
	u, found := x.upstreams[name]
	return u, found
}

// Upstreams lists the members of a pool in the order of the manifest; the
// slice must not be changed.
func (x *Index) Upstreams(pool id.Pool) []Upstream { return x.pools[pool] }

// Pools lists all pools, sorted; some may be empty.
func (x *Index) Pools() []id.Pool { return slices.Sorted(maps.Keys(x.pools)) }
