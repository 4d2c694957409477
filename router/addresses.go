package router

import (
	"time"

	"samphirehead/coordination/directory"
	"samphirehead/coordination/heartbeat"
	"samphirehead/state/id"
)

// callerAddresses returns the caller addresses of the ready instances that a caller is told
// of, those in its failure domain first.
func (r *Router) callerAddresses(caller, domain string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for _, e := range directory.Select(directory.Query{
		Caller: caller, FailureDomain: id.FailureDomain(domain), Entries: r.membership.Entries(time.Now()),
	}) {
		addresses = append(addresses, e.CallerAddress)
	}
	return addresses
}

// updateHeadroom reports to peers what this instance can carry beside its requests in progress.
func (r *Router) updateHeadroom() {
	resources := directory.Resources{
		ProcessorShare: r.Settings.ProcessorShare, LinkMbps: r.Settings.LinkMbps, MemoryBytes: r.Settings.MemoryBytes,
	}
	r.stepMembership(heartbeat.HeadroomChanged{Headroom: resources.Headroom(r.drain.requestsInFlight())})
}
