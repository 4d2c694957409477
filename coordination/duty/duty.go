// Package duty defines what one instance at a time does for all, and the grant under
// which it does so.
package duty

import (
	"time"

	"samphirehead/state/id"
)

// Subject names a duty and what it concerns. Each has a lease of its own.
type Subject string

// Usage is the subject of the reports of usage.
const Usage Subject = "usage"

// Capacity returns the subject of the orders of capacity for a service in a failure domain.
func Capacity(service id.Service, domain id.FailureDomain) Subject {
	return Subject("capacity/" + string(service) + "/" + string(domain))
}

// Grant allows its holder to act on a subject until the lease expires. Each call to the
// platform that acts on it carries both fields.
type Grant struct {
	Holder id.Instance
	// FencingNumber rises with each holder of the subject.
	FencingNumber id.FencingNumber
	// Expiry is when the holder must have stopped, by its own clock of package boottime.
	Expiry time.Time
}

// Holding is what an instance knows of the holder of a subject.
type Holding struct {
	Subject Subject
	Grant
}
