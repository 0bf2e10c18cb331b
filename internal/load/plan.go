// Package load sends a bounded, open-loop load of callers' requests and checks
// every answer. Latency is measured from the time at which a request was due, so
// that a stalled system does not hide its delay by slowing the generator down.
package load

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Limits of a plan. They keep a typing mistake from overloading the machine.
const (
	MaxRequests = 5_000_000
	MaxDuration = 15 * time.Minute
	maxInFlight = 20_000
	maxRetries  = 5
)

// Route is one kind of request of a plan.
type Route struct {
	Name string
	// Path begins with "/" and the service's name.
	Path string
	// Rate is the number of requests per second over all targets.
	Rate float64
	// Work is the processing time that is requested of the stand-in's backend
	// server.
	Work time.Duration
	// ReplyBytes is the requested size of the answer's body.
	ReplyBytes int
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Keyed requests carry a new key each, and the same key on every retry.
	Keyed bool
	// Deadline is sent with each request; 0 sends none, so the route's default
	// applies.
	Deadline time.Duration
}

// Plan is one run of the generator.
type Plan struct {
	// Targets are the IP:port of entry VMs. Each request goes to a random target
	// and its retries to the next ones in turn.
	Targets  []string
	Routes   []Route
	Duration time.Duration
	// WarmUp is the warm-up at the start of Duration. Its requests are not counted.
	WarmUp time.Duration
	// InFlight bounds the requests in flight. A request that is due beyond it is
	// counted as not sent.
	InFlight int
	// MaxRetries is how often a request is retried after unknown, not-run or a
	// broken connection, as docs/callers.md tells callers to do.
	MaxRetries int
	// Seed determines the arrival times and targets.
	Seed uint64
}

// Check returns an error if the plan is incomplete or exceeds a limit.
func (p Plan) Check() error {
	if len(p.Targets) == 0 || len(p.Routes) == 0 {
		return errors.New("a plan needs a target and a route")
	}
	for _, target := range p.Targets {
		addr, err := netip.ParseAddrPort(target)
		if err != nil || !addr.Addr().IsLoopback() {
			return errors.Errorf("target %q: must be a loopback address (IP:port)", target)
		}
	}
	total := 0.0
	for _, r := range p.Routes {
		if r.Rate < 0 || r.Path == "" || r.Path[0] != '/' {
			return errors.Errorf("route %q: must have a path that begins with / and a rate of at least 0", r.Name)
		}
		total += r.Rate
	}
	if p.Duration <= 0 || p.Duration > MaxDuration || p.WarmUp < 0 || p.WarmUp >= p.Duration {
		return errors.Errorf("duration %s with warm-up %s: must exceed the warm-up and be at most %s", p.Duration, p.WarmUp, MaxDuration)
	}
	if n := total * p.Duration.Seconds(); n < 1 || n > MaxRequests {
		return errors.Errorf("%.0f requests: must be 1 to %d", n, MaxRequests)
	}
	if p.InFlight < 1 || p.InFlight > maxInFlight {
		return errors.Errorf("in flight %d: must be 1 to %d", p.InFlight, maxInFlight)
	}
	if p.MaxRetries < 0 || p.MaxRetries > maxRetries {
		return errors.Errorf("retries %d: must be 0 to %d", p.MaxRetries, maxRetries)
	}
	return nil
}
