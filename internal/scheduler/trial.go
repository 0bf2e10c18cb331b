package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// trialShare is the part of a service's workers, as one in so many, that are kept
	// for suspects at most while the service is busy with other tasks, and idleTrialShare
	// the same while it isn't.
	trialShare     = 4
	idleTrialShare = 2
	// busyFor is how long a service counts as busy after other tasks of it have started or
	// found no room.
	busyFor = time.Second
	// soleRank is what a crash that speaks against a task alone takes off its rank among
	// suspects, and waitRank the share of its wait, as one in so many, that is added.
	soleRank = time.Second
	waitRank = 50
	// suspectsNoted is the shortest time between two lines of the log on suspects that wait.
	suspectsNoted = 2 * time.Second
	// keptFor is how long a worker is kept for suspects after the last wish; each plan
	// that finds one waiting renews it.
	keptFor = 500 * time.Millisecond
	// gangTrialPatience is how long a gang with suspects waits for workers of their own:
	// there may never be enough.
	gangTrialPatience = 3 * time.Second
)

// plannedTrial is where and under which number a suspect is going to be started.
type plannedTrial struct {
	worker *worker
	born   int64 // of the incarnation, as in worker
	run    int64
}

// keptForTrial tells whether the worker takes nothing but suspects.
func (w *worker) keptForTrial(now time.Time) bool {
	if now.Before(w.keptUntil) {
		return true
	}
	for _, r := range w.runs {
		if r.trial {
			return true
		}
	}
	return false
}

// provenAll tells whether a crash of the worker could be blamed on none of the tasks
// there: they have all got on for a while. That is so a second after the last start at
// the latest, however long they run.
func (w *worker) provenAll(now time.Time) bool {
	for _, r := range w.runs {
		if r.trial || r.unproven(now) {
			return false
		}
	}
	return true
}

// suspect is a task that waits for a trial.
type suspect struct {
	step  *step
	index int
	rank  time.Duration
}

func (x suspect) task() *task { return &x.step.tasks[x.index] }

// placeTrials starts suspects, each where it is the only one. Where it is started is
// stored before: an owner that is lost just then takes along what it saw, and the next one
// asks what has become of that worker.
func (c *Core) placeTrials(pools map[string]*pool, now time.Time) {
	waiting, kept := 0, 0
	byService := c.suspects(now)
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		p, list := pools[service], byService[service]
		if p == nil {
			continue
		}
		for _, x := range list {
			if c.starting.full() {
				return
			}
			c.placeTrial(p, x, now)
		}
		waiting += len(list)
		kept += len(p.trials)
	}
	c.noteSuspects(waiting, kept, now)
}

// suspects are those that may be tried now, by service, in the order in which they are.
func (c *Core) suspects(now time.Time) map[string][]suspect {
	byService := map[string][]suspect{}
	c.crashedSteps = slices.DeleteFunc(c.crashedSteps, func(s *step) bool { return s.job.final.Ended() })
	for _, s := range c.crashedSteps {
		if s.idle == 0 || s.spec.Gang || !s.ready(now) {
			continue
		}
		for i := range s.tasks {
			if t := &s.tasks[i]; c.mayBeTried(t, now) && t.suspect() {
				service := s.job.sub.Service
				byService[service] = append(byService[service], suspect{s, i, t.likelyHarmless(now)})
			}
		}
	}
	for _, list := range byService {
		slices.SortStableFunc(list, func(a, b suspect) int { return cmp.Compare(b.rank, a.rank) })
	}
	return byService
}

// placeTrial starts a suspect where that was planned, or plans it.
func (c *Core) placeTrial(p *pool, x suspect, now time.Time) {
	s, t := x.step, x.task()
	if !c.advised(p, s, now) {
		return
	}
	if t.planned != nil && p.canTry(s, t.planned, now) {
		c.startTrial(s, x.index, t.checkpoint, now)
		return
	}
	c.dropPending(s, t)
	w := p.trialWorker(s, now)
	if w == nil {
		p.keepForTrial(s, now)
		w = p.trialWorker(s, now)
	}
	if w != nil {
		c.planTrial(w, s, t, s.nextRun(c.cfg.Epoch), now)
	}
}

// mayBeTried tells whether an idle task may be started, and what is known of its
// crashes is stored.
func (c *Core) mayBeTried(t *task, now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && t.storedIn <= c.storedSeq
}

