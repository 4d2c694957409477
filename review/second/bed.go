package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphirehead/platform/platformtest"
)

// settings are those of an instance as deploy/settings.tmpl renders them for a machine of a
// small deployment, without duties.
const settings = `instance: %q
failure_domain: %q
region: "luzon-central"
caller_address: %q
readiness_address: %q
directory_address: %q
peer_address: %q
operator_address: %q
platform_address: %q
seeds:
  - %q
peer_secret_env: SAMPHIREHEAD_PEER_SECRET
memory_bytes: %d
max_descriptors: %d
grace: 8s
retries:
  ratio: 0.2
  slack: 56
  window: 10s
processor_share: %g
link_mbps: %g
`

// machine is what an instance may use, as the sheet of a site says.
type machine struct {
	memory, descriptors      int64
	processorShare, linkMbps float64
}

// The smallest machines of two sites.
var (
	kanmokuFleet = machine{memory: 189_000_000, descriptors: 6150, processorShare: 0.608, linkMbps: 1500}
	bkkSamphire  = machine{memory: 235_000_000, descriptors: 9840, processorShare: 0.464, linkMbps: 24}
)

// host is the name under which callers ask for the routes, and key the only key.
const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// heartbeat is how often a worker writes its row.
const heartbeat = 1200 * time.Millisecond

// instance is where a process of the system listens.
type instance struct {
	name, callers, ready, directory, peers, operators string
}

// bed is the platform with its workers, and the addresses of the instances.
type bed struct {
	dir     string
	trouble bool
	store   *platformtest.Store
	// front is what the instances call: the store, which refuses rows that are too large.
	front *storeFront
	// machine is that of each instance.
	machine   machine
	instances []instance
	workers   []*worker
	started   time.Time

	stop  context.CancelFunc
	beats sync.WaitGroup
	mu    sync.Mutex
	// passedOn holds the ids of the requests that workers got.
	passedOn map[string]bool
	record   *bufio.Writer
	file     *os.File
}

func newBed(dir string, trouble bool) (*bed, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &bed{
		dir: dir, trouble: trouble, store: platformtest.NewStore(), started: time.Now(),
		record: bufio.NewWriter(file), file: file, passedOn: make(map[string]bool), machine: bkkSamphire, stop: func() {},
	}
	b.front, err = newStoreFront(b)
	return b, err
}

func (b *bed) close() {
	b.stop()
	b.beats.Wait()
	for _, w := range b.workers {
		_ = w.server.Close()
	}
	b.front.close()
	b.store.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
	_ = b.file.Close()
}

// notef writes a line to the record, with the time since the start.
func (b *bed) notef(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.started).Seconds()}, values...)...)
}

// passOn records that a worker got a request.
func (b *bed) passOn(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.passedOn[id] = true
}

// wasPassedOn reports whether a worker got a request.
func (b *bed) wasPassedOn(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.passedOn[id]
}

// addWorkers starts workers of a service.
func (b *bed) addWorkers(ctx context.Context, service string, count, slots int, serve func(*worker, http.ResponseWriter, *http.Request)) error {
	for n := range count {
		w := &worker{id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone(n), slots: slots, bed: b, serve: serve}
		if err := w.start(ctx); err != nil {
			return err
		}
		b.workers = append(b.workers, w)
	}
	return nil
}

// zone is where machine or worker number n stands.
func zone(n int) string { return "zone-" + string(rune('a'+n%3)) }

