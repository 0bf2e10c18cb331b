package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Bounds of orders.
const (
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 300 * time.Millisecond
	// maxOrders bounds the orders in flight to one worker.
	maxOrders = 10
	// maxInFlight bounds the starts in flight to all workers, but for those whose
	// answer is lost. An order takes some 5 ms, so it allows thousands a second;
	// without it a small VM sends so many at once that none is answered in time.
	maxInFlight = 64
	// lateOrder is the longest after which an order without an answer may still
	// be carried out; the platform has seen 12 s.
	lateOrder = 13 * time.Second
	fullPace  = 100 // percent
	// clockFresh is how old the answer may get by which an idle worker's time is reckoned.
	// Its first lease is shorter by clockMargin of that.
	clockFresh = 10 * time.Second
	// stopSlack is added to what a stop takes, for the order's way.
	stopSlack = 200 * time.Millisecond
)

// runState is what is known of a run.
type runState int

const (
	runStarting  runState = iota // ordered, no answer yet
	runUncertain                 // ordered, no answer came
	runRunning
	runStopping // is to end; may not have begun
)

// run is one run of a task on a worker, from its order to its known end. It
// takes its room all that time.
type run struct {
	step   *step
	index  int
	number int64
	worker *worker
	born   int64 // of the incarnation that the run was ordered to, as in worker
	state  runState
	// since is when the state began: a poll that was sent earlier says nothing
	// of it.
	since      time.Time
	orderedAt  time.Time
	stopSentAt time.Time
	stopping   bool // a stop is in flight
	stopped    bool // a stop was answered: the run can't begin any more
	evacuated  bool // it was to end because its VM is to be emptied
	// doubtUntil is until when a run of an earlier owner may be one that it has
	// told to stop: the worker lists it as running until it has ended. sure is set
	// once it was listed in answer to a poll that was sent later.
	doubtUntil time.Time
	sure       bool
	confirmed  bool // the worker has answered the start or listed the run
	percent    int
	paced      int // percent last ordered
	pacing     bool
	load       float64
	checkpoint string
	// trial is set while it is to be seen whether the task crashes its worker.
	trial bool
	// restored is set for a run that an earlier owner left.
	restored bool
	// plannedAt is when an earlier owner planned it as a trial, zero for others: it began
	// later than that.
	plannedAt time.Time
	// inherited is set for a run that an earlier owner started and that is known from its
	// handover or a worker's list: it is older than orderedAt tells.
	inherited bool
	// adopted is set for a run that was listed without an order of this owner.
	adopted bool
}

func (r *run) key() workload.TaskKey { return r.step.key(r.index) }
func (r *run) task() *task           { return &r.step.tasks[r.index] }

