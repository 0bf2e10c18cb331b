// Package scheduler decides which tasks run on which workers. It is a deterministic state
// machine without I/O: events and the time go in, orders to workers and records to be
// stored come out of [Core.Step]. One node, the owner, runs one Core for the services of
// one partition of the store.
//
// Stored state. A job is stored before its caller learns that it was accepted. A run's
// exit that changes a job is stored before it is acknowledged to the worker, which keeps
// the exit until then. So the store and the workers' reports together are the complete
// state, and a new owner rebuilds it from them.
//
// A run is one run of a task on one worker, from its start order until it is known to have
// ended. These terms explain when runs start and end:
//
//   - Lease: a run lives only until its lease expires. Starts and polls grant leases, and an
//     owner may send them only while its authority lasts. The runs on an unreachable worker
//     have ended once the last lease that the worker may have got has expired on every
//     clock. Their tasks start elsewhere at the earliest then (expireRuns in poll.go,
//     authority.go).
//   - Fencing token: a worker refuses an order with a lower token than it has seen. A new
//     owner polls each worker with its own token before it starts anything there. After
//     the answer no order of an earlier owner has an effect on that worker, and the answer
//     is a report of all its runs.
//   - Incarnation: one process of a worker. A restarted worker may keep its ID, but has lost
//     its runs, exits and the token that it had seen. Each incarnation gets its own token
//     (incarnation.go).
//   - Poll: renews the leases on a worker. The answer is the worker's report of its runs and
//     exits. Only a report shows how a run ended (poll.go, pollresult.go).
//   - Unreachable: a worker that has not answered yet or whose last poll failed. The owner
//     can't know whether the worker crashed, left or is partitioned.
//   - Suspect: a task that may have crashed its worker. Its next run is an isolated run, on a
//     worker where no other task can cause a crash. The suspect is cleared by progress, or
//     its job fails after repeated crashes (suspect.go, crash.go, isolation.go, silence.go).
//   - Preemption and drain: the owner stops a run to free capacity for a more urgent task, or
//     because its VM will be moved or maintained (preempt.go, drain.go).
//   - Backlog: ready tasks without a run wait, ranked mainly by whether their jobs can still be
//     completed in time (ranking.go, rank.go, place.go).
package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// maxClockDrift is by how much a worker's clock may be slow, as a fraction of elapsed time.
	// The platform states 2%; 3% leaves a margin.
	maxClockDrift = 0.03
	// leaseExpirySlack is added to a lease before it counts as expired. It covers the
	// order's transit and timer delays on both sides.
	leaseExpirySlack = 150 * time.Millisecond
	// tokensPerEpoch is the number of fencing tokens of an epoch. The owner raises the token
	// at a worker for each new incarnation.
	tokensPerEpoch = 1 << 10
	// runNumbersPerEpoch is the number of run numbers of a step in an epoch. A new owner
	// numbers its runs above all earlier ones without knowing them.
	runNumbersPerEpoch = 1 << 16
	// jobSweepInterval is the pause between two searches for jobs to delete.
	jobSweepInterval = 5 * time.Second
)

