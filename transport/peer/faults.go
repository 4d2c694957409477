package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Loss says which messages towards an address are lost.
type Loss string

// The kinds of loss.
const (
	// LoseRequests loses calls before their peer sees them.
	LoseRequests Loss = "requests"
	// LoseResponses loses answers after the peer has acted.
	LoseResponses Loss = "responses"
)

// Faults loses messages in tests. A lost call waits for the end of its
// context, as on a network that drops packets. Assign Wrap to Clients.Wrap.
type Faults struct {
	mu   sync.Mutex
	lost map[string]Loss
}

// Lose starts to lose messages towards address.
func (f *Faults) Lose(address string, loss Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == nil {
		f.lost = map[string]Loss{}
	}
	f.lost[address] = loss
}

// Restore ends the loss towards address.
func (f *Faults) Restore(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lost, address)
}

// Wrap returns a round tripper that applies f before next.
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
