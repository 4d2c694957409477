package exchange

import (
	"math"

	"samphirehead/coordination/capacity"
	"samphirehead/state/id"
)

// ServiceDemandOf returns the message that carries the demand for a service.
func ServiceDemandOf(service id.Service, demand capacity.Demand) *ServiceDemand {
	return &ServiceDemand{
		Service: string(service), Requests: demand.Requests, PrefillTokens: demand.PrefillTokens, Refused: demand.Refused,
		Running: asUint32(demand.Running), Memory: asUint32(demand.Memory),
	}
}

func asUint32(n float64) uint32 { return uint32(min(validCount(n), math.MaxUint32)) }

// AsDemand converts a message to a demand. Numbers that are negative, infinite or NaN
// become 0.
func (d *ServiceDemand) AsDemand() capacity.Demand {
	return capacity.Demand{
		Requests: validCount(d.Requests), PrefillTokens: validCount(d.PrefillTokens), Refused: validCount(d.Refused),
		Running: float64(d.Running), Memory: float64(d.Memory),
	}
}
