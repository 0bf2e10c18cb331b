package scheduler

import (
	"slices"
	"time"
)

// Bounds of questions for advice.
const (
	// maxAdviceWorkers is how many workers one question names: each makes its answer
	// later, and a few good ones are enough.
	maxAdviceWorkers = 30
	// ticketExpiryMargin is how long before its end a ticket is no longer used: the
	// start has to arrive before.
	ticketExpiryMargin  = 300 * time.Millisecond
	adviceRetryInterval = 300 * time.Millisecond
)

// adviceState is what is known of the workers that may run a step. Which ones those
// are doesn't change; their tickets run out.
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

// AdviceResult is the outcome of an AdviseOrder.
type AdviceResult struct {
	Order    AdviceOrder
	SentAt   time.Time
	OK       bool
	Tickets  map[string]string // by worker
	ValidFor time.Duration
}

// ensureAdvice tells whether the step may be placed, and asks for advice where its
// queue needs it and it is missing.
func (c *Core) ensureAdvice(p *pool, s *step, now time.Time) bool {
	q := s.job.queue
	if q == nil || q.Advice == nil {
		return true
	}
	if s.tickets == nil {
		s.tickets = &adviceState{ticketsByWorker: map[string]ticket{}, refusedWorkers: map[string]bool{}}
	}
	fits := func(w *worker) bool { return s.fitsOn(w, now) }
	usable := slices.ContainsFunc(p.workers, fits) || slices.ContainsFunc(p.reservedForSuspects, fits)
	if !usable && !s.tickets.requestInFlight && !now.Before(s.tickets.nextRequestAt) {
		c.requestAdvice(p, s)
	}
	return usable
}

// requestAdvice asks about workers with room, those known to be good first.
func (c *Core) requestAdvice(p *pool, s *step) {
	var known, unknown []string
	for _, w := range slices.Concat(p.workers, p.reservedForSuspects) {
		_, hasTicket := s.tickets.ticketsByWorker[w.info.ID]
		switch {
		case !s.spec.Reservation().FitsIn(w.free()):
		case hasTicket:
			known = append(known, w.info.ID)
		case !s.tickets.refusedWorkers[w.info.ID]:
			unknown = append(unknown, w.info.ID)
		}
	}
	workerIDs := append(known, unknown...)
	if len(workerIDs) == 0 {
		return
	}
	s.tickets.requestInFlight = true
	c.orders.AdviceRequests = append(c.orders.AdviceRequests, AdviceOrder{Step: s.taskKey(0), Workers: workerIDs[:min(len(workerIDs), maxAdviceWorkers)]})
}

// HandleAdviceResult takes the outcome of a question.
func (c *Core) HandleAdviceResult(r AdviceResult, now time.Time) {
	s, _ := c.findTask(r.Order.Step)
	if s == nil || s.tickets == nil {
		return
	}
	s.tickets.requestInFlight = false
	if !r.OK {
		s.tickets.nextRequestAt = now.Add(adviceRetryInterval)
		return
	}
	for _, id := range r.Order.Workers {
		if w := c.workers[id]; w != nil && w.restartDetectedAt.After(r.SentAt) {
			continue // the answer was for the incarnation before
		}
		text, approved := r.Tickets[id]
		if !approved {
			s.tickets.refusedWorkers[id] = true
			continue
		}
		s.tickets.ticketsByWorker[id] = ticket{text: text, validUntil: r.SentAt.Add(r.ValidFor)}
	}
	c.planStale = true
}

// validTicket returns a ticket that is valid for a while yet, nil if there is none.
func (s *step) validTicket(worker string, now time.Time) *ticket {
	if s.tickets == nil {
		return nil
	}
	t, ok := s.tickets.ticketsByWorker[worker]
	if !ok || !now.Before(t.validUntil.Add(-ticketExpiryMargin)) {
		return nil
	}
	return &t
}

// forgetAdvice drops what is known of a worker that has restarted: tickets are valid for
// one incarnation, and the next one may be of another kind.
func (c *Core) forgetAdvice(worker string) {
	for _, j := range c.activeJobs {
		for _, s := range j.steps {
			if s.tickets != nil {
				delete(s.tickets.ticketsByWorker, worker)
				delete(s.tickets.refusedWorkers, worker)
			}
		}
	}
}

func (s *step) dropTicket(worker string) {
	if s.tickets != nil {
		delete(s.tickets.ticketsByWorker, worker)
	}
}
