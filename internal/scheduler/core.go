// Package scheduler is the machine that runs the jobs of services on their
// workers. It is deterministic and pure: messages and the time go in, orders and
// records to be stored come out. One node, the owner, runs it for the services
// of one partition of the store.
//
// What it rests on:
//
//   - Every accepted job is stored before its caller hears of it, and every end
//     that matters is stored before it is acknowledged to the worker, which
//     keeps it until then. So what a new owner reads from the store, together
//     with what the workers list, is all that has happened.
//   - A worker refuses orders with a lower fencing token than one it has seen.
//     A new owner holds each worker with its own token before it starts
//     anything: from that answer on, no order of an earlier owner has effect
//     there, and the answer lists all that runs.
//   - A run lives only while its lease does. What a worker that does not answer
//     may run is over once the last lease it may have got has lapsed.
package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Settings of a Core.
type Settings struct {
	// Epoch is unique to this ownership and above all earlier ones.
	Epoch int64
	// Address is where the owner's node answers others.
	Address string
	// LeaseDuration is how long a run lives without renewal.
	LeaseDuration time.Duration
	// MaxOwnerOverlap is for how long an owner may go on after its successor has begun.
	MaxOwnerOverlap time.Duration
	// MaxLeaseDuration is the longest lease that a worker gives, whatever it is asked for.
	MaxLeaseDuration time.Duration
	// JobRetention is for how long an ended job is known.
	JobRetention time.Duration
	// MaxStopDuration is what a stop takes at most.
	MaxStopDuration time.Duration
	// GangTimeout is how long a member of a gang waits for the others; 0 is the
	// default.
	GangTimeout time.Duration
	// RemoteDataSlowdown is how many times as long a task takes away from its data.
	RemoteDataSlowdown float64
}

// Times that decisions rest on.
const (
	// maxClockDrift is what a worker's clock may be slow, as a share of a lease;
	// the platform says 2%.
	maxClockDrift = 0.03
	// leaseExpirySlack is added to a lease before it counts as lapsed: the way of the
	// order and the turn of timers at both ends.
	leaseExpirySlack = 150 * time.Millisecond
	// tokensPerEpoch leaves room below the epoch for raising the token at one worker.
	tokensPerEpoch = 1 << 10
	// runNumbersPerEpoch leaves room below the epoch for the runs of one step, so that a new
	// owner needs to know nothing of earlier runs to number higher.
	runNumbersPerEpoch = 1 << 16
	// jobSweepInterval is the pause between looks for jobs to be forgotten.
	jobSweepInterval = 5 * time.Second
)

// Core holds the jobs and workers of one partition. It is not safe for
// concurrent use.
type Core struct {
	settings Settings
	config   *workload.Config

	jobs          map[workload.JobID]*job
	activeJobs    []*job // not ended, in the order of their acceptance here
	ranking       ranking
	shares        map[string]*queueShares // by queue
	workers       map[string]*worker
	sortedWorkers []*worker // sorted by ID
	// forgottenWorkerTokens are the tokens that were in use at workers that are forgotten, by ID: one
	// of that ID may come back.
	forgottenWorkerTokens map[string]int64

	// authorityUntil is until when tasks may be started and leases renewed, if that is bounded.
	authorityUntil   time.Time
	authorityBounded bool
	// earlierLeasesExpireAt is when the last lease of an earlier owner has lapsed. Until
	// then a worker that has not answered may run any task.
	earlierLeasesExpireAt time.Time
	// unresolvedWorkers are the workers that may run what an earlier owner started. There
	// are none where that owner has left a report of its runs.
	unresolvedWorkers map[string]bool
	// workerListIncomplete is set while the list of workers may lack some that run tasks.
	workerListIncomplete bool

	// What is to be stored, and is being stored.
	dirtyJobs      map[workload.JobID]*job
	jobsToDelete   []workload.JobID // to be deleted
	pendingWrite   *pendingWrite    // nil if none is under way
	lastWriteSeq   int64
	storedWriteSeq int64 // of the latest write that is stored
	takeoverStored bool  // this owner has stored that it took over

	// foreignAddresses are the addresses at which workers of other partitions' services are
	// registered.
	foreignAddresses map[string]bool

	arrivedWork map[string]workload.Work // by service
	// requiredLabels are the labels that a service's jobs have asked for so far.
	requiredLabels map[string][]string
	startsInFlight startTracker
	// extraPollsInFlight is how many are under way.
	extraPollsInFlight int
	formingGangs       []formingGang
	// stepsWithCrashes are those under whose tasks workers have crashed.
	stepsWithCrashes []*step
	// serviceBusyUntil is until when a service counts as busy with tasks that are no suspects.
	serviceBusyUntil map[string]time.Time
	// suspectWritePending is set while what is known of some suspects is being stored.
	suspectWritePending bool
	// planStale is set when something has changed that a plan rests on.
	planStale bool
	// stalledUntil is until when the process counts as stalled: it hardly gets on.
	stalledUntil     time.Time
	takeoverComplete bool // nothing waits for an earlier owner's runs any more

	// When things were done last.
	tookOverAt, lastStepAt, lastJobSweepAt, lastPlanAt, lastSpeculationAt, lastWriteAt, suspectsLoggedAt time.Time

	stepDownReason string // why the ownership is lost, "" while it is not
	orders         Orders // of the present step
	Counts         Counts
}

