package reserve

import (
	"context"

	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// Server lets homes reach the holder of reservations.
type Server struct {
	Client *Client
}

var _ peer.Entry = (*Server)(nil)

// Preempt asks for the early end of reservations.
func (s *Server) Preempt(_ context.Context, r *peer.PreemptRequest) (*peer.PreemptResponse, error) {
	s.Client.Seen(r.Stamp)
	reservations := make([]id.Reservation, len(r.Reservations))
	for i, one := range r.Reservations {
		reservations[i] = id.Reservation(one)
	}
	s.Client.Preempt(reservations)
	return &peer.PreemptResponse{Stamp: s.Client.Stamp()}, nil
}
