package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// task is a started task. Its real needs may differ from its spec.
type task struct {
	spec         platform.TaskSpec
	phase        platform.TaskPhase
	reason       string
	started      time.Time
	ended        time.Time
	realCores    float64
	realMemoryMB int
	// workLeft is the unthrottled run time still needed at updatedAt. share is the
	// fraction of full speed since then.
	workLeft       time.Duration
	updatedAt      time.Time
	share          float64
	leaseExpiresAt time.Time
	failAt         time.Time // set if WorkerFails applies; otherwise zero
	checkpoint     string
}

// taskState holds the running tasks by ID, the ended tasks in the order in which they
// ended, the work left at each checkpoint, and the fences and operations by task ID.
type taskState struct {
	running     map[string]*task
	ended       []*task
	checkpoints map[string]time.Duration
	fences      map[string]platform.Offset
	ops         map[taskOp]platform.TaskStatus
}

type taskOp struct {
	task string
	op   string
}

func newTaskState() taskState {
	return taskState{
		running:     map[string]*task{},
		checkpoints: map[string]time.Duration{},
		fences:      map[string]platform.Offset{},
		ops:         map[taskOp]platform.TaskStatus{},
	}
}

func (t *task) status() platform.TaskStatus {
	return platform.TaskStatus{
		ID:         t.spec.ID,
		Worker:     t.spec.Worker,
		Phase:      t.phase,
		Checkpoint: t.checkpoint,
		Reason:     t.reason,
	}
}

// remaining returns the unthrottled run time still needed at now.
func (t *task) remaining(now time.Time) time.Duration {
	return t.workLeft - time.Duration(float64(now.Sub(t.updatedAt))*t.share)
}

// finishAt returns the time at which the task will succeed, or false if its share is 0.
func (t *task) finishAt() (time.Time, bool) {
	if t.share <= 0 {
		return time.Time{}, false
	}
	return t.updatedAt.Add(time.Duration(float64(t.workLeft) / t.share)), true
}

func (s *taskState) hasRunningTaskOn(worker string) bool {
	for _, t := range s.running {
		if t.spec.Worker == worker {
			return true
		}
	}
	return false
}

// find returns the running task with the ID, or otherwise the one that ended last.
func (s *taskState) find(id string) (*task, bool) {
	if t, ok := s.running[id]; ok {
		return t, true
	}
	for _, t := range slices.Backward(s.ended) {
		if t.spec.ID == id {
			return t, true
		}
	}
	return nil, false
}

// end ends a task and adds it to the ended ones.
func (s *taskState) end(t *task, phase platform.TaskPhase, reason string, now time.Time) {
	t.phase, t.reason, t.ended = phase, reason, now
	delete(s.running, t.spec.ID)
	s.ended = append(s.ended, t)
}

// offerTaskEnds offers the possible ends of all running tasks.
func (p *Platform) offerTaskEnds(first *earliestEvent) {
	for _, t := range p.tasks.running {
		end := func(phase platform.TaskPhase, reason string) func(time.Time) {
			return func(now time.Time) { p.tasks.end(t, phase, reason, now) }
		}
		if at, ok := t.finishAt(); ok {
			first.offer(at, end(platform.TaskSucceeded, ""))
		}
		first.offer(t.leaseExpiresAt, end(platform.TaskExpired, "the lease lapsed"))
		if !t.failAt.IsZero() {
			first.offer(t.failAt, end(platform.TaskFailed, "the worker failed the task"))
		}
	}
}

// failTasksOn ends the running tasks of a worker as failed.
func (p *Platform) failTasksOn(worker, reason string, now time.Time) {
	for _, t := range p.tasks.running {
		if t.spec.Worker == worker {
			p.tasks.end(t, platform.TaskFailed, reason, now)
		}
	}
}

func (p *Platform) dropEndedTasks(now time.Time) {
	p.tasks.ended = slices.DeleteFunc(p.tasks.ended, func(t *task) bool {
		return now.Sub(t.ended) > endedTaskRetention
	})
}

// actOnTask applies faults and executes an operation on a task ID. See
// executeTaskOperation for when it calls do.
func (p *Platform) actOnTask(ctx context.Context, id, verb string, op platform.Operation, do func(time.Time) (*task, error)) (platform.TaskStatus, error) {
	if err := p.applyAPIFaults(ctx, id, verb); err != nil {
		return platform.TaskStatus{}, err
	}
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	status, err := p.executeTaskOperation(id, op, func() (*task, error) { return do(now) })
	if err != nil {
		return platform.TaskStatus{}, err
	}
	if _, ok := p.faults.take(APILoseReply, now, id, verb); ok {
		return platform.TaskStatus{}, errors.Wrap(platform.ErrUnknownOutcome, "reply lost")
	}
	return status, nil
}

