package instance

import (
	"samphirehead/coordination/home"
	"samphirehead/coordination/member"
	"samphirehead/coordination/queue"
	"samphirehead/instance/reserve"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// reconfigure places the upstreams of a manifest over the members of the
// moment.
func (i *Instance) reconfigure(next *indexed) {
	if next == nil {
		return
	}
	index := next.index
	// The members know of next before it is placed over them: this one is no
	// home of any upstream until they do.
	i.members.Update(i.published(next.version), i.headroom())
	records := i.members.Records()
	placement := home.Place(homeUpstreams(index), records)
	i.home.Configure(index.Manifest.Classes, i.owned(index, placement))
	i.reserver.Update(&reserve.View{
		Placement: placement.Narrow(i.Settings.Instance, i.Settings.FailureDomain, home.DefaultSubset),
		Index:     index,
		Addresses: peerAddresses(records),
	})
	i.limits.Configure(index.Manifest.Workspaces)
	live := len(i.members.Live())
	i.platform.SetInstances(live)
	i.manifests.SetInstances(live)
	i.loseHolders(records)
}

// published is what other instances hear of the version in force: 0 while this
// one must not be a home or an entry yet.
func (i *Instance) published(inForce id.ManifestVersion) id.ManifestVersion {
	if !i.learnt.Load() {
		return 0
	}
	return inForce
}

// headroom is the free share of the requests that the instance may carry.
func (i *Instance) headroom() float64 {
	most := float64(i.Settings.Limits.MaxConcurrentRequests)
	return max(0, 1-float64(i.inFlight.Load())/most)
}

func homeUpstreams(x *manifest.Index) []home.Upstream {
	out := make([]home.Upstream, len(x.Manifest.Upstreams))
	for n, u := range x.Manifest.Upstreams {
		out[n] = home.Upstream{
			Name:          u.Name,
			FailureDomain: u.FailureDomain,
			Pools:         u.Pools(),
			Slots:         u.Capacity.Slots,
		}
	}
	return out
}

// owned lists the upstreams whose home is this instance.
func (i *Instance) owned(x *manifest.Index, p home.Placement) []queue.Upstream {
	var out []queue.Upstream
	for _, u := range x.Manifest.Upstreams {
		if p.Owners[u.Name] != i.Settings.Instance {
			continue
		}
		out = append(out, queue.Upstream{
			Name:          u.Name,
			Pools:         u.Pools(),
			FailureDomain: u.FailureDomain,
			Capacity:      u.Capacity,
			Resumes:       u.Resumes,
		})
	}
	return out
}

func peerAddresses(records []member.Record) map[id.Instance]string {
	out := make(map[id.Instance]string, len(records))
	for _, r := range records {
		if r.State != member.Dead && r.PeerAddress != "" {
			out[r.Instance] = r.PeerAddress
		}
	}
	return out
}

// loseHolders frees at this home what earlier lives of instances held: those
// that have died or started anew since the last call.
func (i *Instance) loseHolders(records []member.Record) {
	for _, r := range records {
		last, known := i.lives[r.Instance]
		dead := r.State == member.Dead
		if known && (dead || last < r.Incarnation) {
			i.home.LoseHolder(r.Instance)
		}
		delete(i.lives, r.Instance)
		if !dead {
			i.lives[r.Instance] = r.Incarnation
		}
	}
}
