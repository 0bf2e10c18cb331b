package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/internal/workshare"
)

const (
	// stopRetryInterval is the pause before a stop without an answer is sent again.
	stopRetryInterval = 300 * time.Millisecond
	// maxOrdersPerWorker bounds the starts and throttles in flight to one worker: none is sent
	// while that many starts, stops and throttles are in flight.
	maxOrdersPerWorker = 10
	// maxStartsInFlight bounds the starts in flight to all workers, except those whose answer
	// counts as lost. An order takes about 5 ms, so the bound allows thousands a second.
	// Without it a node on a small VM sends so many at once that none is answered in time.
	maxStartsInFlight = 64
	// maxOrderDelay is the longest time after which an order without an answer may still be
	// carried out; 12 s were observed.
	maxOrderDelay    = 13 * time.Second
	fullSpeedPercent = 100
	// maxClockAge is how old the last clock reading of an idle worker may get. The worker's
	// next lease is shorter by maxClockDrift of that age.
	maxClockAge = 10 * time.Second
	// stopSlack is added to the duration of a stop for the order's transit.
	stopSlack = 200 * time.Millisecond
)

// runState is what the owner knows of a run.
type runState int

const (
	runStarting    runState = iota // ordered, not answered yet
	runUnconfirmed                 // it may run: its start got no answer, or an earlier owner left it
	runRunning                     // its start was answered, or the worker has listed it
	runStopping                    // the owner has ordered its stop; it may not have started
)

// run is one run of a task on a worker, from its start order until it is known to have
// ended. Its resources stay reserved on the worker for all that time.
type run struct {
	step        *step
	index       int // of the task in the step
	number      int64
	worker      *worker
	rack        string // of the worker when the run was ordered
	incarnation int64  // of the worker that the run was ordered to; 0 if unknown
	state       runState
	// stateChangedAt is when state was set or confirmed last. That the report of a poll that was
	// sent earlier doesn't list the run has no meaning.
	stateChangedAt time.Time
	orderedAt      time.Time
	// minClockMS is the lower bound of the worker's clock from which the lease of the start was computed, in
	// milliseconds; 0 for inherited runs. Only another incarnation can show a lower clock later.
	minClockMS int64
	charge     workshare.Charge // to its workspace

	// Stop of the run.
	lastStopAt      time.Time
	stopInFlight    bool // a stop awaits its answer
	stopConfirmed   bool // the worker has accepted a stop: the run can't start any more
	stoppedForDrain bool // it was stopped to drain its worker

	// Until mayBeStoppingUntil the run may be stopping on an order of an earlier owner: a
	// worker lists a run as running until it has ended. confirmedRunning is set once the run
	// is listed in answer to a poll that was sent later.
	mayBeStoppingUntil time.Time
	confirmedRunning   bool
	startConfirmed     bool // the worker has answered the start, also to an earlier owner, or listed the run

	// Speed and load.
	speedPercent        int // as listed last
	orderedSpeedPercent int // as ordered last, -1 if it must be ordered again
	throttleInFlight    bool
	latencyOrCPU        float64 // as in workload.ListedRun
	checkpoint          string

	isExitTrial bool // it is to show whether its worker drops exits
	// isolated is set for an isolated run of a suspect until the run makes progress or ends.
	isolated bool

	// Origin of a run that an earlier owner ordered: either fromCrashRecord or inherited is set.

	// fromCrashRecord is set if the run was restored from a stored crash record of its task.
	fromCrashRecord bool
	handedOver      bool // a handover has the run
	// isolationPlannedAt is when an earlier owner planned the run as an isolated run, zero for
	// other runs. The run started later than that.
	isolationPlannedAt time.Time
	// inherited is set if the run was restored from a handover or found in a worker's report. The
	// run is older than orderedAt.
	inherited bool
	// fromReportOnly is set if the inherited run was found in a worker's report and no handover had it.
	fromReportOnly bool
}

func (r *run) taskKey() workload.TaskKey { return r.step.taskKey(r.index) }
func (r *run) task() *task               { return r.step.task(r.index) }

