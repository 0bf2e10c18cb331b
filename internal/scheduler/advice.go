package scheduler

import (
	"slices"
	"time"
)

// Limits of advice requests.
const (
	// maxAdviceWorkers is the maximum number of workers that one request names. Each delays the
	// answer, and a few approved workers are enough.
	maxAdviceWorkers = 30
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used, because the start
	// must arrive before the ticket expires.
	ticketExpiryMargin  = 300 * time.Millisecond
	adviceRetryInterval = 300 * time.Millisecond
)

// adviceState is the placement advice for a step: the workers that may run it, with their tickets,
// and those that may not. Which workers may run a step does not change, but tickets expire. A step
// without advice may run on any worker.
type adviceState struct {
	ticketsByWorker map[string]ticket
	refusedWorkers  map[string]bool
	requestInFlight bool
	nextRequestAt   time.Time
}

type ticket struct {
	text       string
	validUntil time.Time
}

// AdviceResult is the outcome of an AdviceOrder.
type AdviceResult struct {
	Order    AdviceOrder
	SentAt   time.Time
	OK       bool
	Tickets  map[string]string // by worker ID
	ValidFor time.Duration
}

// ensureAdvice reports whether the step may be placed, and requests advice if its queue requires it
// and no worker that the step fits on has a valid ticket. A step that has once needed tickets needs them also after
// its queue was removed.
func (c *Core) ensureAdvice(p *placementPool, s *step, now time.Time) bool {
	if s.advice == nil {
		if q := s.job.queue; q == nil || q.Advice == nil {
			return true
		}
		s.advice = &adviceState{ticketsByWorker: map[string]ticket{}, refusedWorkers: map[string]bool{}}
	}
	fits := func(w *worker) bool { return s.fitsOn(w, now) }
	usable := slices.ContainsFunc(p.workers, fits) || slices.ContainsFunc(p.reservedForSuspects, fits)
	if !usable && !s.advice.requestInFlight && !now.Before(s.advice.nextRequestAt) {
		c.requestAdvice(p, s)
	}
	return usable
}

// requestAdvice requests tickets for workers with enough free capacity. Workers that were approved
// before are named first.
func (c *Core) requestAdvice(p *placementPool, s *step) {
	var known, unknown []string
	for _, w := range slices.Concat(p.workers, p.reservedForSuspects) {
		_, hasTicket := s.advice.ticketsByWorker[w.info.ID]
		switch {
		case !s.spec.Reservation().FitsIn(w.free()):
		case hasTicket:
			known = append(known, w.info.ID)
		case !s.advice.refusedWorkers[w.info.ID]:
			unknown = append(unknown, w.info.ID)
		}
	}
	workerIDs := append(known, unknown...)
	if len(workerIDs) == 0 {
		return
	}
	s.advice.requestInFlight = true
	c.orders.AdviceRequests = append(c.orders.AdviceRequests, AdviceOrder{Step: s.taskKey(0), Workers: workerIDs[:min(len(workerIDs), maxAdviceWorkers)]})
}

// HandleAdviceResult records the outcome of an advice request.
func (c *Core) HandleAdviceResult(r AdviceResult, now time.Time) {
	s, _ := c.findTask(r.Order.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.advice.requestInFlight = false
	if !r.OK {
		s.advice.nextRequestAt = now.Add(adviceRetryInterval)
		return
	}
	for _, id := range r.Order.Workers {
		if w := c.workers[id]; w != nil && w.restartDetectedAt.After(r.SentAt) {
			continue // the answer was for the earlier incarnation
		}
		text, approved := r.Tickets[id]
		if !approved {
			s.advice.refusedWorkers[id] = true
			continue
		}
		s.advice.ticketsByWorker[id] = ticket{text: text, validUntil: r.validUntil(now)}
	}
	c.planStale = true
}

// validUntil returns until when the tickets of an answer that arrives at now are used. They count from the request,
// as the answer may have been delayed on its way. An answer that is later than that was prepared for as long: its
// tickets are tried, and one that has expired is refused and dropped.
func (r AdviceResult) validUntil(now time.Time) time.Time {
	until := r.SentAt.Add(r.ValidFor)
	if now.Before(until.Add(-ticketExpiryMargin)) {
		return until
	}
	return now.Add(r.ValidFor)
}

// validTicket returns the ticket for a worker if it is valid for longer than ticketExpiryMargin,
// nil otherwise.
func (s *step) validTicket(worker string, now time.Time) *ticket {
	if s.advice == nil {
		return nil
	}
	t, ok := s.advice.ticketsByWorker[worker]
	if !ok || !now.Before(t.validUntil.Add(-ticketExpiryMargin)) {
		return nil
	}
	return &t
}

// forgetAdvice drops the advice on a worker that has restarted. Tickets are valid for one
// incarnation, and the next one may be of another kind.
func (c *Core) forgetAdvice(worker string) {
	for _, j := range c.activeJobs {
		for _, s := range j.steps {
			if s.advice != nil {
				delete(s.advice.ticketsByWorker, worker)
				delete(s.advice.refusedWorkers, worker)
			}
		}
	}
}

func (s *step) dropTicket(worker string) {
	if s.advice != nil {
		delete(s.advice.ticketsByWorker, worker)
	}
}
