// Package bed holds the stand-ins of the review's cases: the platform's store, workers,
// callers, and the record of what they saw. The routers run as processes of their own,
// which run.sh starts with the settings that a Bed writes.
package bed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"samphirehead/platform/platformtest"
)

const (
	// Service is the name of the only service.
	Service = "huvo11a"
	// Key is a key of the only tenant.
	Key = "n2ctnfzs989anu6wsjnb"
	// Host is the host of the only route.
	Host = "ficu95.example"
	// Prefix is the prefix of the only route.
	Prefix = "/lohu930/"
	// Secret is the peer secret of the deploy file.
	Secret = "replace-me-for-each-installation"

	readyTimeout = 30 * time.Second
	// An instance has addressesPerInstance, from portsPerInstance ports.
	addressesPerInstance = 5
	portsPerInstance     = 20
)

// Instance is one router process and its addresses.
type Instance struct {
	Name, Zone                              string
	Callers, Ready, Peers, Directory, Admin string
}

// Bed is a small deployment.
type Bed struct {
	Dir       string
	Record    *Record
	Store     *platformtest.Store
	Instances []*Instance
}

// New creates a deployment with an instance in each zone. The routers are started
// later, by WriteSettings.
func New(dir, record string, zones ...string) (*Bed, error) {
	r, err := newRecord(record)
	if err != nil {
		return nil, err
	}
	b := &Bed{Dir: dir, Record: r, Store: platformtest.NewStore()}
	for i, zone := range zones {
		addresses, err := freeAddresses(i*portsPerInstance, addressesPerInstance)
		if err != nil {
			return nil, err
		}
		b.Instances = append(b.Instances, &Instance{
			Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, Callers: addresses[0], Ready: addresses[1],
			Peers: addresses[2], Directory: addresses[3], Admin: addresses[4],
		})
	}
	return b, nil
}

// Ports are chosen below those that the kernel gives to outgoing connections. Each case
// that runs has a range of its own, by its process id.
const (
	firstPort     = 12000
	portsPerCase  = 100
	rangesOfPorts = 200
)

// freeAddresses returns loopback addresses with ports that are free now, beginning with
// the port at an offset in the range of this process.
func freeAddresses(offset, n int) ([]string, error) {
	first := firstPort + os.Getpid()%rangesOfPorts*portsPerCase
	var addresses []string
	for port := first + offset; port < first+portsPerCase && len(addresses) < n; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		config := net.ListenConfig{}
		l, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		return nil, errors.New("no free ports")
	}
	return addresses, nil
}

// Route is the operator's route.
type Route struct {
	Kind        string
	Resumable   bool
	MaxAttempts int
	TimeoutMs   int
	SloMs       int
	GapMs       int
}

// Configure writes the operator's first configuration.
func (b *Bed) Configure(r Route) {
	b.Store.Put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-2yhvz3p", "host": Host, "prefix": Prefix, "kind": r.Kind, "timeoutMs": r.TimeoutMs, "sloMs": r.SloMs,
			"priority": 1, "service": Service, "maxAttempts": r.MaxAttempts, "public": false, "sticky": true,
			"resumable": r.Resumable, "targetGapMs": r.GapMs,
		}},
		"services": []map[string]any{r.service()},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "apiKeys": []string{Key}, "priority": 1}},
	})
}

// service returns the service: engines for streams, a plain one for other requests.
func (r Route) service() map[string]any {
	service := map[string]any{"name": Service, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false}
	if r.Kind == "streaming" {
		service["engine"] = map[string]any{"slots": 64, "kvCapacity": 240648, "kvBytes": 163840, "linkMbps": 550000.0, "stride": 4}
	}
	return service
}

// WriteSettings writes a settings file for each instance, as deploy/settings.tmpl
// renders it, and then the list that run.sh waits for. seed returns the peer address
// under which others find an instance, and store where it finds the store.
func (b *Bed) WriteSettings(seed, store func(*Instance) string) error {
	var names []string
	for _, i := range b.Instances {
		var text strings.Builder
		for _, line := range [][2]string{
			{"instance", i.Name}, {"failure_domain", i.Zone}, {"region", "doto"}, {"caller_address", i.Callers},
			{"readiness_address", i.Ready}, {"directory_address", i.Directory}, {"peer_address", i.Peers},
			{"operator_address", i.Admin}, {"platform_address", store(i)},
		} {
			fmt.Fprintf(&text, "%s: %q\n", line[0], line[1])
		}
		text.WriteString("seeds:\n")
		for _, other := range b.Instances[:min(3, len(b.Instances))] {
			fmt.Fprintf(&text, "  - %q\n", seed(other))
		}
		text.WriteString("peer_secret_env: SAMPHIREHEAD_PEER_SECRET\nmemory_bytes: 189000000\ngrace: 8s\n" +
			"retries:\n  ratio: 0.2\n  slack: 56\n  window: 10s\n")
		if err := os.WriteFile(filepath.Join(b.Dir, i.Name+".conf"), []byte(text.String()), 0o600); err != nil {
			return err
		}
		names = append(names, i.Name)
	}
	list := filepath.Join(b.Dir, "instances")
	if err := os.WriteFile(list+".part", []byte(strings.Join(names, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(list+".part", list)
}

// AwaitReady waits until all instances are ready and the directory of each lists all.
func (b *Bed) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range b.Instances {
		for !isReady(ctx, i.Ready) || len(Resolve(ctx, i, i.Zone)) < len(b.Instances) {
			if ctx.Err() != nil {
				return errors.New(i.Name + " is not ready")
			}
			Sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Sleep waits for a time or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Record is what the stand-ins saw, written to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Result writes a line to the record and to standard output.
func (r *Record) Result(format string, values ...any) {
	r.Printf(format, values...)
	fmt.Printf(format+"\n", values...)
}