// startInstances writes the settings of the instances, and waits until the script has started
// them and they are ready.
func (b *bed) startInstances(ctx context.Context) error {
	ctxBeats, stop := context.WithCancel(ctx)
	b.stop = stop
	for _, w := range b.workers {
		b.beats.Go(func() { w.beat(ctxBeats) })
	}
	for n := range instances {
		i, err := newInstance(ctx, fmt.Sprintf("front-%s-%d", zone(n), n))
		if err != nil {
			return err
		}
		b.instances = append(b.instances, i)
	}
	for n, i := range b.instances {
		text := fmt.Sprintf(settings, i.name, zone(n), i.callers, i.ready, i.directory, i.peers, i.operators,
			b.front.address, b.instances[0].peers,
			b.machine.memory, b.machine.descriptors, b.machine.processorShare, b.machine.linkMbps)
		if err := os.WriteFile(filepath.Join(b.dir, i.name+".yaml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(b.dir, "settings-are-there"), nil, 0o600); err != nil {
		return err
	}
	for _, i := range b.instances {
		for !b.isReady(ctx, i) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	b.notef("%d instances are ready, %d workers", len(b.instances), len(b.workers))
	return nil
}

// newInstance picks free loopback addresses.
func newInstance(ctx context.Context, name string) (instance, error) {
	i := instance{name: name}
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for _, address := range []*string{&i.callers, &i.ready, &i.directory, &i.peers, &i.operators} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return i, err
		}
		listeners = append(listeners, l)
		*address = l.Addr().String()
	}
	return i, nil
}

// isReady reports whether an instance is ready, and sees all instances and all workers.
func (b *bed) isReady(ctx context.Context, i instance) bool {
	if _, status := get(ctx, "http://"+i.ready+"/readiness"); status != http.StatusOK {
		return false
	}
	body, status := get(ctx, "http://"+i.operators+"/metrics")
	var seen struct {
		Router struct {
			Live      int `json:"instances_live"`
			Upstreams int `json:"upstreams_usable"`
		}
	}
	return status == http.StatusOK && json.Unmarshal(body, &seen) == nil &&
		seen.Router.Live == len(b.instances) && seen.Router.Upstreams == len(b.workers)
}

// pid returns the id of the process of an instance.
func (b *bed) pid(i instance) (int, error) {
	text, err := os.ReadFile(filepath.Join(b.dir, i.name+".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(text)))
}

// kill ends the process of an instance with SIGKILL.
func (b *bed) kill(i instance) error {
	pid, err := b.pid(i)
	if err != nil {
		return err
	}
	b.notef("%s is killed", i.name)
	return syscall.Kill(pid, syscall.SIGKILL)
}

// worker is one worker of a service.
type worker struct {
	id, service, zone string
	// version is that of its software; empty means v1.
	version string
	slots   int
	bed     *bed
	serve   func(*worker, http.ResponseWriter, *http.Request)
	address string
	born    int64
	server  *http.Server

	mu sync.Mutex
	// grey is set while the worker resets a part of its requests.
	grey bool
}

func (w *worker) start(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.born = l.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	w.register(1)
	return nil
}

// register writes the worker's row.
func (w *worker) register(sequence int) {
	w.bed.store.Put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": cmp.Or(w.version, "v1"), "slots": w.slots,
		"state": "ready", "coldLeftMs": 0, "seqNo": sequence, "born": w.born,
	})
}

// beat writes the worker's row until ctx ends.
func (w *worker) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.register(sequence)
		}
	}
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Samphirehead-Attempt-Id")
	if r.Header.Get("X-Samphirehead-Expect-Instance") != w.id {
		rw.Header().Set("X-Samphirehead-Attempt-Id", id)
		rw.Header().Set("X-Samphirehead-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.bed.passOn(id)
	w.serve(w, rw, r)
}

func (w *worker) setGrey(grey bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grey = grey
}

func (w *worker) isGrey() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grey
}

// seal sets the headers of an answer to a request.
func (w *worker) seal(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Samphirehead-Attempt-Id")
	rw.Header().Set("X-Samphirehead-Attempt-Id", id)
	rw.Header().Set("X-Samphirehead-Server-Seal", w.id+"."+id)
}

// reset closes the connection of a request with a reset.
func reset(rw http.ResponseWriter) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// promptPrefix lists parts of a prompt with so many tokens each.
func promptPrefix(tokens int, parts ...string) string {
	entries := make([]string, len(parts))
	for i, p := range parts {
		entries[i] = fmt.Sprintf("%s:%d", p, tokens)
	}
	return strings.Join(entries, ",")
}