// executeTaskOperation calls do once per operation ID and returns the task's status.
// For an operation that was executed before, it returns the current status of the
// task, or the status after the operation if the task has been dropped. It returns
// ErrFenced if the operation's fence is too low.
func (p *Platform) executeTaskOperation(id string, op platform.Operation, do func() (*task, error)) (platform.TaskStatus, error) {
	if id == "" || op.ID == "" {
		return platform.TaskStatus{}, errors.Wrap(platform.ErrRejected, "the task or the operation has no ID")
	}
	key := taskOp{task: id, op: op.ID}
	if previous, ok := p.tasks.ops[key]; ok {
		if t, ok := p.tasks.find(id); ok {
			return t.status(), nil
		}
		return previous, nil
	}
	if highest := p.tasks.fences[id]; op.Fence < highest {
		return platform.TaskStatus{}, errors.Wrapf(platform.ErrFenced, "task %q has seen %d, got %d", id, highest, op.Fence)
	}
	t, err := do()
	if err != nil {
		return platform.TaskStatus{}, err
	}
	p.tasks.fences[id] = op.Fence
	p.tasks.ops[key] = t.status()
	return t.status(), nil
}

// Start implements platform.Tasks. Another operation ID for the same task ID starts the
// task again: the caller must make sure that it starts a run only once.
func (p *Platform) Start(ctx context.Context, spec platform.TaskSpec, op platform.Operation) (platform.TaskStatus, error) {
	if err := p.applyAPIFaults(ctx, spec.Worker); err != nil {
		return platform.TaskStatus{}, err
	}
	return p.actOnTask(ctx, spec.ID, "start", op, func(now time.Time) (*task, error) {
		return p.startTask(spec, now)
	})
}

func (p *Platform) startTask(spec platform.TaskSpec, now time.Time) (*task, error) {
	if spec.Lease <= 0 || spec.Work < 0 || spec.Cores < 0 || spec.MemoryMB < 0 || spec.Accelerators < 0 {
		return nil, errors.Wrap(platform.ErrRejected, "lease, work or size is out of range")
	}
	v, ok := p.fleet.vms[spec.Worker]
	if !ok {
		return nil, errors.Wrapf(platform.ErrNotFound, "worker %q", spec.Worker)
	}
	if !v.up || v.drained {
		return nil, errors.Wrapf(platform.ErrRejected, "worker %q takes no tasks", spec.Worker)
	}
	if !p.fits(spec, v) {
		return nil, errors.Wrapf(platform.ErrRejected, "worker %q has no room", spec.Worker)
	}
	t, err := p.newTask(spec, now)
	if err != nil {
		return nil, err
	}
	p.counters.taskStarts[spec.ID]++
	if spec.Job != "" {
		p.counters.jobStarts[spec.Job]++
	}
	if t.realMemoryMB > v.vm.MemoryMB {
		p.tasks.end(t, platform.TaskFailed, "out of memory", now)
		return t, nil
	}
	p.tasks.running[spec.ID] = t
	return t, nil
}

// fits reports whether the specified sizes of the worker's running tasks and of spec fit
// on the worker. A throttled task counts with its share of cores.
func (p *Platform) fits(spec platform.TaskSpec, v *vmState) bool {
	cores, memory, accelerators := spec.Cores, spec.MemoryMB, spec.Accelerators
	for _, t := range p.tasks.running {
		if t.spec.Worker == spec.Worker {
			cores += t.spec.Cores * t.share
			memory += t.spec.MemoryMB
			accelerators += t.spec.Accelerators
		}
	}
	return cores <= float64(v.vm.Cores) && memory <= v.vm.MemoryMB && accelerators <= v.vm.Accelerators
}

func (p *Platform) newTask(spec platform.TaskSpec, now time.Time) (*task, error) {
	reality, _ := p.faults.take(TaskReality, now, spec.ID, spec.Job)
	needs := spec.Declared
	if needs == (platform.Size{}) {
		needs = platform.Size{Cores: spec.Cores, MemoryMB: spec.MemoryMB}
	}
	t := &task{
		spec:           spec,
		phase:          platform.TaskRunning,
		started:        now,
		realCores:      scale(needs.Cores, reality.CoresFactor),
		realMemoryMB:   int(scale(float64(needs.MemoryMB), reality.MemoryFactor)),
		workLeft:       time.Duration(scale(float64(spec.Work), reality.WorkFactor)),
		updatedAt:      now,
		share:          1,
		leaseExpiresAt: now.Add(spec.Lease),
	}
	if spec.Checkpoint != "" {
		left, ok := p.tasks.checkpoints[spec.Checkpoint]
		if !ok {
			return nil, errors.Wrapf(platform.ErrNotFound, "checkpoint %q", spec.Checkpoint)
		}
		t.workLeft = left
	}
	if f, ok := p.faults.take(WorkerFails, now, spec.Worker); ok {
		t.failAt = now.Add(f.Delay())
	}
	return t, nil
}

