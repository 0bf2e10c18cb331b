package scheduler_test

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// historyStart is the start of each history in virtual time.
var historyStart = time.UnixMilli(1_700_000_000_000)

// event is an action that is executed at a time of a history.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world runs one history: a simulated run of the whole system in virtual time, with faults. It has
// workers, a store and successive owners. It checks rules (see recordViolation) against what the
// workers execute and the store holds, never against what an owner believes.
type world struct {
	now           time.Time
	rng           *rand.Rand
	logRNG        *rand.Rand // draws through which nodes records are stored
	pendingEvents eventHeap
	lastEventSeq  int
	faults        faults
	faultsStopped bool // no more random faults are drawn

	store         *fakeStore
	workers       map[string]*fakeWorker
	registry      []workload.Worker // entries of the registered workers
	owner         *fakeOwner
	owners        []*fakeOwner // all owners so far
	epoch         int64
	jobs          map[workload.JobID]*fakeJob
	violations    []string
	lastJobNumber int
	starts        int
	// capacityNotEnforced is set if workers also start tasks that exceed their capacity.
	capacityNotEnforced bool
	// crashingTasks holds the names of the tasks that crash each worker that starts them.
	crashingTasks map[string]bool
	// crashedWorkersRestart is set if a worker that a task crashes restarts under the same ID,
	// crashesLoseVM if its VM is lost with it.
	crashedWorkersRestart, crashesLoseVM bool
	// ordersOutliveProcesses is set if an order that is carried out late may reach the next process of its worker.
	ordersOutliveProcesses bool
	// lostRunsOfOtherJobs counts the runs that such crashes ended, without those of the jobs that
	// caused them.
	lostRunsOfOtherJobs int
	// maxReadDelay is the longest time until an owner reads a caller's record.
	maxReadDelay time.Duration
	// replacedIgnoreTakeovers is set if a replaced owner goes on reading behind a later owner's takeover,
	// replacedIgnoreGaps if it starts what its node has stored whatever lies before it.
	replacedIgnoreTakeovers, replacedIgnoreGaps bool
	// replacedOwnersStop is set if an owner that can reach the store stops once it was replaced.
	replacedOwnersStop bool
	// previousOwnerReachableProbability is the probability that a new owner can reach the node of the
	// previous owner. directHandovers counts the handovers that owners received this way.
	previousOwnerReachableProbability float64
	directHandovers                   int
	// processor models the CPU of each owner's node. If nil, the owner's work takes no time.
	processor *processor
	// fleet has the other partitions, nil in a world of one partition.
	fleet     *partitionFleet
	partition int
	service   string         // of the partition
	onSubmit  func(*fakeJob) // nil for nothing
	// onDecision is called with each decision of an owner, nil for nothing.
	onDecision func(scheduler.Decision)
	// visibleConfig is the fleet's configuration as this partition's owner reads it.
	visibleConfig *workload.Config
}

// faults holds the probabilities of faults, each between 0 and 1, and which others are possible.
type faults struct {
	lostAnswer      float64 // an order is executed and its answer is lost
	lateOrder       float64 // an order gets no answer and may be executed seconds later
	failedTask      float64
	lostWriteAnswer float64 // a write is stored and its answer is lost
	hangingAck      bool    // the acknowledgement of a poll that hangs reaches the next process of its worker
}

// fakeJob records what a job's caller and its workers observe. The maps are keyed by task.
type fakeJob struct {
	id                      workload.JobID
	submission              *workload.Submission
	cancelledAt             time.Time // when the cancellation was stored
	done                    map[string]bool
	acknowledged            map[string]bool // done tasks whose exit was acknowledged
	doneRuns                map[string][]int64
	supersededDoneRuns      map[string]bool // done runs after which the task was started again, by runKey
	failures                map[string]int
	workerCrashes           map[string]int       // crashes of a worker caused by a crashing task while it ran this task
	workerExits             map[string]int       // ended processes of workers that ran the task, whatever the cause
	earlyWorkerExits        map[string]int       // of these, within maxEarlyExitAge after the task's start
	startsAfterThreeCrashes map[string]int       // starts after three crashes in workerCrashes
	stoppedNotRestarted     map[string]bool      // long-running tasks that were stopped and have not started again
	lastRunningAt           map[string]time.Time // when the task last started or ended
	failedForCrashes        bool                 // an owner failed it because its task crashes workers
	firstOrderedAt          time.Time            // when an owner first ordered a start of it
	shownState              workload.JobState
	shownStateChangedAt     time.Time // when shownState last changed
}

