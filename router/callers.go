package router

import (
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/memory"
	"samphirehead/state/settings"
	"samphirehead/transport/intake"
)

const (
	// Callers may use 1/callerMemoryDivisor of the memory of the process, and those of each
	// other listener 1/probeMemoryDivisor, if the settings don't say otherwise.
	callerMemoryDivisor = 5
	probeMemoryDivisor  = 48
	// Bytes of callers that were received and not read may use 1/unreadMemoryDivisor of the
	// memory beside that.
	unreadMemoryDivisor = 5
	// Callers may have 1/callerDescriptorDivisor of the descriptors of the process: each
	// request needs another one for its upstream, and the rest is for files, peers, the
	// platform and the other listeners.
	callerDescriptorDivisor = 4
	// The directory, whose callers are many, may have 1/directoryDescriptorDivisor and at
	// most maxDirectoryConnections, each other listener 1/probeDescriptorDivisor and at most
	// maxProbeConnections.
	directoryDescriptorDivisor = 16
	maxDirectoryConnections    = 256
	probeDescriptorDivisor     = 32
	maxProbeConnections        = 64
	// defaultMaxDescriptors applies if the limit of the process can't be read.
	defaultMaxDescriptors = 1024
	// minConnections is what each listener may have in any case.
	minConnections = 8
	// stallTimeout is after how long without progress a connection gives way first.
	stallTimeout = time.Second
)

// newIntakes returns what bounds the connections to each endpoint. Peers are trusted, so
// their connections have no bound.
func (r *Router) newIntakes() map[Endpoint]*intake.Intake {
	descriptors := maxDescriptors(r.Settings)
	connections := map[Endpoint]int{
		Callers:   descriptors / callerDescriptorDivisor,
		Directory: min(descriptors/directoryDescriptorDivisor, maxDirectoryConnections),
		Readiness: min(descriptors/probeDescriptorDivisor, maxProbeConnections),
		Operators: min(descriptors/probeDescriptorDivisor, maxProbeConnections),
	}
	if unread := intake.UnreadFactor * int64(r.Settings.CallerLimits.ReceiveBuffer); unread > 0 && r.Settings.MemoryBytes > 0 {
		connections[Callers] = min(connections[Callers], int(r.Settings.MemoryBytes/unreadMemoryDivisor/unread))
	}
	if limit := r.Settings.CallerLimits.MaxConnections; limit > 0 {
		connections[Callers] = limit
	}
	intakes := make(map[Endpoint]*intake.Intake)
	for endpoint, limit := range connections {
		account := memory.Account{
			Bytes: r.Settings.MemoryBytes / probeMemoryDivisor, Connections: max(limit, minConnections), StallAfter: stallTimeout,
		}
		if endpoint == Callers {
			account.Bytes = callerMemory(r.Settings)
		}
		intakes[endpoint] = &intake.Intake{
			Account:     account,
			ReadTimeout: r.Settings.CallerLimits.ReadTimeout,

			ReceiveBuffer:     r.Settings.CallerLimits.ReceiveBuffer,
			StreamReadTimeout: r.Settings.CallerLimits.StreamReadTimeout,

			Count: func(why intake.Reason) { r.metrics.Add("connections_"+string(endpoint)+"_"+string(why), 1) },
		}
	}
	return intakes
}

// listenAt opens a listener, within bounds unless they are nil.
func listenAt(address string, bounds *intake.Intake) (net.Listener, error) {
	if bounds != nil {
		return bounds.Listen(context.Background(), address)
	}
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
}

func callerMemory(s *settings.Router) int64 {
	if s.CallerLimits.MemoryBytes > 0 {
		return s.CallerLimits.MemoryBytes
	}
	return s.MemoryBytes / callerMemoryDivisor
}

// maxDescriptors returns how many descriptors the process may have.
func maxDescriptors(s *settings.Router) int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "limit of descriptors not read")
		return defaultMaxDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
