package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// partNameBytes is how long the name of one part is that clients list whom nobody controls.
	// A head with it stays below the limit of 16,384 bytes.
	partNameBytes = 14_000
	// longPartClients send one request after the other to one instance, each of them
	// longPartsPerSecond / longPartClients a second at most, for longPartTime.
	longPartClients, longPartsPerSecond = 72, 720
	longPartTime                        = 85 * time.Second
	memoryInterval                      = 200 * time.Millisecond
	// maxLost is how many requests that were passed on may end without an answer.
	maxLost = 3
)

// playLongParts lets clients whom nobody controls list parts with long names, and ends an instance
// that uses more memory than its machine has, as the platform does.
func playLongParts(ctx context.Context, b *bed) error {
	b.machine = kanmokuFleet
	b.store.Put("op", "config", configuration())
	if err := b.addWorkers(ctx, "pool", poolWorkers, poolSlots, serveConversation); err != nil {
		return err
	}
	if err := b.addWorkers(ctx, "desk", deskWorkers, deskSlots, serveLookup); err != nil {
		return err
	}
	if err := b.startInstances(ctx); err != nil {
		return err
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	usual := newTraffic(b)
	usual.sending.Go(func() { usual.repeat(ctx, sending, notesPerSecond, notes) })
	usual.sending.Go(func() { usual.repeat(ctx, sending, lookupsPerSecond, lookup) })
	var clients sync.WaitGroup
	if b.trouble {
		for range longPartClients {
			clients.Go(func() { b.repeatLongParts(ctx, sending, usual) })
		}
	}
	err := b.watchMemory(ctx, longPartTime)
	stop()
	clients.Wait()
	usual.wait()
	if err != nil {
		return err
	}
	return b.judgeLost(usual.results)
}

// judgeLost applies the rule: a request from a kept channel that was passed on has an answer.
func (b *bed) judgeLost(results []result) error {
	sent, lost := 0, 0
	for _, r := range results {
		sent++
		if r.err != nil && r.status == 0 && r.kept && b.wasPassedOn(r.id) {
			lost++
		}
	}
	b.notef("%d requests were sent; %d from kept channels were passed on and had no answer", sent, lost)
	if lost > maxLost {
		return fmt.Errorf("%w: %d requests were passed on and had no answer", errBroken, lost)
	}
	return nil
}

// repeatLongParts sends requests whose prompts have one part with a long name, to one instance.
func (b *bed) repeatLongParts(ctx, sending context.Context, t *traffic) {
	ticker := time.NewTicker(longPartClients * time.Second / longPartsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-sending.Done():
			return
		case <-ticker.C:
		}
		name := fmt.Sprintf("%08x%08x", rand.Uint32(), rand.Uint32())
		t.add(b.send(ctx, request{
			kind: "long", id: "x" + name, method: http.MethodPost, path: "/pufi791/2f", at: b.instances[0],
			budget: conversationTimeout, body: strings.NewReader(name),
			header: map[string]string{
				"X-Samphirehead-Model": "m", "X-Samphirehead-Token-Counts": "30,24",
				"X-Samphirehead-Prompt-Prefix": fmt.Sprintf("a0:10,%s:10,%08x:10", name+strings.Repeat("f", partNameBytes-len(name)), rand.Uint32()),
			},
		}))
	}
}

// watchMemory looks at the resident memory of the instances for some time. An instance that uses
// more than its machine has is killed, which ends the watch.
func (b *bed) watchMemory(ctx context.Context, d time.Duration) error {
	most := make(map[string]int64)
	for begun := time.Now(); time.Since(begun) < d && ctx.Err() == nil; {
		for _, i := range b.instances {
			resident, err := b.resident(i)
			if err != nil {
				return err
			}
			if resident > most[i.name]+b.machine.memory/50 {
				b.notef("%s uses %d bytes", i.name, resident)
				most[i.name] = resident
			}
			if resident > b.machine.memory {
				b.notef("%s uses %d bytes, its machine has %d", i.name, resident, b.machine.memory)
				return b.kill(i)
			}
		}
		sleep(ctx, memoryInterval)
	}
	return nil
}

// resident returns the resident memory of the process of an instance, in bytes.
func (b *bed) resident(i instance) (int64, error) {
	pid, err := b.pid(i)
	if err != nil {
		return 0, err
	}
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no resident memory of process %d", pid)
}
