package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/feasibility"
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
	if !s.needsAdvice() {
		return true
	}
	fits := func(w *worker) bool { return s.fitsOn(w, now) }
	usable := slices.ContainsFunc(p.workers, fits) || slices.ContainsFunc(p.reservedForSuspects, fits)
	if !usable {
		c.requestAdvice(p, s, s.spec.Gang, now)
	}
	return usable
}

// needsAdvice reports whether the step's tasks need tickets.
func (s *step) needsAdvice() bool {
	if q := s.job.queue; s.advice == nil && q != nil && q.Advice != nil {
		s.advice = &adviceState{ticketsByWorker: map[string]ticket{}, refusedWorkers: map[string]bool{}}
	}
	return s.advice != nil
}

// requestAdviceFor requests advice on all workers, however full they are, for a step for which a worker is to be kept
// from other tasks.
func (c *Core) requestAdviceFor(p *placementPool, s *step, now time.Time) {
	if s.awaitsAdvice(p) {
		c.requestAdvice(p, s, true, now)
	}
}

// awaitsAdvice reports whether it is not known yet for some of the workers whether they may run the step.
func (s *step) awaitsAdvice(p *placementPool) bool {
	return s.needsAdvice() && slices.ContainsFunc(slices.Concat(p.workers, p.reservedForSuspects), s.isAdviceUnknown)
}

// isAdviceUnknown reports whether a worker has the required label and was neither approved nor refused.
func (s *step) isAdviceUnknown(w *worker) bool {
	return s.isSuitable(w) && !s.mayRunOn(w) && !s.advice.refusedWorkers[w.info.ID]
}

// requestMissingTickets requests advice for a step whose tasks wait although it may be placed: the workers with valid
// tickets have too little room, and others may have more.
func (c *Core) requestMissingTickets(p *placementPool, s *step, now time.Time) {
	if s.needsAdvice() && s.hasStartableTask(now) {
		c.requestAdvice(p, s, s.spec.Gang, now)
	}
}

// requestAdvice requests tickets for workers with enough free capacity, unless a request is in flight. Workers that
// were approved before are named first. With includeBusy, workers of which nothing is known yet follow, although they
// have too little free capacity now. Tickets of a gang are not renewed while it does not fit as a whole.
func (c *Core) requestAdvice(p *placementPool, s *step, includeBusy bool, now time.Time) {
	if s.advice.requestInFlight || now.Before(s.advice.nextRequestAt) {
		return
	}
	workers := slices.Concat(p.workers, p.reservedForSuspects)
	hasRoom := !s.spec.Gang || s.fitsNowIfApproved(workers)
	var known, unknown, busy []string
	for _, w := range workers {
		if s.validTicket(w.info.ID, now) != nil {
			continue
		}
		fits := hasRoom && s.spec.Reservation().FitsIn(w.free())
		switch {
		case fits && s.advice.isApproved(w):
			known = append(known, w.info.ID)
		case fits && s.isAdviceUnknown(w):
			unknown = append(unknown, w.info.ID)
		case includeBusy && s.isAdviceUnknown(w):
			busy = append(busy, w.info.ID)
		}
	}
	workerIDs := slices.Concat(known, unknown, busy)
	if len(workerIDs) == 0 {
		return
	}
	s.advice.requestInFlight = true
	c.orders.AdviceRequests = append(c.orders.AdviceRequests, AdviceOrder{Step: s.taskKey(0), Workers: workerIDs[:min(len(workerIDs), maxAdviceWorkers)]})
}

// fitsNowIfApproved reports whether the tasks of the step that start together fit on workers that were not refused.
func (s *step) fitsNowIfApproved(workers []*worker) bool {
	var rooms []feasibility.Room
	for _, w := range workers {
		if w.info.HasLabel(s.spec.RequiredLabel) && !s.advice.refusedWorkers[w.info.ID] {
			rooms = append(rooms, feasibility.Room{Free: w.free(), TasksOfStep: s.liveRunsByWorker[w.info.ID]})
		}
	}
	_, ok := s.startRequest().Cover(rooms)
	return ok
}

// isApproved reports whether the worker has got a ticket, be it valid or not.
func (a *adviceState) isApproved(w *worker) bool {
	_, ok := a.ticketsByWorker[w.info.ID]
	return ok
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
		for s := range j.openSteps() {
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
