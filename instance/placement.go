package instance

import (
	"context"

	"samphirehead/instance/placements"
	"samphirehead/state/manifest"
)

// RunPlacements places models at engines whenever this instance holds the
// placement lease, until ctx ends. It does nothing while the manifest lets no
// engine hold several models. Run does not start it: requests are routed by the
// models that the manifest allows an engine, not by those it has loaded.
func (i *Instance) RunPlacements(ctx context.Context) error {
	p := &placements.Placements{
		Self:     i.Settings.Instance,
		Table:    i.platform,
		Engines:  i.engines,
		Manifest: i.manifestInForce,
		Demand:   i.reserver.Demand,
	}
	return p.Run(ctx)
}

func (i *Instance) manifestInForce() *manifest.Manifest {
	index := i.Index()
	if index == nil {
		return nil
	}
	return index.Manifest
}
