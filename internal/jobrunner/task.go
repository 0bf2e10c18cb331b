package jobrunner

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

// Times of one task.
const (
	// firstRetry and maxRetry bound the pause between tries of one action.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
	// firstLook is how long after a start its status is first asked for, so
	// that a worker which fails everything at once is noticed at once; each
	// look doubles the pause, and once it is longer than the pause between two
	// renewals, the renewals tell.
	firstLook = time.Second
	// lookMargin is how long after the expected end a task is looked at.
	lookMargin = 200 * time.Millisecond
	// renewShare is the part of its lease after which a task is renewed first.
	renewShare = 3
	// maxRefusals bounds the refused starts of one job in a row, as when its
	// checkpoint is lost.
	maxRefusals = 20
)

// task is what is remembered about a job's present placement.
type task struct {
	id      string // task ID on the platform
	job     string
	placeID string
	worker  string
	shape   usage.Shape
	// mine is set when this process wrote the placement.
	mine      bool
	seenAt    time.Time // when this process first saw the placement
	submitted time.Time
	urgent    bool
	// known is set once the platform has shown the task; verified once it has
	// done so since the process woke.
	known    bool
	verified time.Time
	// sent is set once a start may have reached the platform, uncertain once
	// one of them got no reply.
	sent      bool
	uncertain bool
	refused   string // the platform's reason, when every start so far was refused
	// missing is since when the platform has not known the task.
	missing time.Time
	ended   *platform.TaskStatus

	renewedAt time.Time
	lookedAt  time.Time
	lookPause time.Duration
	retryAt   time.Time
	retry     time.Duration
	peak      ledger.Resources
}

// TaskID names the run that an attempt of a job is on the platform. Attempts
// have tasks of their own; a resent start of one attempt keeps its ID.
func TaskID(job string, attempt int) string { return job + "." + strconv.Itoa(attempt) }

// task returns the memory of a placed job, anew for each placement.
func (c *Core) task(j *ledger.Job, now time.Time) *task {
	if t, ok := c.tasks[j.ID]; ok && t.placeID == j.PlaceID {
		return t
	}
	t := &task{
		id:        TaskID(j.ID, j.Attempt),
		job:       j.ID,
		placeID:   j.PlaceID,
		worker:    j.Worker,
		shape:     usage.ShapeOf(j.Spec),
		mine:      c.wrote(j.PlaceID),
		seenAt:    now,
		submitted: j.SubmittedAt,
		urgent:    j.Spec.Urgent,
		lookPause: firstLook,
	}
	c.tasks[j.ID] = t
	return t
}

// backOff puts the next try of the task's action off.
func (t *task) backOff(now time.Time) {
	t.retry = min(max(firstRetry, 2*t.retry), maxRetry)
	t.retryAt = now.Add(t.retry)
}

// attendPool does what the placed jobs of a pool need. The steward that placed
// a job starts it whatever its rank; the first keepers look after tasks.
func (c *Core) attendPool(st *ledger.State, pool string, rank int, mayDecide bool, now time.Time) {
	svc := st.Services[pool]
	lease := leaseOf(svc)
	byWorker := map[string][]*task{}
	var placed []*ledger.Job
	for _, j := range st.PoolJobs(pool) {
		if j.Status == ledger.JobPlaced && (rank < keepers || c.isOwn(j)) {
			placed = append(placed, j)
		}
	}
	slices.SortFunc(placed, byID)
	for _, j := range placed {
		t := c.task(j, now)
		c.attend(st, j, t, rank, lease, mayDecide, now)
		byWorker[j.Worker] = append(byWorker[j.Worker], t)
	}
	for _, id := range slices.Sorted(maps.Keys(byWorker)) {
		c.keep(st, id, byWorker[id], rank, lease, now)
	}
}

// isOwn reports whether this process wrote a decision on the job that is still
// to be carried out.
func (c *Core) isOwn(j *ledger.Job) bool {
	if j.Preempt != nil && c.wrote(j.Preempt.ID) && c.applied[j.Preempt.ID] == "" {
		return true
	}
	t := c.tasks[j.ID]
	return c.wrote(j.PlaceID) && (t == nil || !t.known)
}

// wrote reports whether this process wrote the record.
func (c *Core) wrote(id string) bool {
	_, ok := c.own[id]
	return ok
}

func leaseOf(svc *ledger.Service) time.Duration {
	if svc == nil || svc.Doc.Jobs.Lease <= 0 {
		return defaultLease
	}
	return svc.Doc.Jobs.Lease
}

// attend does what one placed job needs.
func (c *Core) attend(st *ledger.State, j *ledger.Job, t *task, rank int, lease time.Duration, mayDecide bool, now time.Time) {
	switch {
	case t.ended != nil:
		c.end(st, j, t, endOf(j, t), rank, now)
	case !t.known:
		c.begin(st, j, t, rank, lease, mayDecide, now)
	case j.CancelAsked:
		c.stop(j, t, rank, now)
	case j.Preempt != nil && c.applied[j.Preempt.ID] == "":
		c.preempt(j, t, rank, now)
	}
	c.giveUp(st, j, t, rank, lease, now)
}

