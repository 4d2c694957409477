package bed

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"samphirehead/protocol/exchange"
	wire "samphirehead/transport/exchange"
)

// Network stands between the instances, and between them and the store, so that one of
// them can be cut off from both. Each instance is known to the others and in the store by
// the address of its relay. Callers and workers are reached directly.
type Network struct {
	bed *Bed
	// cut is the instance that is cut off; nil for none.
	cut    atomic.Pointer[Instance]
	relays map[*Instance]string
	stores map[*Instance]string
}

// NewNetwork starts the relays.
func NewNetwork(ctx context.Context, b *Bed) (*Network, error) {
	n := &Network{bed: b, relays: make(map[*Instance]string), stores: make(map[*Instance]string)}
	for _, i := range b.Instances {
		peers := wire.Handler(Secret, &relay{network: n, to: i, client: &wire.Client{Secret: Secret}})
		var err error
		if n.relays[i], err = serve(ctx, peers); err != nil {
			return nil, err
		}
		if n.stores[i], err = serve(ctx, &storePath{network: n, from: i}); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func serve(ctx context.Context, h http.Handler) (string, error) {
	config := net.ListenConfig{}
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// Relay returns the address under which other instances find one.
func (n *Network) Relay(i *Instance) string { return n.relays[i] }

// Store returns the address at which an instance finds the store.
func (n *Network) Store(i *Instance) string { return n.stores[i] }

// Cut cuts an instance off; nil ends the cut.
func (n *Network) Cut(i *Instance) { n.cut.Store(i) }

// isCut reports whether one of the instances is cut off.
func (n *Network) isCut(name string, i *Instance) bool {
	cut := n.cut.Load()
	return cut != nil && (cut == i || cut.Name == name)
}

// rename replaces the address of an instance by that of its relay.
func (n *Network) rename(address string) string {
	for i, relay := range n.relays {
		if i.Peers == address {
			return relay
		}
	}
	return address
}

func (n *Network) renameAll(s *exchange.State) {
	for _, m := range append(s.GetMembers(), s.GetSelf()) {
		if m != nil {
			m.PeerAddress = n.rename(m.PeerAddress)
		}
	}
}

// relay passes the calls of other instances on to one. While there is a cut, it answers
// nothing.
type relay struct {
	network *Network
	to      *Instance
	client  *wire.Client
}

// Swap implements exchange.Exchange.
func (r *relay) Swap(ctx context.Context, s *exchange.State) (*exchange.State, error) {
	from := s.GetSelf().GetInstance()
	if r.network.isCut(from, r.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.network.renameAll(s)
	answer, err := r.client.Swap(ctx, r.to.Peers, s)
	if err != nil {
		return nil, err
	}
	if r.network.isCut(from, r.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.network.renameAll(answer)
	return answer, nil
}

// Fetch implements exchange.Exchange. An instance fetches only after it has swapped.
func (r *relay) Fetch(ctx context.Context, request *exchange.FetchRequest) (*exchange.FetchResponse, error) {
	if r.network.isCut("", r.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.client.Fetch(ctx, r.to.Peers, request)
}

// Permit implements exchange.Exchange.
func (r *relay) Permit(ctx context.Context, request *exchange.PermitRequest) (*exchange.PermitResponse, error) {
	if r.network.isCut("", r.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.client.Permit(ctx, r.to.Peers, request)
}

// storePath passes the calls of one instance on to the store.
type storePath struct {
	network *Network
	from    *Instance
}

// ServeHTTP passes one call on. While the instance is cut off, it answers nothing.
func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for i, relay := range p.network.relays {
		body = bytes.ReplaceAll(body, encoded(i.Peers), encoded(relay))
	}
	p.awaitPath(r)
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.network.bed.Store.Address()+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header = r.Header.Clone()
	answer, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p.awaitPath(r)
	for _, name := range []string{"Content-Type", "Store-Era"} {
		w.Header().Set(name, answer.Header.Get(name))
	}
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(data)
}

// awaitPath does not return while the instance is cut off. Its call ends when it gives up.
func (p *storePath) awaitPath(r *http.Request) {
	if p.network.cut.Load() == p.from {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func encoded(address string) []byte {
	return []byte(base64.StdEncoding.EncodeToString([]byte(address)))
}