// canTry tells whether a worker can still be had for a trial that was planned there.
func (p *pool) canTry(s *step, planned *plannedTrial, now time.Time) bool {
	w := planned.worker
	return planned.born == w.born && slices.Contains(p.trials, w) && s.fits(w, now) && w.provenAll(now)
}

// planTrial has it stored that a suspect is going to be started on a worker.
func (c *Core) planTrial(w *worker, s *step, t *task, number int64, now time.Time) {
	t.planned = &plannedTrial{worker: w, born: w.born, run: number}
	w.plannedUntil = now.Add(keptFor)
	w.keptUntil = w.plannedUntil
	t.note(workload.Crash{Worker: w.info.ID, Born: w.born, Address: w.info.Address, Run: number, AtMS: now.UnixMilli(), Pending: true})
	c.storeCrashes(s, t)
}

// startTrial starts a suspect as planned.
func (c *Core) startTrial(s *step, index int, checkpoint string, now time.Time) {
	c.Counts.Trials++
	t := &s.tasks[index]
	planned := t.planned
	t.planned = nil
	planned.worker.plannedUntil = time.Time{}
	c.start(planned.worker, s, index, planned.run, checkpoint, now).trial = true
}

// dropPending forgets a trial that was planned or has ended without a crash.
func (c *Core) dropPending(s *step, t *task) {
	t.planned = nil
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(crash workload.Crash) bool { return crash.Pending })
	if len(t.crashes) < before {
		c.storeCrashes(s, t)
	}
}

// resume takes a crash that an earlier owner noted and did not live to see cleared up.
func (c *Core) resume(s *step, index int, crash workload.Crash) {
	w := c.worker(crash.Worker, c.startedAt)
	if w.info.Address == "" {
		// It may be on no list any more, and its successor tells at its address.
		w.info = workload.Worker{ID: crash.Worker, Address: crash.Address, Service: s.job.sub.Service}
	}
	if w.find(s.key(index), crash.Run) != nil {
		return
	}
	r := &run{
		step: s, index: index, number: crash.Run, worker: w, born: crash.Born, state: runUncertain,
		since: c.startedAt, orderedAt: c.startedAt, paced: fullPace,
		trial: crash.Pending, restored: true,
		doubtUntil: c.startedAt.Add(c.cfg.Stop + stopSlack),
	}
	if crash.Pending {
		r.plannedAt = time.UnixMilli(crash.AtMS)
	}
	if crash.Unclear {
		w.victims = append(w.victims, r)
		w.unclearUntil = c.startedAt.Add(successorWait)
		return
	}
	w.extendLease(earlierLeases(c.cfg, c.startedAt))
	w.add(r) // it counts as under way until the worker has answered, or is gone
}

// endTrial takes that a trial has ended without a crash of its worker.
func (c *Core) endTrial(r *run) {
	if r.trial {
		r.trial = false
		c.dropPending(r.step, r.task())
	}
}

// trialWorker returns a kept worker that is ready for a suspect of the step, the
// emptiest; nil if there is none.
func (p *pool) trialWorker(s *step, now time.Time) *worker {
	var best *worker
	for _, w := range p.readyForTrial(now) {
		if s.fits(w, now) && (best == nil || len(w.runs) < len(best.runs)) {
			best = w
		}
	}
	return best
}

// has tells whether a worker takes starts, of suspects or others.
func (p *pool) has(w *worker) bool {
	return slices.Contains(p.trials, w) || slices.Contains(p.workers, w)
}

// keepForTrial keeps workers for a step's suspects: those that are kept already and could
// run one, and one more if there may be. Where none of those could, as for want of its
// label, there is one more in any case; the suspect would else wait for ever.
func (p *pool) keepForTrial(s *step, now time.Time) {
	able := 0
	for _, w := range p.trials {
		if s.couldRunOn(w) {
			w.keptUntil = now.Add(keptFor)
			able++
		}
	}
	if able > 0 && len(p.trials) >= p.mostForTrials(now) {
		return
	}
	i := p.leastLoaded(s)
	if i < 0 {
		return
	}
	p.workers[i].keptUntil = now.Add(keptFor)
	p.trials = append(p.trials, p.workers[i])
	p.remove(i)
}