// Core is the state of one partition: its jobs, its workers and what must be stored. The
// owner passes in events, then calls Step and carries out the orders that Step returns.
// It is not safe for concurrent use.
type Core struct {
	settings Settings
	config   *workload.Config

	// Jobs, their ranking and the workers.
	jobs           map[workload.JobID]*job
	activeJobs     []*job // jobs whose end is not stored or that have live runs, in order of arrival
	ranking        ranking
	shares         map[string]*queueShares // by queue
	workShares     workShares
	prospects      prospects
	log            logPosition // of the partition
	racks          rackWatch
	workers        map[string]*worker
	sortedWorkers  []*worker                // by ID
	removedWorkers map[string]removedWorker // by ID; a worker may come back under its ID
	storedAcks     map[string]ackState      // what an earlier owner has found out, by worker

	// Authority. Tasks may be started and leases renewed until authorityUntil if
	// authorityBounded is set, and without a bound otherwise.
	authorityUntil   time.Time
	authorityBounded bool

	// Runs of earlier owners.

	// earlierLeasesExpireAt is when the last lease of an earlier owner has expired. Until
	// then a worker that has not answered this owner may run any task.
	earlierLeasesExpireAt time.Time
	unresolved            unresolvedWorkers
	longLeases            longLeases
	workerCheck           workerCheck

	// Records that must be stored, and the write in flight.
	dirtyJobs map[workload.JobID]*job // their progress has changed
	// overwrittenJobs are the jobs whose stored submission was replaced by that of another job.
	overwrittenJobs []*job
	jobsToDelete    []workload.JobID
	pendingWrite    *pendingWrite // nil if no write is in flight
	lastWriteSeq    int64
	storedWriteSeq  int64 // sequence of the latest stored write
	takeoverStored  bool  // the record of this owner's takeover is stored

	// foreignAddresses are the addresses of registered workers that belong to services of
	// other partitions.
	foreignAddresses map[string]bool

	// Demand, by service.

	// arrivedWork is the work of all jobs that have arrived so far.
	arrivedWork map[string]workload.Work
	// requiredLabels are the labels that the jobs of a service have required so far.
	requiredLabels map[string][]string

	// Orders in flight.
	startsInFlight     startTracker
	extraPollsInFlight int
	formingGangs       []formingGang

	// Suspects.

	// stepsWithCrashes are the steps whose tasks have or had crash records.
	stepsWithCrashes []*step
	// serviceBusyUntil is until when a service counts as busy with tasks that are no suspects.
	serviceBusyUntil  map[string]time.Time
	crashWritePending bool // changed crash records are not stored

	// Workspaces, see allowance.go and loans.go.

	accounts map[string]*account // by workspace
	hasCaps  bool                // the configuration has a workspace with a cap
	// capPartitions are the partitions that share the caps, beside those of unassignedServices services.
	// shareDivisor is the number by which the caps are divided: theirs or, until shareDivisorFrom, that
	// of an earlier configuration.
	capPartitions      []int
	unassignedServices int
	shareDivisor       int
	shareDivisorFrom   time.Time // zero if shareDivisor is the current number
	counterparties     map[int]*counterparty
	// reportedUncovered and reportedVersion are what the other owners are told of this one.
	reportedUncovered workload.AmountsByWorkspace
	reportedVersion   int64
	// dirtyLoans are the accounts whose loans have changed since the last write. loansGrown is set if
	// a loan has grown; loansInWrite is the last write with a loan that had grown.
	dirtyLoans          map[string]*account
	loansGrown          bool
	loansInWrite        int64
	settledCapsUnstored bool // the next owner would have to wait for all others
	pendingLoanReplies  []pendingLoanReply

	holds     Holds                // of the last plan
	wideHolds map[string]*wideHold // by service
	// planStale is set when something has changed that a plan depends on.
	planStale bool
	// Until stalledUntil this process counts as stalled, after a long pause between steps.
	// A worker's missing answer may be waiting unread in this process.
	stalledUntil     time.Time
	takeoverComplete bool // starts no longer wait for the runs of an earlier owner

	// Times of the last actions.
	tookOverAt, lastStepAt, lastJobSweepAt, lastPlanAt, lastSpeculationAt, lastWriteAt, suspectsLoggedAt, lastLoanUpdateAt, blockedLoggedAt, workSharesLoggedAt, unseenUpdatedAt, waitsLoggedAt, unplaceableLoggedAt time.Time

	stepDownReason string // why the ownership is lost, "" while it is held
	orders         Orders // of the step in progress
	Counts         Counts
}

