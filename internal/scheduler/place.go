package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// place orders starts: feasible, rank, limit, over the room that is known now.
func (c *Core) place(now time.Time) {
	if !c.dirtyPlan && now.Before(c.plannedAt.Add(planInterval)) || c.blocked(now) || !c.hasAuthority(now) {
		return
	}
	c.dirtyPlan = false
	c.plannedAt = now
	c.Counts.Plans++
	c.refreshRanking(now)
	r := &c.ranking
	pools := c.pools(now)
	r.begin(pools)
	c.placeTrials(pools, now)
	for _, cand := range r.list {
		if cand.class > classStarved && !r.open(cand.waiting) || cand.waiting.pool == nil || cand.job.final.Ended() {
			continue
		}
		c.placeCandidate(cand, now)
		if c.starting.full() {
			c.dirtyPlan = true // the rest waits for answers
			c.Counts.CutShort++
			return
		}
	}
	r.whole = false
}

// placeCandidate places what it can of an occurrence.
func (c *Core) placeCandidate(cand candidate, now time.Time) {
	pool := cand.waiting.pool
	for _, s := range cand.steps {
		if s.idle == 0 || !s.ready(now) {
			continue
		}
		c.Counts.Looks++
		idle := s.idle
		c.placeStep(pool, s, now)
		lacksRoom := s.idle > s.idleSuspects()
		if lacksRoom || s.idle < idle {
			c.busyUntil[s.job.sub.Service] = now.Add(busyFor)
		}
		if lacksRoom {
			c.preempt(pool, cand, s, now)
		}
		if cand.class <= classStarved {
			if lacksRoom && (s.spec.Lasting || !pool.kept) {
				pool.keepRoom(s)
			}
			continue
		}
		cand.waiting.misses++
		if s.idle < idle {
			cand.waiting.misses = 0
			cand.started(s, idle-s.idle)
		}
	}
}

// planInterval is the longest pause between two plans while nothing changes:
// due times and pauses run out without a message.
const planInterval = 100 * time.Millisecond

// blocked tells whether an earlier owner's runs may still be unknown. Starting a
// task then could run it twice.
func (c *Core) blocked(now time.Time) bool {
	if !c.opened {
		return true // a later owner must not take an earlier one's word for the last
	}
	if !now.Before(c.blockedUntil) {
		return false
	}
	if c.doubtful {
		return true
	}
	for id := range c.unheld {
		if w := c.workers[id]; w == nil || !w.synced {
			return true
		}
	}
	return false
}

// placeStep starts the idle tasks of a step as far as there is room.
func (c *Core) placeStep(p *pool, s *step, now time.Time) {
	suspects := s.idleSuspects() > 0
	if !suspects && !s.spec.Reserve().Fits(p.roomiest) {
		return
	}
	if !c.advised(p, s, now) {
		return
	}
	if suspects && s.spec.Gang {
		c.placeGangTrial(p, s, now)
		return
	}
	if s.spec.Gang {
		c.placeGang(p, s, now)
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.suspect() {
			continue
		}
		if c.starting.full() {
			return
		}
		c.Counts.Looks += len(p.workers)
		w := p.best(s, t, now)
		if w == nil {
			if t.avoid != "" {
				continue // another task of the step may have more choice
			}
			return
		}
		c.start(w, s, i, s.nextRun(c.cfg.Epoch), t.checkpoint, now)
		p.measure()
	}
}

// nextRun numbers a run above all earlier ones of the step: those of earlier
// owners have lower epochs.
func (s *step) nextRun(epoch int64) int64 {
	s.lastRun++
	return epoch*runStep + s.lastRun
}

// start orders a run.
func (c *Core) start(w *worker, s *step, index int, number int64, checkpoint string, now time.Time) *run {
	r := &run{step: s, index: index, number: number, worker: w, born: w.born, state: runStarting, since: now, orderedAt: now, paced: fullPace, checkpoint: checkpoint}
	begun := s.job.begun
	w.add(r)
	w.orders++
	c.starting.add(r)
	order := workload.Start{
		Task:       r.key(),
		Run:        number,
		Payload:    s.job.sub.Spec.Payload,
		LeaseUntil: c.grant(w, now),
		Token:      w.token,
		Checkpoint: checkpoint,
	}
	if t := s.ticketFor(w.info.ID, now); t != nil {
		order.Ticket = t.Text
	}
	c.out.Starts = append(c.out.Starts, StartOrder{Worker: w.info, Start: order})
	verb := "placed"
	if !begun {
		verb = "first-placed"
	}
	c.note(Decision{Verb: verb, Job: s.job.id, Task: r.key().String(), Queue: s.job.sub.Queue, Worker: w.info.ID, Run: number, Age: now.Sub(time.UnixMilli(s.job.sub.AcceptedMS))})
	return r
}
