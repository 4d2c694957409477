package homes

import (
	"context"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// Server serves a Home to other instances.
type Server struct {
	Home *Home
	// Stamp is put on each answer.
	Stamp func() *peer.Stamp
	// Seen hears the stamp of each message.
	Seen func(s *peer.Stamp)
	// Current waits a little for a newer manifest that is known of.
	Current func(ctx context.Context) bool
}

var _ peer.Home = (*Server)(nil)

// Reserve waits for a slot.
func (s *Server) Reserve(ctx context.Context, r *peer.ReserveRequest) (*peer.ReserveResponse, error) {
	s.Seen(r.Stamp)
	if !s.Current(ctx) {
		return &peer.ReserveResponse{Stamp: s.Stamp(), Refusal: string(queue.RefusedNoUpstream)}, nil
	}
	arrived := r.Arrived(time.Now())
	if r.RunningAt != "" {
		s.Home.Register(queue.Registered{Arrived: arrived, Upstream: id.Upstream(r.RunningAt), Tokens: arrived.ResumeOffset})
		return &peer.ReserveResponse{Stamp: s.Stamp(), Upstream: r.RunningAt}, nil
	}
	decision, err := s.Home.Reserve(ctx, arrived)
	if err != nil {
		return nil, err
	}
	out := &peer.ReserveResponse{Stamp: s.Stamp(), Summary: s.summary()}
	switch d := decision.(type) {
	case Granted:
		out.Upstream = string(d.Upstream)
		out.LeaseUs = d.Lease.Microseconds()
	case Refused:
		out.Refusal = string(d.Reason)
		out.RetryAfterUs = d.RetryAfter.Microseconds()
	}
	return out, nil
}

// Renew keeps leases alive.
func (s *Server) Renew(_ context.Context, r *peer.RenewRequest) (*peer.RenewResponse, error) {
	s.Seen(r.Stamp)
	progress := make([]queue.Progressed, len(r.Progress))
	for i, p := range r.Progress {
		progress[i] = queue.Progressed{Reservation: id.Reservation(p.Reservation), Tokens: id.Tokens(p.Tokens)}
	}
	out := &peer.RenewResponse{Stamp: s.Stamp(), Summary: s.summary()}
	for _, u := range s.Home.Progress(progress) {
		out.Unknown = append(out.Unknown, string(u))
	}
	return out, nil
}

// Release ends reservations.
func (s *Server) Release(_ context.Context, r *peer.ReleaseRequest) (*peer.ReleaseResponse, error) {
	s.Seen(r.Stamp)
	released := make([]queue.Released, len(r.Releases))
	for i, one := range r.Releases {
		released[i] = one.Released()
	}
	s.Home.Release(released)
	return &peer.ReleaseResponse{Stamp: s.Stamp(), Summary: s.summary()}, nil
}

func (s *Server) summary() *peer.Summary {
	out := peer.SummaryFrom(s.Home.Summary())
	out.Instance = s.Stamp().GetInstance()
	return out
}