func newWorld(seed uint64, f faults) *world {
	return &world{
		now:     historyStart,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		logRNG:  rand.New(rand.NewPCG(seed, 11)),
		faults:  f,
		store:   &fakeStore{values: map[string][]byte{}, offsets: map[string]int64{}},
		workers: map[string]*fakeWorker{},
		jobs:    map[workload.JobID]*fakeJob{},

		maxReadDelay:  20 * time.Millisecond,
		crashingTasks: map[string]bool{},
		service:       "service",
	}
}

// workerIDs returns the IDs of all workers so far, sorted.
func (w *world) workerIDs() []string {
	return slices.Sorted(maps.Keys(w.workers))
}

func (w *world) after(d time.Duration, action func()) {
	w.lastEventSeq++
	heap.Push(&w.pendingEvents, event{at: w.now.Add(d), seq: w.lastEventSeq, action: action})
}

// runUntil runs the events up to an offset from historyStart.
func (w *world) runUntil(offset time.Duration) {
	stopAt := historyStart.Add(offset)
	for len(w.pendingEvents) > 0 && !w.pendingEvents[0].at.After(stopAt) {
		e := heap.Pop(&w.pendingEvents).(event)
		w.now = e.at
		e.action()
	}
	w.now = stopAt
}

func (w *world) chance(p float64) bool { return !w.faultsStopped && w.rng.Float64() < p }

// durationBetween draws a duration between low and high, both included.
func (w *world) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// recordViolation records that the system has broken one of these rules:
//
//   - TWICE: a task that is not speculative doesn't start while it runs elsewhere, nor again after
//     its done exit was acknowledged or its job was shown as completed.
//   - MIXED: callers are shown a job as completed only once all its tasks are done, and a final
//     state never changes.
//   - ORDER: a task starts only once all tasks of the steps that its step depends on are done.
//   - BUDGET: a task doesn't start after all its attempts have failed, or without end although it
//     crashes its workers or loses their VMs.
//   - UNASKED: a task doesn't start more than 3 s after the cancellation of its job was stored.
//   - ROUTE: a worker runs no more tasks of a step than MaxPerWorker.
//   - LIMIT: a task doesn't start on a worker whose capacity it exceeds.
//   - AVAIL: a stop leaves no more long-running tasks of a step unavailable than MaxUnavailable.
//   - CUT: a worker that is reported drained runs no task until its VM is removed, which would cut
//     the task off.
func (w *world) recordViolation(rule, detail string) {
	w.violations = append(w.violations, rule+" at "+w.now.Sub(historyStart).String()+": "+detail)
}

// fakeStore keeps all records of a partition in order, with the newest of each key, and fences earlier
// epochs.
type fakeStore struct {
	keys         []string // in the order of their first record
	values       map[string][]byte
	offsets      map[string]int64 // of the newest record, by key
	log          []workload.Record
	epoch        int64
	lastSequence int64 // sequence of the last write in this epoch
	lastOffset   int64 // of the first record of that write
	unavailable  bool
}

// put appends a record and returns its offset.
func (s *fakeStore) put(r workload.Record) int64 {
	key, value, err := r.Encode()
	if err != nil {
		panic(err)
	}
	if _, ok := s.values[key]; !ok {
		s.keys = append(s.keys, key)
	}
	s.values[key] = value
	r.Offset = int64(len(s.log))
	s.offsets[key] = r.Offset
	s.log = append(s.log, r)
	return r.Offset
}

// fence fences all earlier epochs. It returns false if the store is unavailable or this epoch is
// fenced.
func (s *fakeStore) fence(epoch int64) bool {
	if s.unavailable || epoch < s.epoch {
		return false
	}
	s.epoch, s.lastSequence = epoch, 0
	return true
}