// Counts are totals for metrics.
type Counts struct {
	StartedRuns, DoneTasks, FailedRuns, ExpiredRuns, RefusedStarts, UnansweredStarts int
	CompletedJobs, FailedJobs, CancelledJobs                                         int
	// WorkerCrashes is how many workers crashed, and RunsLost how many runs with them.
	WorkerCrashes, LostRuns int
	// WorkerRestarts is how many workers came back under their ID, and EndsUnread how many runs
	// vanished from a worker that listed no end of them.
	WorkerRestarts, UnreadExits int
	// DuplicateRuns is how many runs were found beside another run of their task.
	DuplicateRuns int
	// IsolatedRuns is how many starts were of suspects, Cleared how many of these got on, and
	// GivenUp how many jobs failed as one of their tasks crashes workers.
	IsolatedRuns, ClearedSuspects, CrashingJobs int
	// ExtraPolls is how many polls of workers were sent beside one whose answer was late.
	ExtraPolls int
	// RankedJobs is how many jobs were ranked, and Looks how many workers and runs were
	// looked at, to decide on starts: what planning costs.
	RankedJobs, PlacementChecks int
	// Plans is how many plans were made, and CutShort how many of them ended before
	// all that has room was started, as too many starts had no answer yet.
	Plans, TruncatedPlans int
}

// New returns a core that takes over at now. unheld are the workers that an
// earlier owner may have given work to; doubtful says that there may be more.
func New(settings Settings, now time.Time, unresolved []string, listIncomplete bool) *Core {
	if settings.GangTimeout == 0 {
		settings.GangTimeout = defaultGangTimeout
	}
	settings.MaxLeaseDuration = max(settings.MaxLeaseDuration, settings.LeaseDuration)
	c := &Core{
		settings:              settings,
		config:                &workload.Config{},
		jobs:                  map[workload.JobID]*job{},
		workers:               map[string]*worker{},
		forgottenWorkerTokens: map[string]int64{},
		serviceBusyUntil:      map[string]time.Time{},
		dirtyJobs:             map[workload.JobID]*job{},
		unresolvedWorkers:     map[string]bool{},
		foreignAddresses:      map[string]bool{},
		arrivedWork:           map[string]workload.Work{},
		requiredLabels:        map[string][]string{},
		shares:                map[string]*queueShares{},
		earlierLeasesExpireAt: earlierLeaseExpiry(settings, now),
		workerListIncomplete:  listIncomplete,
		tookOverAt:            now,
	}
	for _, id := range unresolved {
		c.unresolvedWorkers[id] = true
	}
	return c
}

// leaseExpiryDelay is the time after which a lease given now is over on every clock.
func leaseExpiryDelay(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*maxClockDrift) + leaseExpirySlack
}

// StepDownReason tells why the ownership is lost, "" while it is not.
func (c *Core) StepDownReason() string { return c.stepDownReason }

// SetConfig puts a configuration in force.
func (c *Core) SetConfig(config *workload.Config) {
	if config.Version < c.config.Version {
		return
	}
	c.config = config
	for _, j := range c.activeJobs {
		j.queue = config.Queue(j.submission.Queue)
	}
	c.ranking.stale = true
	c.planStale = true
}

// AddJob takes a stored job. The first record of an ID counts.
func (c *Core) AddJob(id workload.JobID, submission *workload.Submission) {
	j := c.ensureJob(id)
	if j.submission != nil {
		return
	}
	j.createSteps(submission)
	j.queue = c.config.Queue(submission.Queue)
	if j.restoredProgress != nil {
		c.applyStoredProgress(j)
	}
	c.applyEarlyCancel(j)
	c.recordArrivedWork(j)
	c.recordRequiredLabels(submission)
	c.activeJobs = append(c.activeJobs, j)
	if len(j.steps) > 0 {
		c.requestRerank(j.steps[0])
	}
	c.planStale = true
}

// recordRequiredLabels notes which labels the jobs of a service ask for.
func (c *Core) recordRequiredLabels(submission *workload.Submission) {
	for i := range submission.Spec.Steps {
		label := submission.Spec.Steps[i].RequiredLabel
		if label != "" && !slices.Contains(c.requiredLabels[submission.Service], label) {
			c.requiredLabels[submission.Service] = append(c.requiredLabels[submission.Service], label)
		}
	}
}

// CancelJob takes a stored cancel, also one that is read before its job.
func (c *Core) CancelJob(id workload.JobID, now time.Time) {
	j := c.ensureJob(id)
	if j.finalState.IsTerminal() || j.cancelRequested {
		return
	}
	j.cancelRequested = true
	if j.submission == nil {
		return
	}
	c.completeJob(j, workload.Cancelled, now)
}

