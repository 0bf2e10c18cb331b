package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Bounds of orders.
const (
	// stopRetryInterval is the pause before a stop without an answer is sent again.
	stopRetryInterval = 300 * time.Millisecond
	// maxOrdersPerWorker bounds the orders in flight to one worker.
	maxOrdersPerWorker = 10
	// maxStartsInFlight bounds the starts in flight to all workers, but for those whose
	// answer is lost. An order takes some 5 ms, so it allows thousands a second;
	// without it a small VM sends so many at once that none is answered in time.
	maxStartsInFlight = 64
	// maxOrderDelay is the longest after which an order without an answer may still
	// be carried out; the platform has seen 12 s.
	maxOrderDelay    = 13 * time.Second
	fullSpeedPercent = 100 // percent
	// maxClockAge is how old the answer may get by which an idle worker's time is reckoned.
	// Its first lease is shorter by clockMargin of that.
	maxClockAge = 10 * time.Second
	// stopSlack is added to what a stop takes, for the order's way.
	stopSlack = 200 * time.Millisecond
)

// runState is what is known of a run.
type runState int

const (
	runStarting   runState = iota // ordered, no answer yet
	runUnanswered                 // ordered, no answer came
	runRunning
	runStopping // is to end; may not have begun
)

// run is one run of a task on a worker, from its order to its known end. It
// takes its room all that time.
type run struct {
	step        *step
	index       int
	number      int64
	worker      *worker
	incarnation int64 // of the incarnation that the run was ordered to, as in worker
	state       runState
	// stateChangedAt is when the state began: a poll that was sent earlier says nothing
	// of it.
	stateChangedAt  time.Time
	orderedAt       time.Time
	lastStopAt      time.Time
	stopInFlight    bool // a stop is in flight
	stopConfirmed   bool // a stop was answered: the run can't begin any more
	stoppedForDrain bool // it was to end because its VM is to be emptied
	// mayBeStoppingUntil is until when a run of an earlier owner may be one that it has
	// told to stop: the worker lists it as running until it has ended. sure is set
	// once it was listed in answer to a poll that was sent later.
	mayBeStoppingUntil  time.Time
	confirmedRunning    bool
	startConfirmed      bool // the worker has answered the start or listed the run
	speedPercent        int
	orderedSpeedPercent int // percent last ordered
	throttleInFlight    bool
	load                float64
	checkpoint          string
	// isolated is set while it is to be seen whether the task crashes its worker.
	isolated bool
	// restored is set for a run that an earlier owner left.
	restored bool
	// isolationPlannedAt is when an earlier owner planned it as a trial, zero for others: it began
	// later than that.
	isolationPlannedAt time.Time
	// inherited is set for a run that an earlier owner started and that is known from its
	// handover or a worker's list: it is older than orderedAt tells.
	inherited bool
	// adopted is set for a run that was listed without an order of this owner.
	adopted bool
}

func (r *run) taskKey() workload.TaskKey { return r.step.taskKey(r.index) }
func (r *run) task() *task               { return &r.step.tasks[r.index] }

