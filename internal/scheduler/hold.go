package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A plan holds workers for long-running and starved steps that lack capacity. Otherwise smaller tasks would take all
// capacity that is freed, and a large task would wait forever. Until the room is expected, a held worker still gets
// finite tasks that end before.
const (
	// At most 1/heldDivisor of a service's workers are held, and one in any case, however many steps lack capacity;
	// for short times more for a gang.
	heldDivisor = 4
	// holdSlack is how long after the room was expected a step's hold ends. The step then holds nothing for as long
	// as the hold lasted, at least minHoldPause.
	holdSlack    = 2 * time.Second
	minHoldPause = 2 * time.Second
	// A gang that needs more workers than may be held holds all of them at once, if its room is expected within
	// maxWideHoldWait, for wideHoldSlack longer. After such a hold a service has none for wideHoldPauseFactor times as
	// long.
	maxWideHoldWait     = 2500 * time.Millisecond
	wideHoldSlack       = 500 * time.Millisecond
	wideHoldPauseFactor = 4
	// backfillFactor is how many times the estimate of a task must fit in the time that its worker is held for.
	backfillFactor = 2
	// infeasibleRecheckInterval is how often a step that can't be placed is looked at again. For infeasibleDuration it
	// does not count as starved, so that others do.
	infeasibleRecheckInterval = 500 * time.Millisecond
	infeasibleDuration        = 5 * time.Second
	// unplaceableLogInterval is the shortest time between two series of log lines on steps that can't be placed.
	unplaceableLogInterval = 10 * time.Second
)

// workerHold is what the current plan holds a worker for.
type workerHold struct {
	readyAt   time.Time          // when the room is expected, zero if the worker is not held
	claimed   workload.Resources // by the steps that it is held for
	room      workload.Resources // roomWithoutEndingRuns, if roomKnown
	roomKnown bool
}

// stepHold is the state of a step that holds workers until it starts.
type stepHold struct {
	since, until time.Time // zero if it holds none
	pausedUntil  time.Time
	// infeasibleUntil is until when the step counts as one that can't be placed, and recheckAt when it is looked at
	// again.
	infeasibleUntil, recheckAt time.Time
}

// wideHold is the last hold of a service's gang that needed more workers than may be held.
type wideHold struct {
	step   *step
	nextAt time.Time // earliest time of the next one
}

// Holds counts the workers that are kept from other tasks, by what they are kept for, and the steps that hold none as
// they can't be placed.
type Holds struct {
	LongRunning, Starved, Suspects int
	UnplaceableSteps               int
}

func (w *worker) isHeld() bool { return !w.hold.readyAt.IsZero() }

// isHeldAgainst reports whether a worker is held for another step and a task of s would delay that one. A
// long-running task may start on any worker that has room, as it must run within seconds.
func (w *worker) isHeldAgainst(s *step, now time.Time) bool {
	return w.isHeld() && !s.spec.LongRunning && now.Add(backfillFactor*estimate(s.spec)).After(w.hold.readyAt)
}

// heldCount returns how many workers the plan holds so far.
func (p *placementPool) heldCount() int { return p.holds.LongRunning + p.holds.Starved }

// maxHeld returns how many workers of the placement pool may be held.
func (p *placementPool) maxHeld() int {
	return max(1, (len(p.workers)+len(p.reservedForSuspects))/heldDivisor)
}

// holdWorkers holds workers for a long-running or starved step that lacks capacity. A starved step holds a worker only
// if no other step does.
func (c *Core) holdWorkers(p *placementPool, s *step, now time.Time) {
	if !s.hasStartableTask(now) || !s.spec.LongRunning && p.heldCount() > 0 {
		return
	}
	if now.Before(s.hold.recheckAt) {
		p.unplaceable = append(p.unplaceable, s)
		return
	}
	c.requestAdviceFor(p, s, now)
	if !p.holdWorkersFor(s, now) && !s.awaitsAdvice(p) {
		s.hold = stepHold{infeasibleUntil: now.Add(infeasibleDuration), recheckAt: now.Add(infeasibleRecheckInterval)}
		p.unplaceable = append(p.unplaceable, s)
	}
}

// holdWorkersFor holds workers for the tasks of a step that start together, the least loaded ones that can run them
// within a known time. They get few new runs and so stay the least loaded from plan to plan. Workers that are held
// for other steps are shared as far as they have room. It returns false if the tasks can't be placed.
func (p *placementPool) holdWorkersFor(s *step, now time.Time) bool {
	candidates := slices.DeleteFunc(slices.Clone(p.workers), func(w *worker) bool { return s.placesOn(w, now) == 0 })
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		switch {
		case a.isHeld() == b.isHeld():
			return cmp.Compare(a.utilization(), b.utilization())
		case a.isHeld():
			return -1
		}
		return 1
	})
	covering := s.coveringWorkers(candidates, now)
	if covering == nil {
		return false
	}
	request := s.startRequest()
	claims, waits := make([]workload.Resources, len(covering)), make([]time.Duration, len(covering))
	left, newlyHeld := request.Tasks, 0
	for i, w := range covering {
		n := min(left, s.placesOn(w, now))
		left -= n
		claims[i] = request.Each.Times(n)
		waits[i] = w.roomWait(claims[i], now)
		if !w.isHeld() {
			newlyHeld++
		}
	}
	wait, slack := slices.Max(waits), holdSlack
	isWide := p.heldCount()+newlyHeld > p.maxHeld()
	if isWide {
		slack = wideHoldSlack
		if !p.mayHoldWide(s, wait, now) {
			return true
		}
	}
	if !s.hold.renew(now, wait+slack) {
		return true
	}
	if isWide {
		*p.wideHold = wideHold{step: s, nextAt: s.hold.until.Add(wideHoldPauseFactor * s.hold.until.Sub(s.hold.since))}
	}
	for i, w := range covering {
		p.hold(w, s, claims[i], now.Add(waits[i]))
	}
	return true
}

