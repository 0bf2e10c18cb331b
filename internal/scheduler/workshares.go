package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workshare"
)

// workShares divide the work of each full service among workspaces by weight.
type workShares map[string]*serviceShares // by service

// serviceShares is the division of one service, and its room in the round in progress.
type serviceShares struct {
	workshare.Division
	room roomOfService
}

func (w workShares) of(service string) *serviceShares {
	s := w[service]
	if s == nil {
		s = &serviceShares{room: roomOfService{seen: map[*account]bool{}}}
		w[service] = s
	}
	return s
}

// contender is a workspace that waits in one service, with the rank of its first candidate.
type contender struct {
	account  *account
	class    rankClass
	priority int
}

// roomOfService is the state of a service that is about to be divided.
type roomOfService struct {
	capacity, free, wanted int // milli-cores; wanted by all tasks that are ready
	contenders             []contender
	seen                   map[*account]bool // the contenders
}

// reset forgets the room of the last round, and keeps the memory.
func (room *roomOfService) reset() {
	clear(room.seen)
	*room = roomOfService{contenders: room.contenders[:0], seen: room.seen}
}

// competes reports whether the candidate's place depends on what its workspace has had. Jobs that can't
// earn credit use what the others leave, and long-running ones are few.
func (cand *candidate) competes() bool {
	a := cand.job.account
	return a != nil && a.weight > 0 && cand.class >= classOnTime && cand.class <= classBeyondWeight
}

// beginShares begins a new round of the division of each service. The candidates must be sorted. A service
// whose free capacity suffices for all is not divided.
func (c *Core) beginShares(now time.Time) {
	if c.config.Workspaces == nil {
		return
	}
	for _, shares := range c.workShares {
		shares.room.reset()
	}
	for i := range c.ranking.candidates {
		cand := &c.ranking.candidates[i]
		if c.ranking.waitsForWorkers(cand.job) {
			continue
		}
		c.workShares.of(cand.job.submission.Service).room.add(cand, now)
	}
	for _, w := range c.sortedWorkers {
		if shares := c.workShares[w.info.Service]; shares != nil && w.canAcceptStarts(now) {
			shares.room.capacity += w.info.Capacity.CPU
			shares.room.free += max(0, w.free().CPU)
		}
	}
	for _, shares := range c.workShares {
		if shares.room.wanted <= shares.room.free {
			shares.Reset(now)
			continue
		}
		shares.Begin(shares.room.demands(), float64(shares.room.capacity)/1000, now)
	}
}

func (room *roomOfService) add(cand *candidate, now time.Time) {
	for _, s := range cand.steps {
		if s.idleCount > 0 && s.isReady(now) {
			room.wanted += s.idleCount * s.spec.Resources.CPU
		}
	}
	if !cand.competes() || room.seen[cand.job.account] {
		return
	}
	room.seen[cand.job.account] = true
	room.contenders = append(room.contenders, contender{account: cand.job.account, class: cand.class, priority: cand.priority})
}

// demands returns the demands of the contenders. Those that wait for their cap, or behind jobs of a better
// class or priority, don't compete for what is freed next.
func (room *roomOfService) demands() []workshare.Demand {
	list := make([]workshare.Demand, len(room.contenders))
	for i, w := range room.contenders {
		first := room.contenders[0]
		list[i] = workshare.Demand{
			Workspace: w.account.name,
			Weight:    w.account.weight,
			Blocked:   w.account.isBlocked() || w.class != first.class || w.priority != first.priority,
		}
	}
	return list
}

// assignTurn sets the turn of a candidate in the division of its service. It must be called in the order
// of the candidates without turns.
func (c *Core) assignTurn(cand *candidate) {
	if !cand.competes() || c.ranking.waitsForWorkers(cand.job) {
		return
	}
	if d := c.workShares[cand.job.submission.Service]; d != nil {
		a := cand.job.account
		if cand.turn = d.Turn(a.name, a.weight, cand.remainingWork); cand.turn > 0 {
			c.Counts.HeldBackJobs++
		}
	}
}

// assignTurns divides the services among the workspaces and sorts the candidates by that.
func (c *Core) assignTurns(now time.Time) {
	c.beginShares(now)
	contended := false
	for _, d := range c.workShares {
		contended = contended || d.IsContended()
	}
	if !contended {
		return
	}
	for i := range c.ranking.candidates {
		c.assignTurn(&c.ranking.candidates[i])
	}
	slices.SortStableFunc(c.ranking.candidates, compareCandidates)
}

// chargeStart charges a run that has been ordered to its workspace, by its estimate.
func (c *Core) chargeStart(r *run) {
	a := r.step.job.account
	if a == nil || r.step.spec.LongRunning || c.config.Workspaces == nil {
		return
	}
	r.charge = c.workShares.of(r.step.job.submission.Service).Charge(a.name, a.weight, coreSeconds(r.step.spec, estimate(r.step.spec)))
}

// recordWorkArrival records the work of an occurrence that is ranked for the first time.
func (c *Core) recordWorkArrival(cand candidate) {
	if a := cand.job.account; a != nil {
		c.workShares.of(cand.job.submission.Service).Arrive(a.name, a.weight, cand.remainingWork)
	}
}

// settleCharge replaces the estimate that a run's workspace was charged with by the time that the run took.
// Estimates may be wrong by more than a factor of two.
func (c *Core) settleCharge(r *run) {
	if r.charge == (workshare.Charge{}) {
		return
	}
	taken := max(0, c.lastStepAt.Sub(r.orderedAt))
	if !r.startConfirmed {
		taken = 0 // it never ran
	}
	a := r.step.job.account
	c.workShares.of(r.step.job.submission.Service).Settle(a.name, a.weight, r.charge, coreSeconds(r.step.spec, taken))
	r.charge = workshare.Charge{}
}

// maxLoggedShares bounds the log lines on the shares of one service, in each sharesLogInterval.
const (
	maxLoggedShares   = 10
	sharesLogInterval = time.Second
)

// logShares logs what the workspaces have had of each service that is divided, those with the most first.
func (c *Core) logShares(now time.Time) {
	if now.Before(c.workSharesLoggedAt.Add(sharesLogInterval)) {
		return
	}
	c.workSharesLoggedAt = now
	for _, service := range slices.Sorted(maps.Keys(c.workShares)) {
		division := c.workShares[service]
		if !division.IsContended() {
			continue
		}
		shares := division.Shares()
		slices.SortFunc(shares, func(a, b workshare.Share) int {
			return cmp.Or(cmp.Compare(b.Lead, a.Lead), cmp.Compare(a.Workspace, b.Workspace))
		})
		for _, s := range shares[:min(len(shares), maxLoggedShares)] {
			reason := fmt.Sprintf("service %s is full, %d workspaces share it; %d ms of the service ahead of the others, waits %t, asks for more than the others %t", service, len(shares), s.Lead.Milliseconds(), s.Waits, s.HasMore)
			c.recordDecision(Decision{Verb: "workspace-share", Workspace: s.Workspace, Reason: reason})
		}
	}
}