// worker is what the owner knows of a worker: the process at its address, the leases that the
// worker may have got, its polls and its runs. Fields of type time.Time are on the owner's clock.
type worker struct {
	info workload.Worker // its entry in the registry

	// Incarnation.

	// incarnation is the start time of the worker's process in Unix milliseconds, 0 if
	// unknown. incarnationUnresolved is set until its first report has shown which runs that
	// were ordered earlier are there.
	incarnation              int64
	incarnationUnresolved    bool
	restartDetectedAt        time.Time // when a restart under the same ID was last detected, zero if never
	incarnationUnknownLogged bool      // it was logged that its reports don't state the incarnation
	// entryMismatch is set when its entry names another incarnation than its reports, until
	// the worker has answered a poll.
	entryMismatch bool
	// leavingIncarnation is the latest incarnation whose entry announced that it leaves.
	leavingIncarnation int64
	// token is the fencing token of the incarnation. It is raised for the next one, so that
	// orders to an earlier incarnation have no effect there.
	token                  int64
	incarnationFirstSeenAt time.Time
	maxCapacity            workload.Resources // largest capacity in the incarnation's entries
	// synced is set once the worker has answered a poll with the current token, so that all
	// its runs are known. It is cleared when its process ends or restarts, and when its runs
	// are dropped because it is unreachable.
	synced       bool
	unregistered bool // it has no entry in the registry
	// processEnded is set once the list of VMs shows that the worker's process has ended and that none can follow under
	// its ID, until it has an entry again.
	processEnded bool
	// wasRemoved is set if this owner had removed the worker before and has added it again.
	wasRemoved bool

	// Clock and leases.

	// clockMS is the worker's clock in milliseconds at clockReadAt.
	clockMS     int64
	clockReadAt time.Time
	// leasesExpireAt is when the last lease that the worker may have got has expired.
	leasesExpireAt time.Time

	// Polls.
	pollInFlight bool
	nextPollAt   time.Time
	// pollAnswerDueAt is when the answer to the latest poll is overdue. extraPollsInFlight is
	// the number of extra polls in flight.
	pollAnswerDueAt    time.Time
	firstPollDueAt     time.Time // when the answer to the poll in flight was due first, without its extra polls
	extraPollsInFlight int
	// lastHeardAt is when the worker answered last, an order or a poll.
	lastHeardAt time.Time
	// answeredAsk is when the latest of its answered orders and polls was sent.
	answeredAsk time.Time
	// overdueSince is since when an answer has been due, zero if none was at the last check of the racks.
	overdueSince time.Time
	// lastAnsweredPollSentAt is when the latest poll that got an answer was sent.
	lastAnsweredPollSentAt time.Time
	// lastReportClockMS is the worker's clock in the last report that was accepted.
	lastReportClockMS int64
	// unreachable is set from the worker's creation, and again when a poll fails, a start
	// can't be sent or a drain ends, until the worker answers a poll. The worker gets no
	// starts until then. unreachableSince is when a failed poll or start last made the
	// worker unreachable, zero if none did.
	unreachable       bool
	unreachableSince  time.Time
	connectionRefused bool // the connection of the last poll was refused
	// replaced is set once another worker has answered at the worker's address. The worker is
	// not polled until its entry changes.
	replaced bool

	// Crashes and suspects.

	// blamedRuns are the runs whose tasks have a record of the worker's crash. Until
	// crashUnconfirmedUntil the crash is unconfirmed, as the worker may be partitioned rather
	// than crashed, and the worker is kept; zero if there is no unconfirmed crash.
	blamedRuns            []*run
	crashUnconfirmedUntil time.Time
	// Until reservedForSuspectsUntil only suspects may start on the worker.
	reservedForSuspectsUntil time.Time
	// Until isolatedRunPlannedUntil the worker waits for a suspect whose planned isolated run
	// is being stored.
	isolatedRunPlannedUntil time.Time

	// Answers and orders in flight.

	// lastUnansweredPollSentAt is when the latest failed poll was sent. lastReportHandledAt is
	// when the latest report was handled or a restart was detected.
	lastUnansweredPollSentAt time.Time
	lastReportHandledAt      time.Time
	ordersInFlight           int // starts, stops and throttles without an outcome

	// Sequence numbers of exits: the highest that was read, the highest that may be
	// acknowledged, and the highest whose acknowledgement was sent and answered.
	lastExitSeen, ackAllowed int64
	ackSent, ackConfirmed    int64
	acks                     ackState

	// Runs.

	// Until lateStartUntil a start without an answer may still be carried out.
	lateStartUntil    time.Time
	reservedResources workload.Resources // by runs
	runs              []*run

	// Drain, throttling and backoff.

	// Until drainUntil the worker is being drained. The requester renews the drain.
	drainUntil             time.Time
	drainBegunAt           time.Time
	drainEndedAt           time.Time // end of the last drain
	drainWaitLoggedAt      time.Time // when it was last logged what the drain waits for
	maintenanceDueUntil    time.Time // until then its VM counts as due for maintenance
	bestEffortSpeedPercent int       // speed of its best-effort tasks
	speedChangedAt         time.Time
	hold                   workerHold // of the current plan
	failures               failureTracker
	startBackoffUntil      time.Time
}

