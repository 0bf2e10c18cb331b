package routing

import (
	"math"
	"time"
)

// Parameters of outlier ejection.
const (
	// errorDecay is the weight of past results in the error rate after one more result.
	errorDecay = 0.85
	// errorHalfLife is the half-life of the error rate without new results. A backend
	// that is avoided for its errors gets no new results and would otherwise be avoided
	// forever.
	errorHalfLife = 4 * time.Second
	// ejectErrorRate is the error rate at which a backend is ejected.
	ejectErrorRate = 0.5
	// ejectBaseDuration is the duration of the first ejection. It doubles up to
	// maxEjectDoublings times while the backend keeps failing.
	ejectBaseDuration = 2 * time.Second
	maxEjectDoublings = 4
	// At most 1/ejectDivisor of the pool, rounded up, is ejected.
	ejectDivisor = 3
)

// Evidence is the result of one attempt as far as it concerns the backend's health.
type Evidence int

// Evidence of an attempt.
const (
	// EvidenceNone shows nothing, for example because the caller disconnected.
	EvidenceNone Evidence = iota
	// EvidenceGood is a complete answer with a status below 500.
	EvidenceGood
	// EvidenceBad is a failed connection, a broken answer, a timeout, or a status of
	// 500 or higher.
	EvidenceBad
	// EvidenceFull means that the backend refused because its slots are in use.
	EvidenceFull
)

// health is the error rate and ejection state of one backend.
type health struct {
	errors       float64 // error rate at errorsAt, 0 to 1
	errorsAt     time.Time
	ejections    int // since the last good result
	ejectedUntil time.Time
	// probing is true from an ejection until the next good result.
	// Meanwhile one request at a time tests whether the backend has recovered.
	probing bool
}

func (h *health) admits(now time.Time, inFlight int) bool {
	if !h.probing {
		return true
	}
	return !now.Before(h.ejectedUntil) && inFlight == 0
}

// errorRate returns the decaying share of bad results at now, 0 to 1.
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

// recordFailure records a failure and ejects the backend at ejectErrorRate, unless
// maxEjected backends are ejected already. A failure of the whole pool, such as a
// bad release or a network partition, would otherwise eject all backends, also those
// that still answer some requests.
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
	for _, ep := range p.inTable {
		if ep.health.probing {
			n++
		}
	}
	return n
}

func (p *Pool) maxEjected() int {
	n := len(p.inTable)
	return min((n+ejectDivisor-1)/ejectDivisor, n-1)
}

// Status is the state of a pool in this entry process.
type Status struct {
	Backends  int // in the table
	Ejected   int // ejected because of failed requests
	Unhealthy int // used as a last resort, by health checks or the log
	InFlight  int
}

// Status returns the pool's counts.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Backends: len(p.inTable), Ejected: p.countEjected(), InFlight: p.demand.quick + p.demand.long}
	for _, ep := range p.inTable {
		if ep.isLastResort() {
			s.Unhealthy++
		}
	}
	return s
}
