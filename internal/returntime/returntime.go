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
	// NoMemory: the node has no memory for the request. Callers return to any node.
	NoMemory
)

// String returns the cause as a label of metrics and a field of the log.
func (c Cause) String() string {
	switch c {
	case NoConfiguration:
		return "no_configuration"
	case StoreUnavailable:
		return "store"
	case OwnerUnavailable:
		return "owner"
	case NoCapacity:
		return "capacity"
	case NoMemory:
		return "memory"
	default:
		return "other"
	}
}

// Refusal describes a refused request.
type Refusal struct {
	Cause Cause
	// Delay is when the request may be of use again, 0 if that is unknown. It counts for NoCapacity.
	Delay time.Duration
	// Age is how long the cause has lasted, as far as the node knows.
	Age time.Duration
	// Spread is a random number from 0 to less than 1. It keeps callers that are refused at the same time
	// from returning at the same time.
	Spread float64
}

const (
	// MinDelay is the shortest delay, the unit of the header that states it. It applies to causes of which
	// nothing further is known.
	MinDelay = time.Second
	// maxDelay bounds the delay. Callers send a request some five times: at this delay the last three
	// attempts span 8 s.
	maxDelay = 4 * time.Second
	// shortOutage is the age up to which an outage of the store is expected to end soon.
	shortOutage = 2 * time.Second
	// delayPerAge is the delay relative to the outage's age beyond shortOutage: the longer an outage has
	// lasted, the longer it is likely to last.
	delayPerAge = 0.5
	// configurationLoadTime is how long a node that has just started usually takes to read the configuration.
	// After that the store is likely to be away, and an attempt at another node that has just started would
	// fail, too.
	configurationLoadTime  = time.Second
	lateConfigurationDelay = 2 * time.Second
)

// After returns how long the caller of a refused request should wait before it sends the request again.
func After(r Refusal) time.Duration {
	switch r.Cause {
	case StoreUnavailable:
		return outageDelay(r.Age, r.Spread)
	case NoConfiguration:
		if r.Age > configurationLoadTime {
			return lateConfigurationDelay
		}
		return MinDelay
	case NoCapacity:
		return max(MinDelay, time.Duration(float64(r.Delay)*(1+r.Spread)))
	default:
		return MinDelay
	}
}

// outageDelay returns the delay at an age of an outage. The fraction of a second is rounded up for that
// share of the callers.
func outageDelay(age time.Duration, spread float64) time.Duration {
	seconds := delayPerAge * max(0, age-shortOutage).Seconds()
	return min(max(time.Duration(seconds+spread)*time.Second, MinDelay), maxDelay)
}
