package platform

import (
	"net/http"
	"sync"
)

type objects struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

// put stores an object; onlyNew makes it fail when one is there.
func (o *objects) put(name string, body []byte, onlyIfAbsent bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.bodies[name]; ok && onlyIfAbsent {
		return false
	}
	if o.bodies == nil {
		o.bodies = map[string][]byte{}
	}
	o.bodies[name] = body
	return true
}

func (o *objects) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[name]
	return body, ok
}

func (o *objects) remove(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, name)
	return true
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if !admit(w, p.reads, 1) {
		return
	}
	body, ok := p.objects.get(r.PathValue("name"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	if !admit(w, p.writes, 1) {
		return
	}
	onlyIfAbsent := r.Header.Get("If-None-Match") == "*"
	change := func() bool { return p.objects.put(r.PathValue("name"), requestBody(r), onlyIfAbsent) }
	mutate(p, r, change, func(stored bool) {
		if !stored {
			http.Error(w, "object exists", http.StatusPreconditionFailed)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

func (p *Platform) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	if !admit(w, p.writes, 1) {
		return
	}
	change := func() bool { return p.objects.remove(r.PathValue("name")) }
	mutate(p, r, change, func(bool) { w.WriteHeader(http.StatusNoContent) })
}
