package routing

import (
	"math"
	"time"
)

// Tuning of outlier ejection.
const (
	// errorDecay is the weight that one more result leaves to the past ones.
	errorDecay = 0.85
	// errorHalfLife is how fast failures are forgotten when a backend, avoided
	// for them, shows nothing new. Else it would be avoided for good.
	errorHalfLife = 4 * time.Second
	// ejectErrorRate is the error rate from which a backend is ejected.
	ejectErrorRate = 0.5
	// ejectBaseDuration is the first ejection's length; it doubles up to ejectDoublings
	// times while the backend goes on failing.
	ejectBaseDuration = 2 * time.Second
	maxEjectDoublings = 4
	// ejectDivisor: at most 1/ejectDivisor of the pool, rounded up, is ejected.
	ejectDivisor = 3
)

// Evidence is what one attempt showed of a backend server.
type Evidence int

// Evidence of an attempt.
const (
	// EvidenceNone says nothing, as when the caller went away.
	EvidenceNone Evidence = iota
	// EvidenceGood: a complete answer below 500.
	EvidenceGood
	// EvidenceBad: no connection, a broken answer, a timeout, or an answer of
	// 500 and up.
	EvidenceBad
	// EvidenceFull: the backend refused because its slots are in use.
	EvidenceFull
)

// health is the evidence about one backend.
type health struct {
	errors       float64 // decaying share of bad results at errorsAt, 0 to 1
	errorsAt     time.Time
	ejections    int // since the latest good result
	ejectedUntil time.Time
	// probing is true from an ejection to the next result: one request at a
	// time finds out whether the backend has recovered.
	probing bool
}

func (h *health) admits(now time.Time, inFlight int) bool {
	if !h.probing {
		return true
	}
	return !now.Before(h.ejectedUntil) && inFlight == 0
}

// errorRate is the decaying share of bad results, 0 to 1.
func (h *health) errorRate(now time.Time) float64 {
	if h.errors == 0 {
		return 0
	}
	return h.errors * math.Exp2(-float64(now.Sub(h.errorsAt))/float64(errorHalfLife))
}

func (h *health) recordSuccess(now time.Time) {
	h.errors = h.errorRate(now) * errorDecay
	h.errorsAt = now
	if h.probing {
		h.errors = ejectErrorRate / 2
	}
	h.probing = false
	h.ejections = 0
}

// recordFailure notes a failure and ejects the backend once failures prevail, unless too
// much of the pool is out already. A failure that hits the whole pool, as a bad
// release or a cut network, would else empty it, and the last backends that
// still answer now and then would be lost as well.
func (p *Pool) recordFailure(now time.Time, ep *endpoint) {
	h := &ep.health
	h.errors = h.errorRate(now)*errorDecay + (1 - errorDecay)
	h.errorsAt = now
	if h.errors < ejectErrorRate && !h.probing {
		return
	}
	if !h.probing && p.countEjected() >= p.maxEjected() {
		return
	}
	if h.probing && now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedUntil = now.Add(ejectBaseDuration << min(h.ejections, maxEjectDoublings))
	h.ejections++
	h.probing = true
}

func (p *Pool) countEjected() int {
	n := 0
	for _, ep := range p.listed {
		if ep.health.probing {
			n++
		}
	}
	return n
}

func (p *Pool) maxEjected() int {
	n := len(p.listed)
	return min((n+ejectDivisor-1)/ejectDivisor, n-1)
}

// Status is a pool as one entry process sees it.
type Status struct {
	Backends  int // in the table
	Ejected   int // out by the evidence of requests
	Unhealthy int // last resort, by health checks or the log
	InFlight  int
}

// Status returns the pool's counts.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Backends: len(p.listed), Ejected: p.countEjected(), InFlight: p.demand.quick + p.demand.long}
	for _, ep := range p.listed {
		if ep.isLastResort() {
			s.Unhealthy++
		}
	}
	return s
}
