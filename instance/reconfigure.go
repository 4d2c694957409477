package instance

import "samphirehead/state/id"

// reconfigure takes a manifest and the members of the moment.
func (i *Instance) reconfigure(next *activeManifest) {
	if next == nil {
		return
	}
	i.members.Update(i.advertisedVersion(next.version), i.headroom())
	i.direct.Configure(next.index)
	i.limits.Configure(next.index.Manifest.Workspaces)
	live := len(i.members.Live())
	i.platform.SetInstances(live)
	i.manifests.SetInstances(live)
}

// published is what other instances hear of the version in force: 0 while this
// one must not be an entry yet.
func (i *Instance) advertisedVersion(active id.ManifestVersion) id.ManifestVersion {
	if !i.crashesFetched.Load() {
		return 0
	}
	return active
}

// headroom is the free share of the requests that the instance may carry.
func (i *Instance) headroom() float64 {
	limit := float64(i.Settings.Limits.MaxConcurrentRequests)
	return max(0, 1-float64(i.inFlight.Load())/limit)
}
