package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Loss selects which messages of the calls to an address are lost.
type Loss string

// The kinds of loss.
const (
	// LoseRequests loses requests, so that the peer does not receive the call.
	LoseRequests Loss = "requests"
	// LoseResponses loses responses after the peer has served the call.
	LoseResponses Loss = "responses"
)

// Faults injects message loss in tests that assign Wrap to Clients.Wrap. A call
// with a lost message blocks until its context is done, as on a network that
// drops packets. The zero value loses nothing.
type Faults struct {
	mu   sync.Mutex
	lost map[string]Loss
}

// Lose starts losing messages of calls to address.
func (f *Faults) Lose(address string, loss Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == nil {
		f.lost = map[string]Loss{}
	}
	f.lost[address] = loss
}

// Restore stops losing messages of calls to address.
func (f *Faults) Restore(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lost, address)
}

// Wrap returns a round tripper that injects the faults of f into calls by next.
func (f *Faults) Wrap(next http.RoundTripper) http.RoundTripper {
	return &lossyTransport{faults: f, next: next}
}

func (f *Faults) lossOf(address string) Loss {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[address]
}

type lossyTransport struct {
	faults *Faults
	next   http.RoundTripper
}

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	loss := l.faults.lossOf(r.URL.Host)
	if loss == LoseRequests {
		return nil, waitUntilDone(r.Context())
	}
	response, err := l.next.RoundTrip(r)
	if err != nil || loss != LoseResponses {
		return response, err
	}
	_ = response.Body.Close()
	return nil, waitUntilDone(r.Context())
}

func waitUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return errors.Wrap(ctx.Err(), "message lost")
}