func (s *fakeStore) records() []workload.Record {
	var out []workload.Record
	for _, key := range s.keys {
		r, ok, err := workload.DecodeRecord(key, s.values[key])
		if err != nil {
			panic(err)
		}
		if ok {
			r.Offset = s.offsets[key]
			out = append(out, r)
		}
	}
	return out
}

// submit stores a job's submission, as a node does before it answers the caller.
func (w *world) submit(spec workload.Spec, queue string) *fakeJob {
	job := w.newJob(spec, queue)
	if w.onSubmit != nil {
		w.onSubmit(job)
	}
	record := workload.Record{Job: job.id, Submission: job.submission}
	w.appendRecord(record)
	if w.logRNG.IntN(8) == 0 { // its caller submits it again
		w.after(time.Duration(w.logRNG.Int64N(int64(2*time.Second))), func() { w.appendRecord(record) })
	}
	return job
}

// newJob returns a new job, which is not stored yet.
func (w *world) newJob(spec workload.Spec, queue string) *fakeJob {
	w.lastJobNumber++
	id := workload.JobID([]byte("0000000000000000"))
	digits := []byte(id)
	for i, n := 15, w.lastJobNumber; n > 0; i, n = i-1, n/10 {
		digits[i] = byte('0' + n%10)
	}
	id = workload.JobID(digits)
	submission := &workload.Submission{Queue: queue, Service: w.service, AcceptedAtMS: w.now.UnixMilli(), Spec: spec}
	if w.fleet != nil {
		submission.Workspace = w.fleet.drawWorkspace()
	}
	job := &fakeJob{id: id, submission: submission, done: map[string]bool{}, acknowledged: map[string]bool{}, doneRuns: map[string][]int64{}, supersededDoneRuns: map[string]bool{}, failures: map[string]int{}, workerCrashes: map[string]int{}, workerExits: map[string]int{}, earlyWorkerExits: map[string]int{}, startsAfterThreeCrashes: map[string]int{}, stoppedNotRestarted: map[string]bool{}, lastRunningAt: map[string]time.Time{}}
	w.jobs[id] = job
	return job
}

func (w *world) cancelJob(job *fakeJob) {
	if job.cancelledAt.IsZero() {
		job.cancelledAt = w.now
		w.appendRecord(workload.Record{Job: job.id, Cancel: true})
	}
}

// appendRecord stores a caller's record, through the node of one of the owners or another node. Every
// owner follows the log.
func (w *world) appendRecord(r workload.Record) {
	r.Offset = w.store.put(r)
	o := w.owners[w.logRNG.IntN(len(w.owners))]
	if through := w.logRNG.IntN(4); through > 0 && !o.storeUnreachable {
		isLocated := through > 1 // else the answer that states the offset is lost
		o.deliverLog(func() { o.handleStored(r, isLocated) })
	}
	for _, o := range w.owners {
		w.after(w.durationBetween(time.Millisecond, w.maxReadDelay), o.readLog)
	}
}

// wakeReaders lets all owners read what an owner has stored, after the pause between two reads.
func (w *world) wakeReaders() {
	for _, o := range w.owners {
		if !o.stopped {
			w.after(time.Duration(w.logRNG.Int64N(int64(100*time.Millisecond))), o.readLog)
		}
	}
}

// checkShownStates checks the job states that the current owner shows to callers.
func (w *world) checkShownStates() {
	if w.owner == nil || !w.owner.coreStarted {
		return
	}
	for _, job := range w.jobs {
		state, known := w.owner.core.JobState(job.id)
		if !known {
			continue
		}
		if state == workload.Completed && job.shownState != workload.Completed {
			for occurrence := range job.submission.Spec.Occurrences() {
				for step := range job.submission.Spec.Steps {
					for index := range job.submission.Spec.Steps[step].Count {
						key := workload.TaskKey{Job: job.id, Occurrence: occurrence, Step: step, Index: index}.String()
						if !job.done[key] {
							w.recordViolation("MIXED", key+" is not done but its job is shown as completed")
						}
					}
				}
			}
		}
		if job.shownState.IsTerminal() && state != job.shownState {
			w.recordViolation("MIXED", string(job.id)+" changed from "+string(job.shownState)+" to "+string(state))
		}
		if state != job.shownState {
			job.shownStateChangedAt = w.now
		}
		job.shownState = state
	}
}
