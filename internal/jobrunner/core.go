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

// Times of the core.
const (
	// maxStepGap is the gap between two steps above which the process counts as
	// having been paused.
	maxStepGap = 2 * time.Second
	// maxReadAge is the maximum age of the last read of the log's end for new
	// decisions. An idle follower reads every 2 s.
	maxReadAge = 5 * time.Second
	// takeoverDelay is how long work may remain undone, for each steward that
	// ranks higher, before this steward does it.
	takeoverDelay = 1500 * time.Millisecond
	// leaseRenewers is the number of stewards that renew the leases of a pool's
	// tasks, so that no task is lost when one of them dies.
	leaseRenewers = 2
	// usageInterval is the pause between reads of the usage reports.
	usageInterval = 10 * time.Second
	// pendingWorkTTL is how long undone work and own records are remembered.
	pendingWorkTTL = 10 * time.Minute
)

// CoreConfig configures a Core.
type CoreConfig struct {
	// Node is the author of the records that this process writes.
	Node string
	// NewID returns a unique record ID.
	NewID func() string
	// Rank returns the number of live stewards that rank higher for a pool.
	Rank func(pool string) int
	// Policy is the placement policy; the zero value is the full policy.
	Policy placement.Policy
	// NoCorrection reserves what jobs declare instead of corrected sizes. It is
	// a baseline for measurements, as are the next two.
	NoCorrection bool
	// NoBatchCancelWait also places jobs of teams that are cancelling a batch.
	NoBatchCancelWait bool
	// NoQuarantine trusts every worker.
	NoQuarantine bool
}

// Core decides which actions are due. It is not safe for concurrent use.
type Core struct {
	cfg CoreConfig

	lastStep time.Time
	// resumedAt is when the process started or last resumed after a pause.
	// Nothing is decided on a state that was read earlier.
	resumedAt time.Time

	estimates          *usage.Estimator
	countedJobs        map[string]bool             // ended jobs whose usage has been learned
	ownRecords         map[string]time.Time        // placements and preemptions of this process, by record ID
	tasks              map[string]*task            // by job
	workers            map[string]*worker          // by VM
	firstSeenUndone    map[string]time.Time        // undone work of other stewards, by item
	appliedPreemptions map[string]string           // preemptions carried out: job by preemption ID
	busyKeys           map[string]bool             // keys of actions in flight
	inFlight           [laneCount]int              // actions in flight
	usageRequestedAt   time.Time                   // when usage was last requested
	usageReports       map[string]ledger.Resources // latest usage by task
	actions            []Action
	shuttingDown       bool
	unconfirmedStarts  int                  // own placements not known to run, during shutdown
	plannedAt          map[string]time.Time // by pool
	firstPool          int                  // rotates the pool that comes first
	Stats              Stats
}

// Stats counts events for metrics and measurements.
type Stats struct {
	Started     int // starts that the platform confirmed
	Refused     int // starts that the platform refused
	Lapsed      int
	Unplaceable int
	Preempted   int
	Quarantined int
	StartWaits  []StartWait // cleared by Metrics.observe
}

// StartWait is the time from the submission of a job to its start.
type StartWait struct {
	Urgent bool
	Wait   time.Duration
}

// worker is the core's own state about a VM.
type worker struct {
	// noStartsBefore keeps new jobs off the worker after a refused start.
	noStartsBefore time.Time
	refusals       int
	// noRenewalBefore delays renewals after a failed one.
	noRenewalBefore time.Time
}

// NewCore returns a Core without any state. It decides nothing before a read of
// the log that was sent after now.
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

// Step returns the actions that are due. fresh is when the last read that
// reached the end of the log was sent.
//
// A process that was paused for longer than its leases may have lost its tasks
// to a takeover. On its old state it would renew a task that others have ended,
// or start a cancelled job. After such a gap it does nothing until the log has
// been read again, and renews only tasks whose status it has read since.
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

// BeginShutdown makes the core decide nothing new; it only starts what it has
// placed. Otherwise the other stewards could not know whether the remaining
// placements were started, and jobs that are not repeatable would be lost.
func (c *Core) BeginShutdown() { c.shuttingDown = true }

// ShutdownComplete reports whether a core that is shutting down has nothing
// left to do.
func (c *Core) ShutdownComplete() bool {
	inFlight := 0
	for _, n := range c.inFlight {
		inFlight += n
	}
	return c.shuttingDown && c.unconfirmedStarts == 0 && inFlight == 0
}

// finishOwnStarts starts own placements and counts those that are not known to
// run.
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

// ReadSinceResume reports whether the log has been read since the process
// started or resumed.
func (c *Core) ReadSinceResume(fresh time.Time) bool { return !fresh.Before(c.resumedAt) }

// emit adds an action and reports true, unless an action with its key is in
// flight or its lane is full.
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

// propose emits a proposal of a record about a job or VM. It returns the
// record's ID and whether the action was emitted.
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

// responsibleFor reports whether undone work falls to this steward now. item
// names the work and the state that it was decided on, so each change makes a
// new item.
func (c *Core) responsibleFor(item string, rank int, now time.Time) bool {
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

// forgetRemoved drops the core's own state about jobs, placements and workers
// that no longer exist.
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

// Tasks returns the jobs placed on a worker, sorted by ID. A drain of the
// worker waits for them, or checkpoints them.
func Tasks(st *ledger.State, worker string) []*ledger.Job {
	return slices.SortedFunc(maps.Values(st.WorkerJobs(worker)), byID)
}

// byID orders jobs by ID, so that equal states give the same actions in the
// same order.
func byID(a, b *ledger.Job) int { return strings.Compare(a.ID, b.ID) }
