package jobrunner

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

// Times of the driver.
const (
	// maxStepGap is the gap between two steps that counts as a pause of the
	// process.
	maxStepGap = 2 * time.Second
	// maxReadAge is how old the latest read of the log's end may be for new
	// decisions. An idle follower reads every 2 s.
	maxReadAge = 5 * time.Second
	// takeoverDelay is how long work of a better placed steward may lie undone for
	// each rank before the next one does it.
	takeoverDelay = 1500 * time.Millisecond
	// leaseRenewers is how many stewards renew the leases of a pool's tasks, so that
	// the death of one costs no task.
	leaseRenewers = 2
	// usageInterval is the pause between reads of the usage reports.
	usageInterval = 10 * time.Second
	// pendingWorkTTL is for how long undone work is remembered for a takeover.
	pendingWorkTTL = 10 * time.Minute
)

// CoreConfig is what a Core needs.
type CoreConfig struct {
	// Node names this process in the records that it writes.
	Node string
	// NewID returns a unique record ID.
	NewID func() string
	// Rank returns how many live stewards come before this one for a pool.
	Rank func(pool string) int
	// Policy of placement; the zero value is the full policy.
	Policy placement.Policy
	// NoCorrection reserves what jobs declare: a baseline of the measurements.
	NoCorrection bool
	// NoSettling places the jobs of a team that is cancelling many: a baseline.
	NoSettling bool
	// NoQuarantine trusts every worker: a baseline.
	NoQuarantine bool
}

// Core decides what is due. It is not safe for concurrent use.
type Core struct {
	cfg CoreConfig

	lastStep time.Time
	// resumedAt is when the process began or last woke from a pause. Nothing is
	// decided on what was folded before.
	resumedAt time.Time

	estimates          *usage.Estimator
	countedJobs        map[string]bool             // ended jobs whose use was counted
	ownRecords         map[string]time.Time        // placements and preemptions written here, by record ID
	tasks              map[string]*task            // by job
	workers            map[string]*worker          // by VM
	firstSeenUndone    map[string]time.Time        // undone work of others
	appliedPreemptions map[string]string           // preemptions carried out, by ID: job
	busyKeys           map[string]bool             // keys of actions in flight
	inFlight           [laneCount]int              // actions in flight
	usageRequestedAt   time.Time                   // when usage was last asked for
	usageReports       map[string]ledger.Resources // latest use, by task
	actions            []Action
	shuttingDown       bool
	unconfirmedStarts  int                  // own placements not known to run, while leaving
	plannedAt          map[string]time.Time // by pool
	firstPool          int                  // rotates which pool comes first
	Stats              Stats
}

// Stats counts what happened, for metrics and measurements.
type Stats struct {
	Started     int // starts that the platform confirmed
	Refused     int // starts that the platform refused
	Lapsed      int
	Unplaceable int
	Preempted   int
	SetAside    int
	StartWaits  []StartWait // drained by the Runner
}

// StartWait is how long a job waited from its submission to its start.
type StartWait struct {
	Urgent bool
	Wait   time.Duration
}

// worker is what is remembered about a VM.
type worker struct {
	// noStartsBefore keeps new jobs away after a refused start.
	noStartsBefore time.Time
	refusals       int
	// noRenewalBefore puts renewals off after a failed one.
	noRenewalBefore time.Time
}

// NewCore returns a Core that knows nothing. It decides nothing before a read
// of the log that was sent after now.
func NewCore(cfg CoreConfig, now time.Time) *Core {
	return &Core{
		cfg:                cfg,
		lastStep:           now,
		resumedAt:          now,
		estimates:          usage.NewEstimator(),
		countedJobs:        map[string]bool{},
		ownRecords:         map[string]time.Time{},
		tasks:              map[string]*task{},
		workers:            map[string]*worker{},
		firstSeenUndone:    map[string]time.Time{},
		appliedPreemptions: map[string]string{},
		busyKeys:           map[string]bool{},
		usageReports:       map[string]ledger.Resources{},
		plannedAt:          map[string]time.Time{},
	}
}

// Step returns the actions that are due. fresh is when the latest read that
// reached the end of the log was sent.
//
// A process that was paused past its leases may have lost its tasks to a
// takeover: on its old picture it would renew a task that others have given up,
// or start a job that was cancelled. So after a gap it does nothing until the
// log was read again, and renews only tasks whose status it has seen since.
func (c *Core) Step(st *ledger.State, fresh, now time.Time) []Action {
	if now.Sub(c.lastStep) > maxStepGap {
		c.resumedAt = now
	}
	c.lastStep = now
	c.actions = nil
	if fresh.Before(c.resumedAt) {
		return nil
	}
	c.forgetRemoved(st, now)
	mayDecide := now.Sub(fresh) <= maxReadAge
	if c.shuttingDown {
		c.finishOwnStarts(st, mayDecide, now)
		return c.actions
	}
	pools := st.JobPools()
	c.firstPool++
	for i := range pools {
		pool := pools[(i+c.firstPool)%len(pools)]
		rank := c.cfg.Rank(pool)
		c.drivePool(st, pool, rank, mayDecide, now)
		if mayDecide && c.planDue(st, pool, rank, now) {
			c.planPool(st, pool, rank, now)
		}
	}
	c.requestUsage(now)
	return c.actions
}