// RestoreProgress takes what an earlier owner stored of a job.
func (c *Core) RestoreProgress(id workload.JobID, progress *workload.Progress) {
	j := c.ensureJob(id)
	j.restoredProgress = progress
	if j.submission != nil {
		c.applyStoredProgress(j)
		c.applyEarlyCancel(j)
	}
}

// ensureJob returns the job of an ID, made if need be.
func (c *Core) ensureJob(id workload.JobID) *job {
	j, ok := c.jobs[id]
	if !ok {
		j = &job{id: id, storedState: workload.Pending}
		c.jobs[id] = j
	}
	return j
}

// JobState returns a job's state as callers may be told it. ok is false if there
// is no such job. An end is shown only once it is stored: an owner that shows
// it and is lost would otherwise be followed by one that runs the job again.
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

// WaitingJobs is how many accepted jobs of a queue have not begun.
func (c *Core) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.activeJobs {
		if j.submission.Queue == queue && !j.started && !j.finalState.IsTerminal() {
			n++
		}
	}
	return n
}

// SetWorkers takes the list of workers that are registered.
func (c *Core) SetWorkers(list []workload.Worker, now time.Time) {
	present := map[string]bool{}
	for _, info := range list {
		present[info.ID] = true
		w := c.ensureWorker(info.ID, now)
		c.updateEntry(w, info, now)
		w.unregistered = false
	}
	for _, w := range c.sortedWorkers {
		if !present[w.info.ID] {
			w.unregistered = true
		}
		c.resolvePossibleCrash(w, now)
	}
	c.planStale = true
}

// SetForeignAddresses takes the addresses at which workers of services that other owners run
// are registered. An address may pass from one service to another.
func (c *Core) SetForeignAddresses(addresses []string) {
	clear(c.foreignAddresses)
	for _, a := range addresses {
		c.foreignAddresses[a] = true
	}
}

// ensureWorker returns the worker of an ID, made if need be.
func (c *Core) ensureWorker(id string, now time.Time) *worker {
	if w, ok := c.workers[id]; ok {
		return w
	}
	w := &worker{info: workload.Worker{ID: id}, token: c.settings.Epoch * tokensPerEpoch, bestEffortSpeedPercent: fullSpeedPercent, incarnationFirstSeenAt: now, unreachable: true, unregistered: true, incarnationUnresolved: true}
	if last, ok := c.forgottenWorkerTokens[id]; ok {
		w.token = last
		c.raiseToken(w)
	}
	c.workers[id] = w
	c.sortedWorkers = append(c.sortedWorkers, w)
	slices.SortFunc(c.sortedWorkers, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return w
}

// Step returns what is due.
func (c *Core) Step(now time.Time) Orders {
	c.detectStall(now)
	c.expireRuns(now)
	c.pollOvertakenStarts(now)
	c.removeGoneWorkers(now)
	c.pollWorkers(now)
	c.evictRuns(now)
	c.stopIncompleteGangs(now)
	c.placeTasks(now)
	c.startSpeculativeCopies(now)
	c.sweepJobs(now)
	c.orderWrite(now)
	orders := c.orders
	c.orders = Orders{}
	return orders
}

// removeGoneWorkers drops workers that are gone and run nothing any more. One that is
// closed is kept: it may be on no list yet, and open when it comes.
func (c *Core) removeGoneWorkers(now time.Time) {
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(w *worker) bool {
		if !w.unregistered || len(w.runs) > 0 || now.Before(w.drainUntil) || now.Before(w.crashUnconfirmedUntil) {
			return false
		}
		if c.unresolvedWorkers[w.info.ID] && now.Before(c.earlierLeasesExpireAt) {
			return false // it may be cut off from the store and run what an earlier owner started
		}
		delete(c.workers, w.info.ID)
		delete(c.unresolvedWorkers, w.info.ID)
		c.forgottenWorkerTokens[w.info.ID] = w.token
		return true
	})
}

// sweepJobs drops jobs that ended long ago, here and in the store.
func (c *Core) sweepJobs(now time.Time) {
	c.logTakeoverComplete(now)
	c.activeJobs = slices.DeleteFunc(c.activeJobs, func(j *job) bool { return j.storedState.IsTerminal() && j.liveRuns == 0 })
	if now.Before(c.lastJobSweepAt.Add(jobSweepInterval)) {
		return
	}
	for id, j := range c.jobs {
		if j.storedState.IsTerminal() && j.liveRuns == 0 && now.UnixMilli()-j.completedAtMS > (2*c.settings.JobRetention).Milliseconds() {
			c.jobsToDelete = append(c.jobsToDelete, id)
			delete(c.jobs, id)
		}
	}
	slices.Sort(c.jobsToDelete)
	c.lastJobSweepAt = now
}
