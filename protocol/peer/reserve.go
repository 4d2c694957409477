// Package peer holds the messages between instances and their mapping to the
// events of the decisions.
package peer

import (
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
)

// ReserveFrom makes the message of a reservation request. Times become
// relative to now.
func ReserveFrom(a queue.Arrived, now time.Time) *ReserveRequest {
	excluded := make([]string, len(a.Excluded))
	for i, u := range a.Excluded {
		excluded[i] = string(u)
	}
	return &ReserveRequest{
		Reservation:    string(a.Reservation),
		Request:        string(a.Request),
		Pool:           string(a.Pool),
		Class:          string(a.Class),
		Workspace:      string(a.Workspace),
		PromptTokens:   int64(a.PromptTokens),
		ResumeOffset:   int64(a.ResumeOffset),
		FirstTokenInUs: a.FirstTokenBy.Sub(now).Microseconds(),
		DeadlineInUs:   a.Deadline.Sub(now).Microseconds(),
		PrefixHashes:   a.Prefix,
		Excluded:       excluded,
		Fingerprint:    uint64(a.Fingerprint),
		Attempt:        int32(min(a.Attempt, 1<<20)),
		MustNotPreempt: a.MustNotPreempt,
		FailureDomain:  string(a.FailureDomain),
	}
}

// Arrived reads a reservation request that was received at now.
func (r *ReserveRequest) Arrived(now time.Time) queue.Arrived {
	excluded := make([]id.Upstream, len(r.Excluded))
	for i, u := range r.Excluded {
		excluded[i] = id.Upstream(u)
	}
	return queue.Arrived{
		Reservation:    id.Reservation(r.Reservation),
		Request:        id.Request(r.Request),
		Pool:           id.Pool(r.Pool),
		Class:          id.Class(r.Class),
		Workspace:      id.Workspace(r.Workspace),
		Holder:         id.Instance(r.GetStamp().GetInstance()),
		PromptTokens:   id.Tokens(r.PromptTokens),
		ResumeOffset:   id.Tokens(r.ResumeOffset),
		FirstTokenBy:   now.Add(time.Duration(r.FirstTokenInUs) * time.Microsecond),
		Deadline:       now.Add(time.Duration(r.DeadlineInUs) * time.Microsecond),
		Prefix:         r.PrefixHashes,
		Excluded:       excluded,
		Fingerprint:    id.Fingerprint(r.Fingerprint),
		Attempt:        int(r.Attempt),
		MustNotPreempt: r.MustNotPreempt,
		FailureDomain:  id.FailureDomain(r.FailureDomain),
	}
}

// Released reads how the use of a reservation ended.
func (r *Release) Released() queue.Released {
	return queue.Released{
		Reservation: id.Reservation(r.Reservation),
		Tokens:      id.Tokens(r.Tokens),
		Outcome:     queue.Outcome(r.Outcome),
		FirstToken:  time.Duration(r.FirstTokenUs) * time.Microsecond,
	}
}

// SummaryFrom makes the message of what a home says of its pools.
func SummaryFrom(pools []queue.PoolState) *Summary {
	out := &Summary{Pools: make([]*PoolSummary, len(pools))}
	for i, p := range pools {
		waits := make([]int64, len(p.Wait))
		for t, w := range p.Wait {
			waits[t] = w.Microseconds()
		}
		out.Pools[i] = &PoolSummary{
			Pool:      string(p.Pool),
			FreeSlots: int32(min(p.FreeSlots, 1<<30)),
			Slots:     int32(min(p.Slots, 1<<30)),
			WaitUs:    waits,
		}
	}
	return out
}

// PoolStates reads what a home says of its pools.
func (s *Summary) PoolStates() []queue.PoolState {
	out := make([]queue.PoolState, len(s.Pools))
	for i, p := range s.Pools {
		waits := make([]time.Duration, len(p.WaitUs))
		for t, w := range p.WaitUs {
			waits[t] = time.Duration(w) * time.Microsecond
		}
		out[i] = queue.PoolState{
			Pool:      id.Pool(p.Pool),
			FreeSlots: int(p.FreeSlots),
			Slots:     int(p.Slots),
			Wait:      waits,
		}
	}
	return out
}