// likelyHarmless ranks suspects, those that are the least likely to crash a worker first:
// most of them are cleared in half a second, and one that crashes takes its worker with it
// for seconds. What crashes its workers does so at its start, so a task that had run for
// longer at its crash is less likely to blame; one with a crash that speaks against it
// alone comes last. Who waits moves up, so that none waits for ever.
func (t *task) likelyHarmless(now time.Time) time.Duration {
	rank, latest := time.Duration(0), int64(0)
	for _, crash := range t.crashes {
		latest = max(latest, crash.AtMS)
		switch {
		case crash.Cleared || crash.Pending:
		case crash.Sole:
			rank -= soleRank
		default:
			rank = max(rank, time.Duration(crash.AgeMS)*time.Millisecond)
		}
	}
	return rank + now.Sub(time.UnixMilli(latest))/waitRank
}

// noteSuspects logs now and then how many suspects wait: nothing else tells why their jobs
// don't get on.
func (c *Core) noteSuspects(waiting, kept int, now time.Time) {
	if waiting == 0 || now.Before(c.suspectsNotedAt.Add(suspectsNoted)) {
		return
	}
	c.suspectsNotedAt = now
	c.note(Decision{Verb: "suspects-wait", Reason: fmt.Sprintf("%d tasks that may crash workers wait for a trial, %d workers are kept for such", waiting, kept), Critical: true})
}

// mostForTrials is how many workers are kept for suspects at most.
func (p *pool) mostForTrials(now time.Time) int {
	all := len(p.workers) + len(p.trials)
	if now.Before(p.busyUntil) {
		return max(1, all/trialShare)
	}
	return max(1, all/idleTrialShare)
}

// readyForTrial are the kept workers that are ready.
func (p *pool) readyForTrial(now time.Time) []*worker {
	var ready []*worker
	for _, w := range p.trials {
		if w.provenAll(now) && !now.Before(w.plannedUntil) {
			ready = append(ready, w)
		}
	}
	return ready
}

// placeGangTrial starts a gang with suspects: these on kept workers, the others
// anywhere. A crash ends the whole gang, and its worker tells who was there.
func (c *Core) placeGangTrial(p *pool, s *step, now time.Time) {
	var suspects, others []int
	for i := range s.tasks {
		t := &s.tasks[i]
		if !c.mayBeTried(t, now) {
			return
		}
		if t.suspect() {
			suspects = append(suspects, i)
		} else {
			others = append(others, i)
		}
	}
	if !p.canTryGang(s, suspects, now) {
		c.planGangTrial(p, s, suspects, now)
		return
	}
	rest := s.seat(p.workers, len(others), now)
	if rest == nil {
		return
	}
	number := s.tasks[suspects[0]].planned.run
	for _, i := range suspects {
		c.startTrial(s, i, s.checkpoint, now)
	}
	for i, w := range rest {
		c.start(w, s, others[i], number, s.checkpoint, now)
	}
	s.trialWaits = time.Time{}
	c.forming = append(c.forming, forming{step: s, run: number, since: now})
	p.measure()
}

// canTryGang tells whether the suspects of a gang can be started as planned.
func (p *pool) canTryGang(s *step, suspects []int, now time.Time) bool {
	var planned []*worker
	for _, i := range suspects {
		trial := s.tasks[i].planned
		if trial == nil || trial.born != trial.worker.born || !p.has(trial.worker) || !trial.worker.provenAll(now) {
			return false
		}
		if !slices.Contains(planned, trial.worker) {
			planned = append(planned, trial.worker)
		}
	}
	return s.seat(planned, len(suspects), now) != nil
}

// planGangTrial plans where the suspects of a gang are started. Several of them may
// share a worker; where there are never enough, they go to any.
func (c *Core) planGangTrial(p *pool, s *step, suspects []int, now time.Time) {
	if s.trialWaits.IsZero() {
		s.trialWaits = now
	}
	seats := s.seat(p.readyForTrial(now), len(suspects), now)
	if seats == nil {
		p.keepForTrial(s, now)
		seats = s.seat(p.readyForTrial(now), len(suspects), now)
	}
	if seats == nil && !now.Before(s.trialWaits.Add(gangTrialPatience)) {
		seats = s.seat(p.workers, len(suspects), now)
	}
	if seats == nil {
		return
	}
	number := s.nextRun(c.cfg.Epoch)
	for k, i := range suspects {
		c.dropPending(s, &s.tasks[i])
		c.planTrial(seats[k], s, &s.tasks[i], number, now)
	}
}
