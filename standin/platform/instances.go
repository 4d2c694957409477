package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphirehead/standin/fault"
)

// Instance is one entry of the list of instances.
type Instance struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// State is "live" or "leaving", as the instance reported it.
	State string `json:"state"`
}

type snapshot struct {
	at        time.Time
	instances map[string]Instance
}

type instances struct {
	mu sync.Mutex
	// history holds a snapshot for each change, oldest first. Snapshots that
	// are too old to be served are dropped.
	history []snapshot
	// frozenAt is when list first saw a StaleReport fault; it is zero while
	// there is none.
	frozenAt time.Time
}

func (i *instances) update(lag time.Duration, edit func(map[string]Instance)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	current := map[string]Instance{}
	if n := len(i.history); n > 0 {
		current = maps.Clone(i.history[n-1].instances)
	}
	edit(current)
	if i.frozenAt.IsZero() {
		i.dropBefore(now.Add(-lag))
	}
	i.history = append(i.history, snapshot{now, current})
}

// dropBefore removes the snapshots older than the last one at or before t. That
// one stays, since list may still return it for times from t on.
func (i *instances) dropBefore(t time.Time) {
	for len(i.history) > 1 && !i.history[1].at.After(t) {
		i.history = i.history[1:]
	}
}

// list returns the instances as of lag ago or, while frozen, as of lag before
// the list was frozen.
func (i *instances) list(lag time.Duration, frozen bool) snapshot {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if !frozen {
		i.frozenAt = time.Time{}
	} else if i.frozenAt.IsZero() {
		i.frozenAt = now
	}
	asOf := now.Add(-lag)
	if frozen {
		asOf = i.frozenAt.Add(-lag)
	}
	view := snapshot{at: asOf}
	for _, snap := range i.history {
		if !snap.at.After(asOf) {
			view.instances = snap.instances
		}
	}
	return view
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	if !admit(w, p.reads, 1) {
		return
	}
	_, frozen := p.Faults.Active(fault.StaleReport)
	snap := p.instances.list(max(p.ListLag, 0), frozen)
	list := []Instance{}
	for _, name := range slices.Sorted(maps.Keys(snap.instances)) {
		list = append(list, snap.instances[name])
	}
	writeJSON(w, http.StatusOK, struct {
		AsOfMS    int64      `json:"as_of_ms"`
		Instances []Instance `json:"instances"`
	}{snap.at.UnixMilli(), list})
}

func (p *Platform) servePutInstance(w http.ResponseWriter, r *http.Request) {
	var instance Instance
	if err := json.Unmarshal(requestBody(r), &instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance.Instance = r.PathValue("id")
	p.PutInstance(instance)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveDeleteInstance(w http.ResponseWriter, r *http.Request) {
	p.DeleteInstance(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// PutInstance adds an instance to the list or replaces its entry.
func (p *Platform) PutInstance(instance Instance) {
	p.prepare()
	p.instances.update(max(p.ListLag, 0), func(m map[string]Instance) { m[instance.Instance] = instance })
}

// DeleteInstance removes an instance from the list.
func (p *Platform) DeleteInstance(name string) {
	p.prepare()
	p.instances.update(max(p.ListLag, 0), func(m map[string]Instance) { delete(m, name) })
}