// begin starts a placed job that the platform has not shown yet.
//
// A start is sent only by the steward that wrote the placement, unless the job
// is repeatable. So that steward knows of every copy that was ever sent, and
// when all of them were refused, the job certainly did not run and may be
// placed again. Any other steward that finds no task must take the end for
// unknown: a copy of the first one's start may still be on its way.
func (c *Core) begin(st *ledger.State, j *ledger.Job, t *task, rank int, lease time.Duration, mayDecide bool, now time.Time) {
	if t.mine && !t.sent && j.CancelAsked && !c.busy["task/"+t.id] {
		c.end(st, j, t, record.JobEnd{Result: record.JobNotStarted, Reason: j.Reason}, 0, now)
		return
	}
	if t.refused != "" && (!t.uncertain || j.Spec.Repeatable) {
		c.end(st, j, t, c.refusedEnd(t), rankOr0(rank, t.mine), now)
		return
	}
	if j.CancelAsked || !mayDecide || now.Before(t.retryAt) {
		return
	}
	if !t.mine && (!j.Spec.Repeatable || !c.due("start/"+t.placeID, rank, now)) {
		return
	}
	lane := LaneTasks
	if j.Spec.Urgent {
		lane = LaneUrgent
	}
	c.emit(Action{
		Verb:    VerbStart,
		Lane:    lane,
		Key:     "task/" + t.id,
		Job:     j.ID,
		Task:    t.id,
		Worker:  j.Worker,
		PlaceID: j.PlaceID,
		Op:      platform.Operation{ID: j.PlaceID, Fence: platform.Offset(j.Fence)},
		Spec: platform.TaskSpec{
			ID:           t.id,
			Job:          j.ID,
			Worker:       j.Worker,
			Cores:        float64(j.MilliCores) / milli,
			MemoryMB:     j.MemoryMB,
			Accelerators: j.Spec.Accelerators,
			Lease:        lease,
			Work:         j.Spec.RunTime,
			Checkpoint:   j.Checkpoint,
			Declared:     platform.Size{Cores: float64(j.Spec.MilliCores) / milli, MemoryMB: j.Spec.MemoryMB},
		},
	})
}

func (c *Core) refusedEnd(t *task) record.JobEnd {
	if c.worker(t.worker).refusals > maxRefusals {
		return record.JobEnd{Result: record.JobFailed, Reason: "the platform keeps refusing the start: " + t.refused}
	}
	return record.JobEnd{Result: record.JobNotStarted, Reason: t.refused}
}

func rankOr0(rank int, mine bool) int {
	if mine {
		return 0
	}
	return rank
}

// stop ends the task of a cancelled job. The platform carries the operation out
// once, so a lost reply is met by sending it again.
func (c *Core) stop(j *ledger.Job, t *task, rank int, now time.Time) {
	if now.Before(t.retryAt) || !c.due("stop/"+j.CancelID, rank, now) {
		return
	}
	c.emit(Action{
		Verb:    VerbStop,
		Lane:    LaneTasks,
		Key:     "task/" + t.id,
		Job:     j.ID,
		Task:    t.id,
		Worker:  j.Worker,
		PlaceID: j.PlaceID,
		Op:      platform.Operation{ID: j.CancelID, Fence: platform.Offset(j.CancelFence)},
	})
}

// preempt carries a decision to make room out on the task.
func (c *Core) preempt(j *ledger.Job, t *task, rank int, now time.Time) {
	if now.Before(t.retryAt) || !c.wrote(j.Preempt.ID) && !c.due("preempt/"+j.Preempt.ID, rank, now) {
		return
	}
	a := Action{
		Verb:    VerbThrottle,
		Lane:    LaneUrgent,
		Key:     "task/" + t.id,
		Job:     j.ID,
		Task:    t.id,
		Worker:  j.Worker,
		PlaceID: j.PlaceID,
		Op:      platform.Operation{ID: j.Preempt.ID, Fence: platform.Offset(j.Preempt.Fence)},
		Share:   1,
	}
	if j.Preempt.Action == record.PreemptCheckpoint {
		a.Verb = VerbCheckpoint
	} else if j.FullMilliCores > 0 {
		a.Share = float64(j.MilliCores) / float64(j.FullMilliCores)
	}
	c.emit(a)
}

// endOf translates the platform's last word on a task into a job's result.
func endOf(j *ledger.Job, t *task) record.JobEnd {
	e := record.JobEnd{Reason: t.ended.Reason}
	switch t.ended.Phase {
	case platform.TaskSucceeded:
		e.Result = record.JobSucceeded
	case platform.TaskCheckpointed:
		e.Result, e.Checkpoint = record.JobPreempted, t.ended.Checkpoint
	case platform.TaskStopped:
		e.Result = record.JobStopped
	case platform.TaskExpired:
		e.Result = record.JobLapsed
	default:
		e.Result = record.JobFailed
	}
	if j.MilliCores == j.FullMilliCores {
		e.PeakMilliCores = t.peak.MilliCores
	}
	e.PeakMemoryMB = t.peak.MemoryMB
	return e
}

// end proposes the end of a placement. The end that a checkpoint of this process
// brought about is due at once, as urgent work waits for the room.
func (c *Core) end(st *ledger.State, j *ledger.Job, t *task, body record.JobEnd, rank int, now time.Time) {
	if j.Preempt != nil && c.wrote(j.Preempt.ID) {
		rank = 0
	}
	if c.due("end/"+t.placeID, rank, now) {
		c.propose(st, jobSubject(j.ID), body, now)
	}
}

// giveUp ends a placement whose task the platform does not know, once no copy
// of its start and no lease can be alive any more. The job's end is unknown: a
// job that is not repeatable is not started again.
func (c *Core) giveUp(st *ledger.State, j *ledger.Job, t *task, rank int, lease time.Duration, now time.Time) {
	if t.ended != nil || t.missing.IsZero() || now.Sub(t.missing) < lease || now.Sub(t.seenAt) < lease {
		return
	}
	reason := "the platform no longer knows the task; how it ended is unknown"
	if !t.known {
		reason = "the steward that placed the job is gone; whether the job started is unknown"
	}
	c.end(st, j, t, record.JobEnd{Result: record.JobLapsed, Reason: reason}, rankOr0(rank, t.mine), now)
}