// wideHoldOf returns the last wide hold of a service.
func (c *Core) wideHoldOf(service string) *wideHold {
	h := c.wideHolds[service]
	if h == nil {
		h = &wideHold{}
		c.wideHolds[service] = h
	}
	return h
}

// mayHoldWide reports whether a step may hold more workers than maxHeld until the room that is expected after a time.
func (p *placementPool) mayHoldWide(s *step, wait time.Duration, now time.Time) bool {
	if !s.spec.Gang || p.heldCount() > 0 {
		return false
	}
	if p.wideHold.step == s && now.Before(s.hold.until) {
		return true
	}
	return wait <= maxWideHoldWait && !now.Before(p.wideHold.nextAt)
}

// renew begins a step's hold, which lasts for a time, or continues it. It returns false while the hold is paused.
func (h *stepHold) renew(now time.Time, length time.Duration) bool {
	if now.Before(h.pausedUntil) {
		return false
	}
	if h.until.IsZero() {
		h.since, h.until = now, now.Add(length)
	}
	if now.Before(h.until) {
		return true
	}
	*h = stepHold{pausedUntil: now.Add(max(minHoldPause, now.Sub(h.since)))}
	return false
}

// hold holds a worker for an amount of capacity that is expected to be free at a time.
func (p *placementPool) hold(w *worker, s *step, claim workload.Resources, readyAt time.Time) {
	if !w.isHeld() {
		if s.spec.LongRunning {
			p.holds.LongRunning++
		} else {
			p.holds.Starved++
		}
		w.hold.readyAt = readyAt
	}
	w.hold.claimed = w.hold.claimed.Add(claim)
	if readyAt.Before(w.hold.readyAt) {
		w.hold.readyAt = readyAt
	}
}

// hasStartableTask reports whether a task of the step waits for nothing but capacity, all tasks if it is a gang.
func (s *step) hasStartableTask(now time.Time) bool {
	count := 0
	for i := range s.tasks {
		t := s.peek(i)
		if !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && !t.isSuspect() {
			count++
		}
	}
	return count >= s.minTasksPerStart()
}

// reportHolds records what the plan held, and logs the steps that it found not to be placeable: one line for each
// service, with the reason and the age of the oldest.
func (c *Core) reportHolds(pools map[string]*placementPool, now time.Time) {
	c.holds = Holds{}
	for _, p := range pools {
		c.holds.LongRunning += p.holds.LongRunning
		c.holds.Starved += p.holds.Starved
		c.holds.Suspects += len(p.reservedForSuspects)
		c.holds.UnplaceableSteps += len(p.unplaceable)
	}
	if c.holds.UnplaceableSteps == 0 || now.Before(c.unplaceableLoggedAt.Add(unplaceableLogInterval)) {
		return
	}
	c.unplaceableLoggedAt = now
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		p := pools[service]
		if len(p.unplaceable) == 0 {
			continue
		}
		oldest := slices.MinFunc(p.unplaceable, func(a, b *step) int {
			return cmp.Compare(a.job.submission.AcceptedAtMS, b.job.submission.AcceptedAtMS)
		})
		c.recordDecision(Decision{
			Verb: "unplaceable", Job: oldest.job.id, Task: oldest.taskKey(0).StepName(), Queue: oldest.job.submission.Queue, Workspace: oldest.job.submission.Workspace,
			Reason: fmt.Sprintf("%s; %d such steps in the service", p.unplaceableReason(oldest, now), len(p.unplaceable)),
			Age:    now.Sub(time.UnixMilli(oldest.job.submission.AcceptedAtMS)), AlwaysLogged: true,
		})
	}
}

// unplaceableReason describes why a step can't be placed.
func (p *placementPool) unplaceableReason(s *step, now time.Time) string {
	eligible, places := 0, 0
	for _, w := range p.workers {
		if s.mayRunOn(w) {
			eligible++
			places += s.placesOn(w, now)
		}
	}
	return fmt.Sprintf("%d tasks of %s start together, at most %d on a worker (0: no bound): %d of %d workers may run them and have %d places within %s",
		s.minTasksPerStart(), s.spec.Reservation(), s.spec.MaxPerWorker, eligible, len(p.workers), places, maxRoomWait)
}

// Holds returns which workers the last plan kept from other tasks.
func (c *Core) Holds() Holds { return c.holds }
