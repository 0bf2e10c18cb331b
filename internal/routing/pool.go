package routing

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
)

// Parameters of the choice of a backend server.
const (
	// localZoneMaxUse is the share of a backend's slots in use from which a candidate in
	// the local availability zone is compared with one from all zones.
	localZoneMaxUse = 0.75
	// othersHalfLife is the half-life of the estimate of slots in use by other entry
	// VMs.
	othersHalfLife = 50 * time.Millisecond
	// errorWeight is how much an error rate of 1 adds to a backend's load, as a multiple
	// of the load. A backend that fails immediately has no requests in flight and would
	// otherwise attract requests.
	errorWeight = 16.0
)

// Refusal is the reason why no backend server can take a request now. With any
// Refusal the request did not run.
type Refusal string

// Refusals.
const (
	Admitted Refusal = ""
	// NoBackends means that the service has no backend servers.
	NoBackends Refusal = "no-backends"
	// Busy means that all backend servers that may be tried have their slots in use.
	Busy Refusal = "busy"
	// LongShed means that the remaining slots are reserved for quick requests.
	LongShed Refusal = "long-shed"
)

// Rand returns a random number from 0 to n-1. It is implemented by
// math/rand/v2.Rand.
type Rand interface {
	IntN(n int) int
}

// Sharing is how entry processes share the slots of a backend server.
type Sharing int

// Ways to share slots.
const (
	// SharingAny lets each process use any slot: of two random backends the less
	// loaded one is picked, and a full backend refuses.
	SharingAny Sharing = iota
	// SharingFixed assigns each process a fixed part of the slots. It is the baseline
	// in benchmarks.
	SharingFixed
)

// Query describes one attempt that needs a backend server.
type Query struct {
	Class document.Class
	// Tried lists the VMs that were tried for this request.
	Tried []string
}

// Pool is the set of one service's backend servers as seen by this entry process.
// It is safe for concurrent use.
type Pool struct {
	zone    string
	sharing Sharing

	mu                    sync.Mutex
	endpoints             map[string]*endpoint
	inTable               []*endpoint // backends in the table
	slots                 int         // per backend
	maxInFlightPerBackend int         // attempts from this process
	members               int
	demand                demand
}

// endpoint is the state of one backend server in this process.
type endpoint struct {
	Backend
	inFlight      int
	longInFlight  int
	othersInUse   float64 // estimated slots in use by other entry VMs at othersInUseAt
	othersInUseAt time.Time
	health        health
	inTable       bool
	// unhealthy is the result of this process's health checks.
	unhealthy bool
}

// isLastResort reports whether the backend is used only if no other is available.
func (ep *endpoint) isLastResort() bool { return ep.Unhealthy || ep.unhealthy }

// Lease is the right to send one attempt to Backend. It must be ended by Pool.Done.
type Lease struct {
	Backend
	ep    *endpoint
	class document.Class
}

// NewPool returns an empty pool for a process in zone.
func NewPool(zone string, sharing Sharing) *Pool {
	return &Pool{zone: zone, sharing: sharing, endpoints: map[string]*endpoint{}, members: 1}
}

// Update sets the service's backends and limits. The state of backends that stay is
// kept.
func (p *Pool) Update(svc *Service, members int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = max(1, members)
	p.slots = max(1, svc.Limits.Slots)
	p.maxInFlightPerBackend = min(p.slots, ConnectionShare(svc.Limits, members))
	if p.sharing == SharingFixed {
		p.maxInFlightPerBackend = max(1, p.slots/p.members)
	}
	for _, ep := range p.endpoints {
		ep.inTable = false
	}
	p.inTable = p.inTable[:0]
	for _, b := range svc.Backends {
		ep := p.endpoints[b.VM]
		if ep == nil {
			ep = &endpoint{}
			p.endpoints[b.VM] = ep
		}
		ep.Backend = b
		ep.inTable = true
		p.inTable = append(p.inTable, ep)
	}
	for vm, ep := range p.endpoints {
		if !ep.inTable && ep.inFlight == 0 {
			delete(p.endpoints, vm)
		}
	}
}

// Connections to a backend server that are reserved for health checks: one for each
// entry process and some for stewards. A connection over the limit is closed with
// its request unread, which can only be reported as Unknown to the caller.
const (
	entryChecks   = 1
	stewardChecks = 4
)

// ConnectionShare returns how many connections to a backend server one of members
// entry processes may use for requests.
func ConnectionShare(limits document.Limits, members int) int {
	return max(1, (limits.Connections-stewardChecks)/max(1, members)-entryChecks)
}

