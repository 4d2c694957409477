package directory

import "math"

// What one request that is served takes, by which the resources of an instance are compared.
const (
	// processorPerRequest is in core seconds, and linkPerRequest in megabits.
	processorPerRequest = 0.002
	linkPerRequest      = 0.16
	// memoryPerRequest is what a request in progress holds, in bytes.
	memoryPerRequest = 1 << 20
	// loadSteps is the number of steps in which the load of an instance is told: a finer one
	// would have callers change their instances more often.
	loadSteps = 4
	// noRoom is the headroom of an instance that is full.
	noRoom = 1
)

// Resources are what an instance has; 0 of one means that it is not known.
type Resources struct {
	ProcessorShare float64
	LinkMbps       float64
	MemoryBytes    int64
}

// Headroom returns what an instance can carry beside the requests in progress, as a weight
// among instances: about the requests a second that its scarcest resource allows. It is 0 if no
// resource is known, and noRoom if the memory for requests is used up.
func (r Resources) Headroom(inProgress int) uint32 {
	rate := math.Inf(1)
	if r.ProcessorShare > 0 {
		rate = r.ProcessorShare / processorPerRequest
	}
	if r.LinkMbps > 0 {
		rate = min(rate, r.LinkMbps/linkPerRequest)
	}
	free := 1.0
	if r.MemoryBytes > 0 {
		slots := float64(r.MemoryBytes) / memoryPerRequest
		rate = min(rate, slots)
		free = max(math.Ceil(loadSteps*(1-float64(inProgress)/slots))/loadSteps, 0)
	}
	if math.IsInf(rate, 1) {
		return 0
	}
	return max(uint32(rate*free), noRoom)
}
