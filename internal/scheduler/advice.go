package scheduler

import (
	"slices"
	"time"
)

// Bounds of questions for advice.
const (
	// askedWorkers is how many workers one question names: each makes its answer
	// later, and a few good ones are enough.
	askedWorkers = 30
	// ticketMargin is how long before its end a ticket is no longer used: the
	// start has to arrive before.
	ticketMargin = 300 * time.Millisecond
	adviceRetry  = 300 * time.Millisecond
)

// tickets is what is known of the workers that may run a step. Which ones those
// are doesn't change; their tickets run out.
type tickets struct {
	good    map[string]ticket
	refused map[string]bool
	asking  bool
	askNext time.Time
}

type ticket struct {
	Text  string
	until time.Time
}

// AdviceResult is the outcome of an AdviseOrder.
type AdviceResult struct {
	Order   AdviseOrder
	SentAt  time.Time
	OK      bool
	Tickets map[string]string // by worker
	Valid   time.Duration
}

// advised tells whether the step may be placed, and asks for advice where its
// queue needs it and it is missing.
func (c *Core) advised(p *pool, s *step, now time.Time) bool {
	q := s.job.queue
	if q == nil || q.Advice == nil {
		return true
	}
	if s.tickets == nil {
		s.tickets = &tickets{good: map[string]ticket{}, refused: map[string]bool{}}
	}
	fits := func(w *worker) bool { return s.fits(w, now) }
	usable := slices.ContainsFunc(p.workers, fits) || slices.ContainsFunc(p.trials, fits)
	if !usable && !s.tickets.asking && !now.Before(s.tickets.askNext) {
		c.ask(p, s)
	}
	return usable
}

// ask asks about workers with room, those known to be good first.
func (c *Core) ask(p *pool, s *step) {
	var known, unknown []string
	for _, w := range slices.Concat(p.workers, p.trials) {
		_, good := s.tickets.good[w.info.ID]
		switch {
		case !s.spec.Reserve().Fits(w.free()):
		case good:
			known = append(known, w.info.ID)
		case !s.tickets.refused[w.info.ID]:
			unknown = append(unknown, w.info.ID)
		}
	}
	names := append(known, unknown...)
	if len(names) == 0 {
		return
	}
	s.tickets.asking = true
	c.out.Advise = append(c.out.Advise, AdviseOrder{Step: s.key(0), Workers: names[:min(len(names), askedWorkers)]})
}

// Advised takes the outcome of a question.
func (c *Core) Advised(r AdviceResult, now time.Time) {
	s, _ := c.find(r.Order.Step)
	if s == nil || s.tickets == nil {
		return
	}
	s.tickets.asking = false
	if !r.OK {
		s.tickets.askNext = now.Add(adviceRetry)
		return
	}
	for _, id := range r.Order.Workers {
		if w := c.workers[id]; w != nil && w.restartedAt.After(r.SentAt) {
			continue // the answer was for the incarnation before
		}
		text, good := r.Tickets[id]
		if !good {
			s.tickets.refused[id] = true
			continue
		}
		s.tickets.good[id] = ticket{Text: text, until: r.SentAt.Add(r.Valid)}
	}
	c.dirtyPlan = true
}

// ticketFor returns a ticket that is valid for a while yet, nil if there is none.
func (s *step) ticketFor(worker string, now time.Time) *ticket {
	if s.tickets == nil {
		return nil
	}
	t, ok := s.tickets.good[worker]
	if !ok || !now.Before(t.until.Add(-ticketMargin)) {
		return nil
	}
	return &t
}

// forgetAdvice drops what is known of a worker that has restarted: tickets are valid for
// one incarnation, and the next one may be of another kind.
func (c *Core) forgetAdvice(worker string) {
	for _, j := range c.active {
		for _, s := range j.steps {
			if s.tickets != nil {
				delete(s.tickets.good, worker)
				delete(s.tickets.refused, worker)
			}
		}
	}
}

func (s *step) dropTicket(worker string) {
	if s.tickets != nil {
		delete(s.tickets.good, worker)
	}
}
