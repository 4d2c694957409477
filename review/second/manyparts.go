package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// manyWorkers is how many model workers the larger site has.
	manyWorkers = 140
	// manyParts is how many parts with short names clients list whom nobody controls. A head
	// with them stays below the limit of 16,384 bytes. usualParts is what they list without
	// the trouble.
	manyParts, usualParts = 2_200, 3
	// crowdClients send to each instance, together crowdPerSecond requests a second at most.
	crowdClients, crowdPerSecond = 60, 150
	// crowdWarm is the time before requests of others are judged.
	crowdWarm, crowdTime = 15 * time.Second, 25 * time.Second
)

// playManyParts lets clients whom nobody controls list very many parts, and looks whether the
// requests of other callers get their answers.
func playManyParts(ctx context.Context, b *bed) error {
	b.store.Put("op", "config", configuration())
	if err := b.addWorkers(ctx, "pool", manyWorkers, poolSlots, serveConversation); err != nil {
		return err
	}
	if err := b.addWorkers(ctx, "desk", deskWorkers, deskSlots, serveLookup); err != nil {
		return err
	}
	if err := b.startInstances(ctx); err != nil {
		return err
	}
	sending, stop := context.WithCancel(ctx)
	usual := newTraffic(b)
	usual.sending.Go(func() { usual.repeat(ctx, sending, notesPerSecond, notes) })
	usual.sending.Go(func() { usual.repeat(ctx, sending, lookupsPerSecond, lookup) })
	var crowd sync.WaitGroup
	for _, at := range b.instances {
		for n := range crowdClients {
			crowd.Go(func() { b.repeatManyParts(ctx, sending, at, n) })
		}
	}
	sleep(ctx, crowdWarm)
	from := time.Now()
	sleep(ctx, crowdTime)
	to := time.Now()
	stop()
	crowd.Wait()
	usual.wait()
	return b.judgeAnswers(usual.results, from, to)
}

// repeatManyParts sends requests whose prompts list very many parts to an instance.
func (b *bed) repeatManyParts(ctx, sending context.Context, at instance, client int) {
	ticker := time.NewTicker(crowdClients * time.Second / crowdPerSecond)
	defer ticker.Stop()
	count := usualParts
	if b.trouble {
		count = manyParts
	}
	for number := 0; ; number++ {
		select {
		case <-sending.Done():
			return
		case <-ticker.C:
		}
		parts := make([]string, count)
		for i := range parts {
			parts[i] = fmt.Sprintf("%x", rand.Uint32N(1<<16))
		}
		b.send(ctx, request{
			kind: "crowd", id: fmt.Sprintf("x%s-%d-%d", at.name, client, number), method: http.MethodPost, path: "/pufi791/2f", at: at,
			budget: conversationTimeout, body: strings.NewReader(fmt.Sprintf("%d of %d at %s", number, client, at.name)),
			header: map[string]string{
				"X-Samphirehead-Model": "m", "X-Samphirehead-Token-Counts": fmt.Sprintf("%d,24", count),
				"X-Samphirehead-Prompt-Prefix": promptPrefix(1, parts...),
			},
		})
	}
}