// markUnreachable records that the worker is unreachable.
func (w *worker) markUnreachable(now time.Time) {
	if !w.unreachable {
		w.unreachable = true
		w.unreachableSince = now
	}
}

// allowAck allows the acknowledgement of exits up to a sequence number. If that covers all
// exits that were read, the worker is polled immediately. Its polls were delayed until now,
// because a worker with unacknowledged exits answers each poll without waiting.
func (w *worker) allowAck(exitNumber int64) {
	if exitNumber <= w.ackAllowed {
		return
	}
	w.ackAllowed = exitNumber
	if w.ackAllowed == w.lastExitSeen && !w.unreachable {
		w.nextPollAt = time.Time{}
	}
}

// hasPendingAck reports whether an acknowledgement must be sent or sent again.
func (w *worker) hasPendingAck() bool { return w.ackAllowed > w.ackConfirmed }

// minClockMS returns a lower bound of the worker's clock, in milliseconds: the clock may have
// been slow since it was read.
func (w *worker) minClockMS(now time.Time) int64 {
	passed := float64(now.Sub(w.clockReadAt)) * (1 - maxClockDrift)
	return w.clockMS + time.Duration(passed).Milliseconds()
}

// recordClock records the worker's clock unless the answer has none.
func (w *worker) recordClock(clockMS int64, now time.Time) {
	if clockMS != 0 {
		w.clockMS = clockMS
		w.clockReadAt = now
	}
}

// grantLease returns the expiry of a lease granted now, on the worker's clock in
// milliseconds, and records when that lease has expired on every clock.
func (c *Core) grantLease(w *worker, now time.Time) int64 {
	w.extendLease(now.Add(leaseExpiryDelay(c.settings.LeaseDuration)))
	return w.minClockMS(now) + c.settings.LeaseDuration.Milliseconds()
}

// extendLease records that a lease may last until a time. An earlier time has no effect.
func (w *worker) extendLease(until time.Time) {
	if until.After(w.leasesExpireAt) {
		w.leasesExpireAt = until
	}
}

func (w *worker) findRun(k workload.TaskKey, number int64) *run {
	for _, r := range w.runs {
		if r.number == number && r.taskKey() == k {
			return r
		}
	}
	return nil
}

// addRun adds a run to the worker and to its task.
func (w *worker) addRun(r *run) {
	w.runs = append(w.runs, r)
	w.reservedResources = w.reservedResources.Add(r.step.spec.Reservation())
	w.hold.roomKnown = false
	r.step.addRun(r.task(), r)
}

// removeRun removes a run that has ended from the worker and from its task.
func (c *Core) removeRun(r *run) {
	w := r.worker
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.reservedResources = w.reservedResources.Sub(r.step.spec.Reservation())
	r.step.removeRun(r.task(), r)
	r.step.releaseDone(r.index)
	c.settleCharge(r)
	c.endIsolatedRun(r)
	if r.step.idleCount > 0 && !r.step.job.openOccurrence(r.step.occurrence)[0].occurrenceRanked {
		c.requestRerank(r.step)
	}
	c.planStale = true
}