// New returns a Core for an owner that takes over at now. unresolved are the IDs of workers that
// may run tasks of an earlier owner. listIncomplete states that there may be more such workers.
func New(settings Settings, now time.Time, unresolved []string, listIncomplete bool) *Core {
	settings = settings.withDefaults()
	c := &Core{
		settings:              settings,
		config:                &workload.Config{},
		jobs:                  map[workload.JobID]*job{},
		workers:               map[string]*worker{},
		removedWorkers:        map[string]removedWorker{},
		storedAcks:            map[string]ackState{},
		longLeases:            longLeases{byWorker: map[string]*longLease{}},
		serviceBusyUntil:      map[string]time.Time{},
		wideHolds:             map[string]*wideHold{},
		dirtyJobs:             map[workload.JobID]*job{},
		unresolved:            newUnresolvedWorkers(unresolved, listIncomplete),
		foreignAddresses:      map[string]bool{},
		arrivedWork:           map[string]workload.Work{},
		requiredLabels:        map[string][]string{},
		shares:                map[string]*queueShares{},
		workShares:            workShares{},
		prospects:             newProspects(),
		accounts:              map[string]*account{},
		counterparties:        map[int]*counterparty{},
		dirtyLoans:            map[string]*account{},
		shareDivisor:          1,
		earlierLeasesExpireAt: earlierLeaseExpiry(settings, now),
		tookOverAt:            now,
	}
	return c
}

// leaseExpiryDelay returns the time after which a lease granted now has expired on every
// clock.
func leaseExpiryDelay(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*maxClockDrift) + leaseExpirySlack
}

// StepDownReason returns why the ownership is lost, "" while it is held.
func (c *Core) StepDownReason() string { return c.stepDownReason }

// SetConfig applies a configuration. It ignores one with a lower version than the current
// one.
func (c *Core) SetConfig(config *workload.Config) {
	if config.Version < c.config.Version {
		return
	}
	c.config = config
	now := c.lastStepAt
	if now.IsZero() {
		now = c.tookOverAt
	}
	c.setCapPartitions(now)
	c.applyCaps()
	for _, j := range c.activeJobs {
		j.queue = config.Queue(j.submission.Queue)
	}
	c.ranking.stale = true
	c.planStale = true
}

// AddJob adds a job that was stored before this owner's takeover. Only the first record of an ID counts.
func (c *Core) AddJob(id workload.JobID, submission *workload.Submission) {
	j := c.ensureJob(id)
	if j.submission != nil {
		c.keepFirstSubmission(j, submission)
		return
	}
	j.isOrdered = true
	j.setSubmission(submission)
	j.account = c.accountOf(submission.Workspace)
	c.checkWeight(j)
	j.queue = c.config.Queue(submission.Queue)
	if j.restoredProgress != nil {
		c.applyStoredProgress(j)
	}
	c.applyEarlyCancel(j)
	c.recordArrivedWork(j)
	c.recordRequiredLabels(submission)
	c.activeJobs = append(c.activeJobs, j)
	if j.openDue(c.lastStepAt.Add(upcomingWindow)); len(j.open) > 0 {
		c.requestRerank(j.open[0].steps[0])
	}
	c.planStale = true
}

// CancelJob applies a stored cancellation, which by has sent; nil if that is unknown. One by a
// requester that may not access the job has no effect. The cancellation may be read before the job.
func (c *Core) CancelJob(id workload.JobID, by *workload.Requester, now time.Time) {
	j := c.ensureJob(id)
	if j.finalState.IsTerminal() || j.cancelRequested {
		return
	}
	if j.submission == nil {
		j.earlyCancels = append(j.earlyCancels, by)
		return
	}
	if j.mayBeCancelledBy(by) {
		j.cancelRequested = true
		c.endJob(j, workload.Cancelled, now)
	}
}

// RestoreProgress applies the progress that an earlier owner stored for a job.
func (c *Core) RestoreProgress(id workload.JobID, progress *workload.Progress) {
	j := c.ensureJob(id)
	j.restoredProgress = progress
	if j.submission != nil {
		c.applyStoredProgress(j)
		c.applyEarlyCancel(j)
	}
}