// Pick chooses a backend server for one attempt, or refuses.
func (p *Pool) Pick(now time.Time, rnd Rand, q Query) (Lease, Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.inTable) == 0 {
		return Lease{}, NoBackends
	}
	if q.Class == document.ClassLong && !p.admitsLong(now) {
		return Lease{}, LongShed
	}
	ep := p.choose(now, rnd, q)
	if ep == nil {
		return Lease{}, Busy
	}
	ep.inFlight++
	if q.Class == document.ClassLong {
		ep.longInFlight++
	}
	p.demand.start(now, q.Class)
	return Lease{Backend: ep.Backend, ep: ep, class: q.Class}, Admitted
}

func (p *Pool) choose(now time.Time, rnd Rand, q Query) *endpoint {
	local := p.pickOfTwo(now, rnd, q, func(ep *endpoint) bool { return ep.Zone == p.zone && !ep.isLastResort() })
	if local != nil && local.slotsInUse(now)/float64(p.slots) < localZoneMaxUse && local.health.errorRate(now) < ejectErrorRate {
		return local
	}
	anyZone := p.pickOfTwo(now, rnd, q, func(ep *endpoint) bool { return !ep.isLastResort() })
	if best := lessLoaded(now, local, anyZone); best != nil {
		return best
	}
	return p.pickOfTwo(now, rnd, q, func(ep *endpoint) bool { return ep.isLastResort() })
}

// pickOfTwo picks two random backends among those that pass and returns the less
// loaded one, or nil if none passes.
func (p *Pool) pickOfTwo(now time.Time, rnd Rand, q Query, pass func(*endpoint) bool) *endpoint {
	var a, b *endpoint
	n := 0
	for _, ep := range p.inTable {
		if !pass(ep) || !p.admits(now, ep, q) {
			continue
		}
		// Reservoir sampling of two avoids building a list.
		n++
		switch k := rnd.IntN(n); {
		case n == 1:
			a = ep
		case n == 2 && k == 0:
			a, b = ep, a
		case n == 2:
			b = ep
		case k == 0:
			a = ep
		case k == 1:
			b = ep
		}
	}
	return lessLoaded(now, a, b)
}

// admits reports whether the backend may take this attempt now.
func (p *Pool) admits(now time.Time, ep *endpoint, q Query) bool {
	if ep.inFlight >= p.maxInFlightPerBackend || ep.slotsInUse(now) > float64(p.slots)-0.5 || slices.Contains(q.Tried, ep.VM) {
		return false
	}
	if !ep.health.admits(now, ep.inFlight) {
		return false
	}
	if q.Class == document.ClassLong {
		return ep.slotsInUse(now) < float64(p.slots-p.reservePerBackend())
	}
	return true
}

func lessLoaded(now time.Time, a, b *endpoint) *endpoint {
	if a == nil {
		return b
	}
	if b == nil || a.load(now) <= b.load(now) {
		return a
	}
	return b
}

// slotsInUse returns the estimated number of slots in use by all entry VMs.
func (ep *endpoint) slotsInUse(now time.Time) float64 {
	others := 0.0
	if ep.othersInUse > 0 {
		age := now.Sub(ep.othersInUseAt)
		others = ep.othersInUse * math.Exp2(-float64(age)/float64(othersHalfLife))
	}
	return float64(ep.inFlight) + others
}

// load returns the slots in use plus one, weighted by the error rate.
func (ep *endpoint) load(now time.Time) float64 {
	return (ep.slotsInUse(now) + 1) * (1 + errorWeight*ep.health.errorRate(now))
}

// Done ends a lease and records the evidence of its attempt.
func (p *Pool) Done(now time.Time, l Lease, e Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ep := l.ep
	ep.inFlight--
	if l.class == document.ClassLong {
		ep.longInFlight--
	}
	p.demand.end(l.class)
	switch e {
	case EvidenceFull:
		ep.othersInUse = math.Max(0, float64(p.slots-ep.inFlight))
		ep.othersInUseAt = now
	case EvidenceGood:
		ep.health.recordSuccess(now)
	case EvidenceBad:
		p.recordFailure(now, ep)
	}
	if !ep.inTable && ep.inFlight == 0 {
		delete(p.endpoints, ep.VM)
	}
}

// Share returns this process's equal share of the pool's slots, at least 1.
func (p *Pool) Share() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, int(p.share()))
}

// SetHealthy records the result of this process's health checks. An unhealthy
// backend gets requests only if no other is available: if all checks fail, the
// checks are as likely to be wrong as the backends.
func (p *Pool) SetHealthy(vm string, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ep := p.endpoints[vm]; ep != nil {
		ep.unhealthy = !healthy
	}
}

// AddInFlight adds the number of attempts in flight to each VM's count, including
// VMs that have left the table.
func (p *Pool) AddInFlight(vms map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, ep := range p.endpoints {
		if ep.inFlight > 0 {
			vms[vm] += ep.inFlight
		}
	}
}