// scale multiplies value by factor, where 0 means 1.
func scale(value, factor float64) float64 {
	if factor == 0 {
		return value
	}
	return value * factor
}

// Renew implements platform.Tasks. It renews every lease that it can. If some tasks are
// fenced, ErrFenced names them; otherwise ErrNotFound names the tasks that don't
// run on the worker.
func (p *Platform) Renew(ctx context.Context, worker string, ids []string, lease time.Duration, fence platform.Offset) error {
	if err := p.applyAPIFaults(ctx, worker, "renew"); err != nil {
		return err
	}
	if lease <= 0 {
		return errors.Wrap(platform.ErrRejected, "the lease is not positive")
	}
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	var fenced, missing []string
	for _, id := range ids {
		t, ok := p.tasks.running[id]
		switch {
		case !ok || t.spec.Worker != worker:
			missing = append(missing, id)
		case fence < p.tasks.fences[id]:
			fenced = append(fenced, id)
		default:
			t.leaseExpiresAt = now.Add(lease)
		}
	}
	if _, ok := p.faults.take(APILoseReply, now, worker, "renew"); ok {
		return errors.Wrap(platform.ErrUnknownOutcome, "reply lost")
	}
	if len(fenced) > 0 {
		return errors.Wrapf(platform.ErrFenced, "tasks %s", strings.Join(fenced, ", "))
	}
	if len(missing) > 0 {
		return errors.Wrapf(platform.ErrNotFound, "tasks %s", strings.Join(missing, ", "))
	}
	return nil
}

// actOnRunningTask is like actOnTask, but calls do only if the task is running.
func (p *Platform) actOnRunningTask(ctx context.Context, id, verb string, op platform.Operation, do func(*task, time.Time)) (platform.TaskStatus, error) {
	return p.actOnTask(ctx, id, verb, op, func(now time.Time) (*task, error) {
		t, ok := p.tasks.find(id)
		if !ok {
			return nil, errors.Wrapf(platform.ErrNotFound, "task %q", id)
		}
		if t.phase == platform.TaskRunning {
			do(t, now)
		}
		return t, nil
	})
}

// Checkpoint implements platform.Tasks. It saves the task's progress and ends the task.
func (p *Platform) Checkpoint(ctx context.Context, id string, op platform.Operation) (platform.TaskStatus, error) {
	return p.actOnRunningTask(ctx, id, platform.VerbCheckpoint, op, func(t *task, now time.Time) {
		t.checkpoint = fmt.Sprintf("checkpoint-%d", len(p.tasks.checkpoints)+1)
		p.tasks.checkpoints[t.checkpoint] = t.remaining(now)
		p.tasks.end(t, platform.TaskCheckpointed, "", now)
	})
}

// Throttle implements platform.Tasks. The task continues at a share of full speed.
func (p *Platform) Throttle(ctx context.Context, id string, share float64, op platform.Operation) (platform.TaskStatus, error) {
	if !(share >= 0 && share <= 1) {
		return platform.TaskStatus{}, errors.Wrap(platform.ErrRejected, "the share is not within 0 and 1")
	}
	return p.actOnRunningTask(ctx, id, platform.VerbThrottle, op, func(t *task, now time.Time) {
		t.workLeft, t.updatedAt, t.share = t.remaining(now), now, share
	})
}

// Stop implements platform.Tasks.
func (p *Platform) Stop(ctx context.Context, id string, op platform.Operation) (platform.TaskStatus, error) {
	return p.actOnRunningTask(ctx, id, platform.VerbStop, op, func(t *task, now time.Time) {
		p.tasks.end(t, platform.TaskStopped, "", now)
	})
}

// Status implements platform.Tasks.
func (p *Platform) Status(ctx context.Context, worker string) ([]platform.TaskStatus, error) {
	if err := p.applyAPIFaults(ctx, worker, "status"); err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	p.lockAndAdvance()
	defer p.mu.Unlock()
	if _, ok := p.fleet.vms[worker]; !ok {
		return nil, errors.Wrapf(platform.ErrNotFound, "worker %q", worker)
	}
	statuses := []platform.TaskStatus{}
	for t := range p.allTasks() {
		if t.spec.Worker == worker {
			statuses = append(statuses, t.status())
		}
	}
	return statuses, nil
}
