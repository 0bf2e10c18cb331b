// Package load sends a bounded, open-loop load of callers' requests and checks
// every answer. Latency counts from the moment a request was due, so that a
// stalled system does not hide its own delay by holding the generator back.
package load

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a plan. They keep a typing mistake from taking the machine.
const (
	MaxRequests = 5_000_000
	MaxDuration = 15 * time.Minute
	maxInFlight = 20_000
	maxRetries  = 5
)

// Route is one kind of request in the mix.
type Route struct {
	Name string
	// Path begins with the service's name.
	Path string
	// Rate is in requests a second over all targets.
	Rate float64
	// Work is how long the stand-in's backend server is asked to take.
	Work time.Duration
	// ReplyBytes is the size of the answer asked for.
	ReplyBytes int
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Keyed requests carry a fresh key each, the same one on every retry.
	Keyed bool
	// Deadline is sent along; 0 leaves the route's own.
	Deadline time.Duration
}

// Plan is one run of the generator.
type Plan struct {
	// Targets are IP:port of entry VMs, used in turn.
	Targets  []string
	Routes   []Route
	Duration time.Duration
	// Warm is the first part of Duration, which is not counted.
	Warm time.Duration
	// InFlight bounds requests under way; one that is due beyond it is counted
	// as not sent.
	InFlight int
	// Retries is how often a request is sent again after unknown or not-run, as
	// docs/callers.md tells callers to.
	Retries int
	// Seed fixes the arrivals.
	Seed uint64
}

// Check returns what is wrong with the plan.
func (p Plan) Check() error {
	if len(p.Targets) == 0 || len(p.Routes) == 0 {
		return errors.New("a plan needs a target and a route")
	}
	for _, target := range p.Targets {
		addr, err := netip.ParseAddrPort(target)
		if err != nil || !addr.Addr().IsLoopback() {
			return errors.Errorf("target %q: load goes to loopback addresses (IP:port) only", target)
		}
	}
	total := 0.0
	for _, r := range p.Routes {
		if r.Rate < 0 || r.Path == "" || r.Path[0] != '/' {
			return errors.Errorf("route %q: needs a path that begins with / and a rate of 0 or more", r.Name)
		}
		total += r.Rate
	}
	if p.Duration <= 0 || p.Duration > MaxDuration || p.Warm < 0 || p.Warm >= p.Duration {
		return errors.Errorf("duration %s with warm-up %s: must be over the warm-up and at most %s", p.Duration, p.Warm, MaxDuration)
	}
	if n := total * p.Duration.Seconds(); n < 1 || n > MaxRequests {
		return errors.Errorf("%.0f requests: must be 1 to %d", n, MaxRequests)
	}
	if p.InFlight < 1 || p.InFlight > maxInFlight {
		return errors.Errorf("in flight %d: must be 1 to %d", p.InFlight, maxInFlight)
	}
	if p.Retries < 0 || p.Retries > maxRetries {
		return errors.Errorf("retries %d: must be 0 to %d", p.Retries, maxRetries)
	}
	return nil
}