// worker is what is known of a worker.
type worker struct {
	info workload.Worker
	// incarnation tells which incarnation it is: when the process started, in Unix milliseconds,
	// 0 if it isn't known. unsettled is set until that one's first list has told which of
	// the runs ordered before are there.
	incarnation              int64
	incarnationUnresolved    bool
	restartDetectedAt        time.Time // when a restart under the same ID was last learned, zero if never
	incarnationUnknownLogged bool      // that its lists don't tell its start has been logged
	// entryMismatch is set from when its entry names another start than its lists do until it has
	// answered a poll.
	entryMismatch bool
	// leavingIncarnation is the start of the latest incarnation whose entry said that it leaves.
	leavingIncarnation int64
	// token fences each incarnation: it is raised for the next one, so that calls meant for
	// an earlier one have no effect there.
	token                  int64
	incarnationFirstSeenAt time.Time          // first seen
	maxCapacity            workload.Resources // that it had room for
	// synced is set once it answered under this owner's token and has not been
	// silent since: its list of runs is complete.
	synced       bool
	unregistered bool // no longer registered
	// clockMS is the worker's time in milliseconds at clockAt.
	clockMS     int64
	clockReadAt time.Time
	// leasesExpireAt is when the last lease that it may have got has lapsed.
	leasesExpireAt time.Time
	pollInFlight   bool // a poll is under way
	nextPollAt     time.Time
	// pollAnswerDueAt is when the answer of the latest poll is late, and extraPolls how many
	// are under way beside the first.
	pollAnswerDueAt    time.Time
	extraPollsInFlight int
	// lastAnsweredPollSentAt is when the latest poll that was answered was sent.
	lastAnsweredPollSentAt time.Time
	// lastReportClockMS is when the list that was taken last was made, by the worker's clock.
	lastReportClockMS int64
	unreachable       bool // the last poll got no answer
	unreachableSince  time.Time
	connectionRefused bool // the connection of the last poll was refused
	// replaced is set once another incarnation answered at its address.
	replaced bool
	// blamedRuns are the runs that its crash is held against. It is unclear, and the worker
	// remembered until then, while it may have been cut off.
	blamedRuns            []*run
	crashUnconfirmedUntil time.Time
	// reservedForSuspectsUntil is until when it takes nothing but suspects.
	reservedForSuspectsUntil time.Time
	// isolatedRunPlannedUntil is until when it waits for a suspect whose trial is being stored.
	isolatedRunPlannedUntil time.Time
	// lastUnansweredPollSentAt is when the latest poll without an answer was sent.
	lastUnansweredPollSentAt time.Time
	lastPollAnsweredAt       time.Time
	ordersInFlight           int // in flight
	// lastExitSeen is the highest number of its ends that was read, acked the highest that may be
	// acknowledged, and ackSent and ackTaken the highest whose acknowledgement was sent
	// and answered.
	lastExitSeen, ackAllowed int64
	ackSent, ackConfirmed    int64
	// lateStartUntil is until when a start without an answer may yet be carried out.
	lateStartUntil time.Time
	reserved       workload.Resources
	runs           []*run
	// drainUntil is until when the worker is being emptied; the wish is
	// renewed by who has it.
	drainUntil             time.Time
	maintenanceDueUntil    time.Time // its VM is due for maintenance
	bestEffortSpeedPercent int       // of its filling tasks, percent
	speedChangedAt         time.Time
	failures                  failureTracker
	startBackoffUntil      time.Time
}

// markUnreachable notes that the worker doesn't answer.
func (w *worker) markUnreachable(now time.Time) {
	if !w.unreachable {
		w.unreachable = true
		w.unreachableSince = now
	}
}

// allowAck allows the acknowledgement of ends up to a number. The worker is polled
// at again at once: until it has the acknowledgement it answers without waiting
// for the next end, so it was left alone.
func (w *worker) allowAck(exitNumber int64) {
	if exitNumber <= w.ackAllowed {
		return
	}
	w.ackAllowed = exitNumber
	if w.ackAllowed == w.lastExitSeen && !w.unreachable {
		w.nextPollAt = time.Time{}
	}
}

// hasPendingAck tells whether an acknowledgement has to travel.
func (w *worker) hasPendingAck() bool { return w.ackAllowed > w.ackConfirmed }

// minClockMS is the least that the worker's time can be, in milliseconds: its clock may have
// been slow since its last answer.
func (w *worker) minClockMS(now time.Time) int64 {
	passed := float64(now.Sub(w.clockReadAt)) * (1 - maxClockDrift)
	return w.clockMS + time.Duration(passed).Milliseconds()
}

func (w *worker) recordClock(clockMS int64, now time.Time) {
	if clockMS != 0 {
		w.clockMS = clockMS
		w.clockReadAt = now
	}
}

// grantLease returns the end of a lease given now, on the worker's clock, and
// remembers when it will have lapsed.
func (c *Core) grantLease(w *worker, now time.Time) int64 {
	w.extendLease(now.Add(leaseExpiryDelay(c.settings.LeaseDuration)))
	return w.minClockMS(now) + c.settings.LeaseDuration.Milliseconds()
}

// extendLease notes that a lease may last until a time; it never gets shorter.
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

// addRun puts a run on the worker and its task.
func (w *worker) addRun(r *run) {
	w.runs = append(w.runs, r)
	w.reserved = w.reserved.Add(r.step.spec.Reservation())
	r.step.addRun(r.task(), r)
}

// removeRun takes a run that has ended off the worker and its task.
func (c *Core) removeRun(r *run) {
	w := r.worker
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.reserved = w.reserved.Sub(r.step.spec.Reservation())
	r.step.removeRun(r.task(), r)
	c.endIsolatedRun(r)
	if r.step.idleCount > 0 && !r.step.job.occurrenceSteps(r.step.occurrence)[0].occurrenceRanked {
		c.requestRerank(r.step)
	}
	c.planStale = true
}