// worker is what is known of a worker.
type worker struct {
	info workload.Worker
	// born tells which incarnation it is: when the process started, in Unix milliseconds,
	// 0 if it isn't known. unsettled is set until that one's first list has told which of
	// the runs ordered before are there.
	born        int64
	unsettled   bool
	restartedAt time.Time // when a restart under the same ID was last learned, zero if never
	bornNoted   bool      // that its lists don't tell its start has been logged
	// inDoubt is set from when its entry names another start than its lists do until it has
	// answered a poll.
	inDoubt bool
	// drained is the start of the latest incarnation whose entry said that it leaves.
	drained int64
	// token fences each incarnation: it is raised for the next one, so that calls meant for
	// an earlier one have no effect there.
	token int64
	since time.Time          // first seen
	most  workload.Resources // that it had room for
	// synced is set once it answered under this owner's token and has not been
	// silent since: its list of runs is complete.
	synced  bool
	missing bool // no longer registered
	// clock is the worker's time in milliseconds at clockAt.
	clock   int64
	clockAt time.Time
	// leaseOver is when the last lease that it may have got has lapsed.
	leaseOver time.Time
	holding   bool // a poll is under way
	holdAfter time.Time
	// overdueAt is when the answer of the latest poll is late, and extraPolls how many
	// are under way beside the first.
	overdueAt  time.Time
	extraPolls int
	// toldAt is when the latest poll that was answered was sent.
	toldAt time.Time
	// listedAt is when the list that was taken last was made, by the worker's clock.
	listedAt         int64
	unreachable      bool // the last poll got no answer
	unreachableSince time.Time
	refuses          bool // the connection of the last poll was refused
	// ended is set once another incarnation answered at its address.
	ended bool
	// victims are the runs that its crash is held against. It is unclear, and the worker
	// remembered until then, while it may have been cut off.
	victims      []*run
	unclearUntil time.Time
	// keptUntil is until when it takes nothing but suspects.
	keptUntil time.Time
	// plannedUntil is until when it waits for a suspect whose trial is being stored.
	plannedUntil time.Time
	// unanswered is when the latest poll without an answer was sent.
	unanswered time.Time
	answered   time.Time
	orders     int // in flight
	// seen is the highest number of its ends that was read, acked the highest that may be
	// acknowledged, and ackSent and ackTaken the highest whose acknowledgement was sent
	// and answered.
	seen, acked       int64
	ackSent, ackTaken int64
	// lateUntil is until when a start without an answer may yet be carried out.
	lateUntil time.Time
	used      workload.Resources
	runs      []*run
	// evacuateUntil is until when the worker is being emptied; the wish is
	// renewed by who has it.
	evacuateUntil time.Time
	leavingUntil  time.Time // its VM is due for maintenance
	pace          int       // of its filling tasks, percent
	pacedAt       time.Time
	trust         trust
	fullUntil     time.Time
}

// markUnreachable notes that the worker doesn't answer.
func (w *worker) markUnreachable(now time.Time) {
	if !w.unreachable {
		w.unreachable = true
		w.unreachableSince = now
	}
}

// noted allows the acknowledgement of ends up to a number. The worker is polled
// at again at once: until it has the acknowledgement it answers without waiting
// for the next end, so it was left alone.
func (w *worker) noted(n int64) {
	if n <= w.acked {
		return
	}
	w.acked = n
	if w.acked == w.seen && !w.unreachable {
		w.holdAfter = time.Time{}
	}
}

// ackOwed tells whether an acknowledgement has to travel.
func (w *worker) ackOwed() bool { return w.acked > w.ackTaken }

// clockNow is the least that the worker's time can be, in milliseconds: its clock may have
// been slow since its last answer.
func (w *worker) clockNow(now time.Time) int64 {
	passed := float64(now.Sub(w.clockAt)) * (1 - clockMargin)
	return w.clock + time.Duration(passed).Milliseconds()
}

func (w *worker) heard(clock int64, now time.Time) {
	if clock != 0 {
		w.clock = clock
		w.clockAt = now
	}
}

// grant returns the end of a lease given now, on the worker's clock, and
// remembers when it will have lapsed.
func (c *Core) grant(w *worker, now time.Time) int64 {
	w.extendLease(now.Add(lapse(c.cfg.Lease)))
	return w.clockNow(now) + c.cfg.Lease.Milliseconds()
}

// extendLease notes that a lease may last until a time; it never gets shorter.
func (w *worker) extendLease(until time.Time) {
	if until.After(w.leaseOver) {
		w.leaseOver = until
	}
}

func (w *worker) find(k workload.TaskKey, number int64) *run {
	for _, r := range w.runs {
		if r.number == number && r.key() == k {
			return r
		}
	}
	return nil
}

// add puts a run on the worker and its task.
func (w *worker) add(r *run) {
	w.runs = append(w.runs, r)
	w.used = w.used.Add(r.step.spec.Reserve())
	r.step.attach(r.task(), r)
}

// remove takes a run that has ended off the worker and its task.
func (c *Core) remove(r *run) {
	w := r.worker
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.used = w.used.Sub(r.step.spec.Reserve())
	r.step.detach(r.task(), r)
	c.endTrial(r)
	if r.step.idle > 0 && !r.step.job.occurrence(r.step.occurrence)[0].ranked {
		c.rerank(r.step)
	}
	c.dirtyPlan = true
}