// ensureJob returns the job with an ID and creates it if there is none.
func (c *Core) ensureJob(id workload.JobID) *job {
	j, ok := c.jobs[id]
	if !ok {
		j = &job{id: id, storedState: workload.Pending}
		c.jobs[id] = j
	}
	return j
}

// JobState returns the state of a job for callers. ok is false if there is no such job. A
// terminal state is returned only once it is stored. Otherwise a caller could see a state that
// is lost with this owner, and the next owner would run the job again.
func (c *Core) JobState(id workload.JobID) (s workload.JobState, ok bool) {
	j, ok := c.jobs[id]
	if !ok || j.submission == nil {
		return "", false
	}
	if j.storedState.IsTerminal() {
		return j.storedState, true
	}
	if j.started {
		return workload.Running, true
	}
	return workload.Pending, true
}

// JobAccess returns the workspace of a job and the queue to which it was handed in.
func (c *Core) JobAccess(id workload.JobID) (workspace, queue string) {
	j := c.jobs[id]
	if j == nil || j.submission == nil {
		return "", ""
	}
	return j.submission.Workspace, j.submission.Queue
}

// WaitingJobs returns the number of active jobs of a queue that have not started.
func (c *Core) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.activeJobs {
		if j.submission.Queue == queue && !j.started && !j.finalState.IsTerminal() {
			n++
		}
	}
	return n
}

// SetWorkers applies the list of registered workers.
func (c *Core) SetWorkers(list []workload.Worker, now time.Time) {
	present := map[string]bool{}
	for _, info := range list {
		present[info.ID] = true
		w := c.ensureWorker(info.ID, now)
		c.updateEntry(w, info, now)
		c.expectLongLease(w, now)
		w.unregistered, w.processEnded = false, false
	}
	for _, w := range c.sortedWorkers {
		if !present[w.info.ID] {
			w.unregistered = true
		}
		c.resolveProcessExit(w, now)
	}
	c.updateRacks()
	c.planStale = true
}

// SetForeignAddresses replaces the addresses of registered workers that belong to services
// of other partitions. An address may move from one service to another.
func (c *Core) SetForeignAddresses(addresses []string) {
	clear(c.foreignAddresses)
	for _, a := range addresses {
		c.foreignAddresses[a] = true
	}
}

// ensureWorker returns the worker with an ID and creates it if there is none.
func (c *Core) ensureWorker(id string, now time.Time) *worker {
	if w, ok := c.workers[id]; ok {
		return w
	}
	w := &worker{info: workload.Worker{ID: id}, acks: c.storedAcks[id], token: c.settings.Epoch * tokensPerEpoch, bestEffortSpeedPercent: fullSpeedPercent, incarnationFirstSeenAt: now, unreachable: true, unregistered: true, incarnationUnresolved: true}
	if last, ok := c.removedWorkers[id]; ok {
		w.token, w.acks = last.token, last.acks
		w.wasRemoved = true
		c.raiseToken(w)
	}
	c.workers[id] = w
	c.sortedWorkers = append(c.sortedWorkers, w)
	slices.SortFunc(c.sortedWorkers, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return w
}

// Step advances the state to now and returns the orders that are due.
func (c *Core) Step(now time.Time) Orders {
	c.detectStall(now)
	c.dropExpiredLongLeases(now)
	c.updateLongLeaseWorkers(now)
	c.expireRuns(now)
	c.checkLostWorkers(now)
	c.pollOvertakenStarts(now)
	c.removeUnregisteredWorkers(now)
	c.pollWorkers(now)
	c.evictRuns(now)
	c.stopIncompleteGangs(now)
	c.updateLoans(now)
	c.placeTasks(now)
	c.startSpeculativeCopies(now)
	c.sweepJobs(now)
	c.orderWrite(now)
	c.sendLoanReplies()
	orders := c.orders
	c.orders = Orders{}
	return orders
}
