// Package coalesce shares reads among the callers that wait for them.
package coalesce

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrEnded is the error of a read that had not been made when Run ended.
var ErrEnded = errors.New("reads have ended")

// Group lets concurrent callers share reads. A caller never gets the result of a read that
// began before its call, as that may be older than what the caller has seen. It is safe for
// concurrent use.
type Group[T any] struct {
	// Read is set before the first use. Run makes one call at a time.
	Read func(context.Context) (T, error)

	once sync.Once
	// wanted receives a value when next was set, and ended is closed at the end of Run.
	wanted, ended chan struct{}

	mu sync.Mutex
	// next is the read that has not begun; nil if no caller waits for one.
	next *read[T]
}

// read is one shared read. Its result is set once done is closed.
type read[T any] struct {
	done  chan struct{}
	value T
	err   error
}

func (g *Group[T]) init() {
	g.once.Do(func() { g.wanted, g.ended = make(chan struct{}, 1), make(chan struct{}) })
}

// Run makes the reads until ctx ends, which also ends the last one. It must be called once.
func (g *Group[T]) Run(ctx context.Context) error {
	g.init()
	defer close(g.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wanted:
		}
		g.mu.Lock()
		r := g.next
		g.next = nil
		g.mu.Unlock()
		r.value, r.err = g.Read(ctx)
		close(r.done)
	}
}

// Do returns the result of a read that begins after Do was called, the error of ctx if that
// ends before, or ErrEnded. The read is not cancelled when ctx ends.
func (g *Group[T]) Do(ctx context.Context) (T, error) {
	g.init()
	var none T
	r := g.join()
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case <-g.ended:
		return none, ErrEnded
	case <-r.done:
		return r.value, r.err
	}
}

// join returns the read that has not begun.
func (g *Group[T]) join() *read[T] {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &read[T]{done: make(chan struct{})}
		g.wanted <- struct{}{}
	}
	return g.next
}
