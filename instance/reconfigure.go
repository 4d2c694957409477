package instance

import "samphirehead/state/id"

// reconfigure applies a manifest and the current members to all components. A
// nil manifest changes nothing.
func (i *Instance) reconfigure(next *activeManifest) {
	if next == nil {
		return
	}
	i.members.UpdateSelf(i.advertisedVersion(next.version), i.headroom())
	i.dispatcher.Configure(next.index)
	i.limits.Configure(next.index.Manifest.Workspaces)
	live := len(i.members.Live())
	i.platform.SetInstances(live)
	i.manifests.SetInstances(live)
}

// advertisedVersion is the manifest version that other instances receive. It is 0
// until the fetch of crash records has ended, as callers must not be directed here
// before that.
func (i *Instance) advertisedVersion(active id.ManifestVersion) id.ManifestVersion {
	if !i.crashesFetched.Load() {
		return 0
	}
	return active
}

// headroom is the unused share of the concurrent requests that the instance
// accepts, from 0 to 1.
func (i *Instance) headroom() float64 {
	limit := float64(i.Settings.Limits.MaxConcurrentRequests)
	return max(0, 1-float64(i.inFlight.Load())/limit)
}