// BeginShutdown makes the core decide nothing new: it only starts what it has placed.
// Without that, each placement that a stopping steward leaves behind is one whose
// start is in doubt to the others, and a job that is not repeatable is lost.
func (c *Core) BeginShutdown() { c.shuttingDown = true }

// ShutdownComplete reports whether a leaving core has nothing left to do.
func (c *Core) ShutdownComplete() bool {
	inFlight := 0
	for _, n := range c.inFlight {
		inFlight += n
	}
	return c.shuttingDown && c.unconfirmedStarts == 0 && inFlight == 0
}

// finishOwnStarts starts own placements and counts those that are not known to run.
func (c *Core) finishOwnStarts(st *ledger.State, mayDecide bool, now time.Time) {
	c.unconfirmedStarts = 0
	for _, pool := range st.JobPools() {
		lease := leaseOf(st.Services[pool])
		for _, j := range st.PoolJobs(pool) {
			if j.Status != ledger.JobPlaced || !c.isOwnRecord(j.PlaceID) {
				continue
			}
			if t := c.task(j, now); !t.known {
				c.unconfirmedStarts++
				c.startTask(st, j, t, 0, lease, mayDecide, now)
			}
		}
	}
}

// ReadSinceResume reports whether the log was read since the process began or woke.
func (c *Core) ReadSinceResume(fresh time.Time) bool { return !fresh.Before(c.resumedAt) }

// emit adds an action unless its key is held or its lane is full.
func (c *Core) emit(a Action) bool {
	if c.busyKeys[a.Key] || c.inFlight[a.Lane] >= laneLimits[a.Lane] {
		return false
	}
	c.busyKeys[a.Key] = true
	c.inFlight[a.Lane]++
	a.NotAfter = c.lastStep.Add(maxStepGap)
	c.actions = append(c.actions, a)
	return true
}

// propose emits a record about a job or VM.
func (c *Core) propose(st *ledger.State, sub record.Subject, body record.Body, now time.Time) (string, bool) {
	id := c.cfg.NewID()
	ok := c.emit(Action{
		Verb: VerbPropose,
		Lane: LaneLog,
		Key:  "propose/" + sub.String(),
		Job:  sub.Name,
		Record: record.Record{
			ID:      id,
			Subject: sub,
			Base:    st.Revision(sub),
			Seen:    st.Offset,
			Author:  c.cfg.Node,
			Time:    now,
			Body:    body,
		},
	})
	return id, ok
}

func jobSubject(id string) record.Subject {
	return record.Subject{Kind: record.SubjectJob, Name: id}
}

// claim reports whether undone work falls to this steward now. item names the
// work and what it was decided on, so that it is new after every change.
func (c *Core) claim(item string, rank int, now time.Time) bool {
	if rank == 0 {
		return true
	}
	first, ok := c.firstSeenUndone[item]
	if !ok {
		c.firstSeenUndone[item] = now
		return false
	}
	return now.Sub(first) >= time.Duration(rank)*takeoverDelay
}

// forgetRemoved drops what is remembered about jobs and workers that are gone.
func (c *Core) forgetRemoved(st *ledger.State, now time.Time) {
	for id, t := range c.tasks {
		if j, ok := st.Jobs[id]; !ok || j.Status != ledger.JobPlaced || j.PlaceID != t.placeID {
			delete(c.tasks, id)
			delete(c.usageReports, t.id)
		}
	}
	for id := range c.countedJobs {
		if _, ok := st.Jobs[id]; !ok {
			delete(c.countedJobs, id)
		}
	}
	for id := range c.workers {
		if _, ok := st.VMs[id]; !ok {
			delete(c.workers, id)
		}
	}
	for id, job := range c.appliedPreemptions {
		if c.tasks[job] == nil {
			delete(c.appliedPreemptions, id)
		}
	}
	dropExpired(c.firstSeenUndone, now)
	dropExpired(c.ownRecords, now)
}

func dropExpired(m map[string]time.Time, now time.Time) {
	for key, at := range m {
		if now.Sub(at) > pendingWorkTTL {
			delete(m, key)
		}
	}
}

func (c *Core) worker(id string) *worker {
	w, ok := c.workers[id]
	if !ok {
		w = &worker{}
		c.workers[id] = w
	}
	return w
}

// Tasks lists the jobs placed on a worker, sorted: what a drain waits for,
// checkpoints or skips.
func Tasks(st *ledger.State, worker string) []*ledger.Job {
	return slices.SortedFunc(maps.Values(st.WorkerJobs(worker)), byID)
}

// byID orders jobs, so that the same state gives the same actions in the same
// order.
func byID(a, b *ledger.Job) int { return strings.Compare(a.ID, b.ID) }
