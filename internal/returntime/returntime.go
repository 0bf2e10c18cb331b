// Package returntime decides when a caller whose request was refused should send it again.
package returntime

import "time"

// Cause is why a request was refused.
type Cause int

// The causes.
const (
	// NoConfiguration: the node has read no configuration yet.
	NoConfiguration Cause = iota + 1
	// StoreUnavailable: no node stores the request.
	StoreUnavailable
	// OwnerUnavailable: the owner of the service's jobs doesn't answer.
	OwnerUnavailable
	// NoCapacity: the job can't be done in time for its caller.
	NoCapacity
)

// Refusal describes a refused request.
type Refusal struct {
	Cause Cause
	// Delay is when the request may be of use again, if that is known, 0 otherwise.
	Delay time.Duration
}

// defaultDelay is the delay after causes of which nothing further is known.
const defaultDelay = time.Second

// After returns how long the caller of a refused request should wait before it sends the request again.
func After(r Refusal) time.Duration {
	if r.Cause == NoCapacity && r.Delay > 0 {
		return r.Delay
	}
	return defaultDelay
}
