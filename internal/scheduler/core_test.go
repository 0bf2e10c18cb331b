package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// rig is a Core with workers that answer only what a test says.
type rig struct {
	t    *testing.T
	core *scheduler.Core
	now  time.Time
}

func newRig(t *testing.T, suspects ...string) *rig {
	r := &rig{t: t, now: epochStart}
	r.core = scheduler.New(scheduler.Settings{Epoch: 3, Lease: testLease, StateKept: time.Hour, RemoteFactor: 2, Stop: stopTime}, r.now, suspects, false)
	r.core.SetConfig(testConfig)
	return r
}

func (r *rig) workers(ids ...string) {
	var list []workload.Worker
	for _, id := range ids {
		list = append(list, workload.Worker{
			ID: id, Service: "service", Address: id, Labels: []string{"a", "rack"},
			Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000},
		})
	}
	r.core.SetWorkers(list, r.now)
}

// step steps after d and stores what is to be stored.
func (r *rig) step(d time.Duration) scheduler.Orders {
	r.now = r.now.Add(d)
	orders := r.core.Step(r.now)
	if orders.Write != nil {
		r.core.Written()
		more := r.core.Step(r.now)
		orders.Starts = append(orders.Starts, more.Starts...)
		orders.Stops = append(orders.Stops, more.Stops...)
		orders.Holds = append(orders.Holds, more.Holds...)
	}
	return orders
}

// held answers a look.
func (r *rig) held(worker string, sent time.Time, held workload.Held) {
	r.core.Held(scheduler.HoldResult{Worker: worker, Token: 3 << 10, SentAt: sent, Held: held, Answer: workload.WorkerAnswer{Clock: 1000}}, r.now)
}

func (r *rig) started(s scheduler.StartOrder, status workload.WorkerStatus) {
	r.core.Started(scheduler.OrderResult{
		Worker: s.Worker.ID, Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token,
		Answer: workload.WorkerAnswer{Status: status, Clock: 1000},
	}, r.now)
}

func (r *rig) submit(id string, steps ...workload.Step) workload.JobID {
	job := workload.JobID(id)
	r.core.Submitted(job, &workload.Submission{Queue: "quick", Service: "service", AcceptedMS: r.now.UnixMilli(), Spec: workload.Spec{Payload: "work", Steps: steps}})
	return job
}

func batch(count, cpu int) workload.Step {
	return workload.Step{Count: count, Need: workload.Resources{CPU: cpu, MemoryMB: 100}, EstimateMS: 500}
}

// ready syncs workers and returns the starts that follow.
func (r *rig) ready(ids ...string) []scheduler.StartOrder {
	r.workers(ids...)
	r.step(0)
	for _, id := range ids {
		r.held(id, r.now, workload.Held{})
	}
	return r.step(10 * time.Millisecond).Starts
}

func end(n int64, s scheduler.StartOrder, how workload.How) workload.Held {
	return workload.Held{Finished: []workload.RunEnd{{Number: n, Task: s.Start.Task, Run: s.Start.Run, How: how}}}
}

// The caller's job takes one look more to begin. A worker may run what an earlier
// owner started there: nothing is started anywhere before each one has answered
// under the new token, as the same task could run on the one that has not.
func TestNothingStartsBeforeAllSuspectsAnswered(t *testing.T) {
	r := newRig(t, "w-1", "w-2")
	r.workers("w-1", "w-2")
	r.submit("0000000000000001", batch(1, 1000))
	r.step(0)
	r.held("w-1", r.now, workload.Held{})
	assert.Empty(t, r.step(50*time.Millisecond).Starts)
	r.held("w-2", r.now, workload.Held{})
	assert.Len(t, r.step(50*time.Millisecond).Starts, 1)
}

// A worker stays silent at a takeover. What it runs has ended when the last
// lease that the earlier owner can have given has lapsed, also on a clock that
// is 2% slow; before that nothing is started.
func TestSilentSuspectIsWaitedForUntilItsLeaseIsOver(t *testing.T) {
	r := newRig(t, "w-1", "w-2")
	r.workers("w-1", "w-2")
	r.submit("0000000000000001", batch(1, 1000))
	r.step(0)
	r.held("w-1", r.now, workload.Held{})
	slowest := testLease * 100 / 98
	for r.now.Sub(epochStart) < slowest {
		require.Empty(t, r.step(100*time.Millisecond).Starts, "after %s", r.now.Sub(epochStart))
		r.held("w-1", r.now, workload.Held{})
	}
	started := false
	for range 10 {
		started = started || len(r.step(100*time.Millisecond).Starts) > 0
	}
	assert.True(t, started)
}

// A new owner finds a run of its predecessor. It goes on; its task is not started
// a second time, and its end counts.
func TestRunOfAnEarlierOwnerIsAdopted(t *testing.T) {
	r := newRig(t, "w-1")
	r.workers("w-1")
	job := r.submit("0000000000000001", batch(1, 1000))
	r.step(0)
	key := workload.TaskKey{Job: job}
	r.held("w-1", r.now, workload.Held{Running: []workload.RunState{{Task: key, Run: 65537, Percent: 100}}})
	assert.Empty(t, r.step(50*time.Millisecond).Starts)
	r.held("w-1", r.now, workload.Held{Finished: []workload.RunEnd{{Number: 1, Task: key, Run: 65537, How: workload.EndDone}}})
	r.step(50 * time.Millisecond)
	state, _ := r.core.State(job)
	assert.Equal(t, workload.Completed, state)
}

// A start has no answer and is carried out late. The worker's list does not have
// it at first, so it is stopped; the stop's answer keeps the late start out. Only
// a look after that frees the task for another worker.
func TestStartWithoutAnAnswerIsStoppedBeforeItIsTriedElsewhere(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	r.submit("0000000000000001", batch(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.started(start, workload.WorkerUnknown)
	sent := r.now.Add(time.Millisecond)
	assert.Empty(t, r.step(20*time.Millisecond).Starts)
	r.held(start.Worker.ID, sent, workload.Held{})
	orders := r.step(20 * time.Millisecond)
	require.Len(t, orders.Stops, 1)
	assert.Equal(t, start.Start.Run, orders.Stops[0].Run)
	assert.Empty(t, orders.Starts)
	r.core.Stopped(scheduler.OrderResult{Worker: start.Worker.ID, Task: start.Start.Task, Run: start.Start.Run, Token: start.Start.Token, Answer: workload.WorkerAnswer{Clock: 1000}}, r.now)
	before := r.now.Add(-time.Millisecond)
	r.held(start.Worker.ID, before, workload.Held{})
	assert.Empty(t, r.step(20*time.Millisecond).Starts, "that look was sent before the stop was answered")
	r.held(start.Worker.ID, r.now, workload.Held{})
	again := r.step(20 * time.Millisecond).Starts
	require.Len(t, again, 1)
	assert.Greater(t, again[0].Start.Run, start.Start.Run)
}

// An end is acknowledged to the worker, and shown to the caller, only once it is
// stored: the worker's list is all that a new owner would have of it.
func TestEndIsStoredBeforeItIsAcknowledged(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	job := r.submit("0000000000000001", batch(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.started(start, workload.WorkerOK)
	r.held("w-1", r.now, end(1, start, workload.EndDone))
	r.now = r.now.Add(500 * time.Millisecond)
	orders := r.core.Step(r.now)
	require.NotNil(t, orders.Write)
	for _, h := range orders.Holds {
		assert.Zero(t, h.Hold.Acked)
	}
	state, _ := r.core.State(job)
	assert.Equal(t, workload.Running, state)
	r.core.Written()
	state, _ = r.core.State(job)
	assert.Equal(t, workload.Completed, state)
	holds := r.core.Step(r.now.Add(time.Second)).Holds
	for _, h := range holds {
		assert.Equal(t, int64(1), h.Hold.Acked)
	}
}

// A caller cancels its job and then a record of the job comes again, as when two
// nodes took the same request. The first one counts.
func TestSameIDTwiceIsOneJob(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	job := r.submit("0000000000000001", batch(1, 1000))
	require.Len(t, r.step(20*time.Millisecond).Starts, 1)
	r.submit("0000000000000001", batch(3, 1000))
	assert.Empty(t, r.step(20*time.Millisecond).Starts)
	r.core.CancelRequested(job, r.now)
	r.step(20 * time.Millisecond)
	r.submit("0000000000000001", batch(3, 1000))
	assert.Empty(t, r.step(20*time.Millisecond).Starts)
	state, _ := r.core.State(job)
	assert.Equal(t, workload.Cancelled, state)
}

// The start of a cancelled job comes late: its worker lists it after the cancel.
// It is stopped.
func TestCancelledJobWithALateStartIsStopped(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	job := r.submit("0000000000000001", batch(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.core.CancelRequested(job, r.now)
	r.step(20 * time.Millisecond)
	r.started(start, workload.WorkerUnknown)
	r.core.Stopped(scheduler.OrderResult{Worker: "w-1", Task: start.Start.Task, Run: start.Start.Run, Token: start.Start.Token, Answer: workload.WorkerAnswer{Status: workload.WorkerUnknown}}, r.now)
	r.step(20 * time.Millisecond)
	r.step(400 * time.Millisecond)
	r.held("w-1", r.now, workload.Held{Running: []workload.RunState{{Task: start.Start.Task, Run: start.Start.Run, Percent: 100}}})
	assert.NotEmpty(t, r.step(20*time.Millisecond).Stops)
}

// A worker refuses a connection while nothing runs on it. It gets no work until
// it answers, and it is asked, so that it does not stay aside for ever.
func TestIdleWorkerThatWasSilentIsAskedAgain(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	r.submit("0000000000000001", batch(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.started(start, workload.WorkerNotSent)
	orders := r.step(400 * time.Millisecond)
	assert.Empty(t, orders.Starts)
	require.Len(t, orders.Holds, 1)
	r.held("w-1", r.now, workload.Held{})
	assert.Len(t, r.step(400*time.Millisecond).Starts, 1)
}

// Lasting tasks fail by themselves now and then, and such failures say nothing of
// their worker: however many there were, it goes on getting them.
func TestLastingTasksAreStartedAgainWhereverTheyFailed(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	lasting := workload.Step{Count: 1, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true}
	r.submit("0000000000000001", lasting)
	r.submit("0000000000000002", lasting)
	n := int64(0)
	for range 8 {
		starts := r.step(400 * time.Millisecond).Starts
		require.NotEmpty(t, starts)
		for _, s := range starts {
			r.started(s, workload.WorkerOK)
		}
		r.step(3 * time.Second)
		for _, s := range starts {
			n++
			r.held("w-1", r.now, end(n, s, workload.EndFailed))
		}
	}
}

// A worker fails all that it starts. After a few failures of several jobs it is
// set aside, and the jobs are run elsewhere.
func TestWorkerThatFailsAllIsSetAside(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	for i := range 6 {
		r.submit("000000000000000"+string(rune('1'+i)), batch(1, 1000))
	}
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 6)
	for i, s := range starts[:3] {
		r.started(s, workload.WorkerOK)
		r.held("w-1", r.now, end(int64(i+1), s, workload.EndFailed))
	}
	assert.Empty(t, r.step(1100*time.Millisecond).Starts, "nothing new goes to it")
	for _, s := range r.ready("w-1", "w-2") {
		assert.Equal(t, "w-2", s.Worker.ID)
	}
}

// A step waits for all tasks of the step that it depends on.
func TestStepsFollowTheirDependencies(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	second := batch(1, 1000)
	second.DependsOn = []int{0}
	r.submit("0000000000000001", batch(2, 1000), second)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
	}
	first := end(1, starts[0], workload.EndDone)
	first.Running = []workload.RunState{{Task: starts[1].Start.Task, Run: starts[1].Start.Run, Percent: 100}}
	r.held("w-1", r.now, first)
	assert.Empty(t, r.step(100*time.Millisecond).Starts)
	r.held("w-1", r.now, end(2, starts[1], workload.EndDone))
	after := r.step(100 * time.Millisecond).Starts
	require.Len(t, after, 1)
	assert.Equal(t, 1, after[0].Start.Task.Step)
}

// A gang starts with all its members, under one run number, or not at all.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	gang := batch(3, 3000)
	gang.Gang = true
	r.submit("0000000000000001", gang)
	assert.Empty(t, r.step(20*time.Millisecond).Starts, "two fit, three don't")
	starts := r.ready("w-1", "w-2")
	require.Len(t, starts, 3)
	assert.Equal(t, starts[0].Start.Run, starts[1].Start.Run)
	assert.Equal(t, starts[0].Start.Run, starts[2].Start.Run)
}

// An occurrence does not begin before it is due.
func TestOccurrencesWaitForTheirTime(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	due := r.now.Add(2 * time.Second)
	r.core.Submitted("0000000000000001", &workload.Submission{Queue: "quick", Service: "service", AcceptedMS: r.now.UnixMilli(), Spec: workload.Spec{
		Steps: []workload.Step{batch(1, 1000)}, Repeat: 2, StartAtMS: due.UnixMilli(), IntervalMS: 1000,
	}})
	var at []time.Time
	for r.now.Before(due.Add(3 * time.Second)) {
		for range r.step(100 * time.Millisecond).Starts {
			at = append(at, r.now)
		}
		r.held("w-1", r.now, workload.Held{})
	}
	require.Len(t, at, 2)
	assert.False(t, at[0].Before(due))
	assert.False(t, at[1].Before(due.Add(time.Second)))
}

// A VM is to be emptied, and one of two lasting tasks may be missing. They leave
// one after the other: the second one goes only when the first is fully at work
// elsewhere.
func TestEmptyingKeepsTheBudgetOfLastingTasks(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	r.submit("0000000000000001", workload.Step{Count: 2, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true, MayMiss: 1})
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	home := starts[0].Worker.ID
	require.Equal(t, home, starts[1].Worker.ID, "lasting tasks lie together")
	running := func(s scheduler.StartOrder, percent int) workload.RunState {
		return workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: percent}
	}
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
	}
	r.held(home, r.now.Add(time.Millisecond), workload.Held{Running: []workload.RunState{running(starts[0], 100), running(starts[1], 100)}})
	assert.False(t, r.core.Evacuate(home, r.now))
	stops := r.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 1)
	stopped, left := starts[0], starts[1]
	if stops[0].Task == starts[1].Start.Task {
		stopped, left = left, stopped
	}
	ended := end(1, stopped, workload.EndStopped)
	ended.Running = []workload.RunState{running(left, 100)}
	r.held(home, r.now.Add(time.Millisecond), ended)
	r.core.Evacuate(home, r.now)
	moved := r.step(20 * time.Millisecond)
	require.Len(t, moved.Starts, 1)
	require.NotEqual(t, home, moved.Starts[0].Worker.ID)
	r.started(moved.Starts[0], workload.WorkerOK)
	r.core.Evacuate(home, r.now)
	assert.Empty(t, r.step(20*time.Millisecond).Stops, "the first is not at work yet")
	r.held(moved.Starts[0].Worker.ID, r.now.Add(time.Millisecond), workload.Held{Running: []workload.RunState{running(moved.Starts[0], 100)}})
	r.core.Evacuate(home, r.now)
	assert.Len(t, r.step(20*time.Millisecond).Stops, 1)
}

// A serving task is over its target because of a filling one beside it. The
// filling one is slowed down, and let go again once the tail is well below.
func TestFillingTasksAreSlowedBesideServingOnes(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	serve := workload.Step{Count: 1, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Lasting: true, TargetMS: 100}
	fill := workload.Step{Count: 1, Need: workload.Resources{CPU: 4000, MemoryMB: 100}, Lasting: true, Fills: true}
	r.submit("0000000000000001", serve, fill)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
	}
	look := func(tail float64) []scheduler.PaceOrder {
		var rows []workload.RunState
		for _, s := range starts {
			row := workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: 100}
			if s.Start.Task.Step == 0 {
				row.Load = tail
			}
			rows = append(rows, row)
		}
		r.held("w-1", r.now.Add(time.Millisecond), workload.Held{Running: rows})
		paces := r.step(600 * time.Millisecond).Paces
		for _, p := range paces {
			r.core.Paced(scheduler.OrderResult{Worker: "w-1", Task: p.Task, Run: p.Run, Token: p.Token, Answer: workload.WorkerAnswer{Clock: 1000}}, r.now)
		}
		return paces
	}
	paces := look(150)
	require.Len(t, paces, 1)
	assert.Equal(t, 50, paces[0].Percent)
	assert.Equal(t, 1, paces[0].Task.Step)
	paces = look(120)
	require.Len(t, paces, 1)
	assert.Equal(t, 25, paces[0].Percent)
	paces = look(30)
	require.Len(t, paces, 1)
	assert.Equal(t, 40, paces[0].Percent)
}

// A queue whose steps only some workers may run is asked about first; a start
// carries the ticket, and goes to no worker without one.
func TestAdviceIsAskedBeforeAStart(t *testing.T) {
	r := newRig(t)
	config := *testConfig
	config.Version = 2
	config.Queues = []workload.Queue{{Name: "quick", Service: "service", MaxAttempts: 2, Stretch: 2, Objective: time.Second, Advice: &workload.Advice{Valid: 3 * time.Second}}}
	r.core.SetConfig(&config)
	r.ready("w-1", "w-2")
	r.submit("0000000000000001", batch(2, 1000))
	orders := r.step(20 * time.Millisecond)
	assert.Empty(t, orders.Starts)
	require.Len(t, orders.Advise, 1)
	assert.Empty(t, r.step(20*time.Millisecond).Advise, "one question at a time")
	r.core.Advised(scheduler.AdviceResult{Order: orders.Advise[0], SentAt: r.now, OK: true, Valid: 3 * time.Second, Tickets: map[string]string{"w-2": "ticket"}}, r.now)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		assert.Equal(t, "w-2", s.Worker.ID)
		assert.Equal(t, "ticket", s.Start.Ticket)
	}
}

// An owner hands over while a worker does not answer. The next one knows what it
// may run: other tasks start at once, that one when the lease is over.
func TestHandoverKeepsOnlyWhatMayRunWaiting(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	first := r.submit("0000000000000001", batch(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.started(start, workload.WorkerOK)
	var left *workload.Handover
	for _, record := range r.core.Handover(r.now) {
		if record.Handover != nil {
			left = record.Handover
		}
	}
	require.NotNil(t, left)
	require.Len(t, left.Runs, 1)

	next := &rig{t: t, now: r.now}
	next.core = scheduler.New(scheduler.Settings{Epoch: 4, Lease: testLease, StateKept: time.Hour, RemoteFactor: 2, Stop: stopTime}, next.now, nil, false)
	next.core.SetConfig(testConfig)
	next.submit(string(first), batch(1, 1000))
	second := next.submit("0000000000000002", batch(1, 1000))
	next.core.Inherit(left, next.now)
	next.workers("w-1", "w-2")
	next.step(0)
	next.core.Held(scheduler.HoldResult{Worker: "w-1", Token: 4 << 10, SentAt: next.now, Answer: workload.WorkerAnswer{Status: workload.WorkerUnknown}}, next.now)
	next.core.Held(scheduler.HoldResult{Worker: "w-2", Token: 4 << 10, SentAt: next.now, Answer: workload.WorkerAnswer{Clock: 1000}}, next.now)
	var started []workload.JobID
	play := func(steps int) {
		for range steps {
			orders := next.step(100 * time.Millisecond)
			for _, s := range orders.Starts {
				started = append(started, s.Start.Task.Job)
			}
			for _, h := range orders.Holds {
				if h.Worker.ID != "w-1" {
					continue // it waits for an end
				}
				next.core.Held(scheduler.HoldResult{Worker: h.Worker.ID, Token: h.Hold.Token, SentAt: next.now, Answer: workload.WorkerAnswer{Status: workload.WorkerUnknown}}, next.now)
			}
		}
	}
	play(30)
	assert.Equal(t, []workload.JobID{second}, started)
	play(12)
	assert.Contains(t, started, first)
}

// A service is full of short tasks, and a large lasting one has to start again.
// Each bit of room that comes free would go to short ones for ever: room is kept
// for it on one worker until it fits.
func TestLargeLastingTaskGetsRoomOnAFullService(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	n := 0
	fill := func() {
		n++
		r.submit("00000000000001"+string(rune('0'+n/10))+string(rune('0'+n%10)), batch(8, 1000))
	}
	running := map[string][]scheduler.StartOrder{}
	number := map[string]int64{}
	step := func() (lasting bool) {
		for _, s := range r.step(100 * time.Millisecond).Starts {
			r.started(s, workload.WorkerOK)
			lasting = lasting || s.Start.Task.Job == "0000000000000999"
			running[s.Worker.ID] = append(running[s.Worker.ID], s)
		}
		return lasting
	}
	fill()
	fill()
	fill()
	step()
	r.submit("0000000000000999", workload.Step{Count: 1, Need: workload.Resources{CPU: 6000, MemoryMB: 100}, Lasting: true})
	for round := range 40 {
		if step() {
			return
		}
		// One task ends on each worker in turn, and more jobs come.
		worker := []string{"w-1", "w-2"}[round%2]
		if len(running[worker]) == 0 {
			continue
		}
		done := running[worker][0]
		running[worker] = running[worker][1:]
		number[worker]++
		var held workload.Held
		for _, s := range running[worker] {
			held.Running = append(held.Running, workload.RunState{Task: s.Start.Task, Run: s.Start.Run, Percent: 100})
		}
		held.Finished = end(number[worker], done, workload.EndDone).Finished
		r.held(worker, r.now.Add(time.Millisecond), held)
		if round%3 == 0 {
			fill()
		}
	}
	t.Fatal("the lasting task never got room")
}

// The owner's process stands still while a worker answers it, and wakes to calls
// that have timed out. It asks once more before it gives the worker's tasks up:
// the answer lists one as done, and the caller's task runs once.
func TestTasksAreNotGivenUpWhileThisProcessHardlyGetsOn(t *testing.T) {
	r := newRig(t)
	r.ready("w-1", "w-2")
	job := r.submit("0000000000000001", batch(1, 1000))
	start := r.step(20 * time.Millisecond).Starts[0]
	r.started(start, workload.WorkerOK)
	sent := r.now
	r.step(20 * time.Millisecond)
	r.now = r.now.Add(6 * time.Second)
	r.core.Held(scheduler.HoldResult{Worker: start.Worker.ID, Token: 3 << 10, SentAt: sent, Answer: workload.WorkerAnswer{Status: workload.WorkerUnknown}}, r.now)
	var holds []scheduler.HoldOrder
	for range 4 {
		orders := r.step(100 * time.Millisecond)
		require.Empty(t, orders.Starts)
		holds = append(holds, orders.Holds...)
	}
	require.NotEmpty(t, holds)
	r.held(start.Worker.ID, r.now, end(1, start, workload.EndDone))
	r.step(100 * time.Millisecond)
	state, _ := r.core.State(job)
	assert.Equal(t, workload.Completed, state)
}

// Hundreds of tasks are ready at once. Their starts go out in portions: on a small
// VM all of them together would be answered too late, and count as unknown.
func TestStartsInFlightAreBounded(t *testing.T) {
	r := newRig(t)
	var ids []string
	for i := range 30 {
		ids = append(ids, "w-"+string(rune('a'+i)))
	}
	r.ready(ids...)
	for i := range 30 {
		r.submit("00000000000001"+string(rune('0'+i/10))+string(rune('0'+i%10)), batch(8, 1000))
	}
	first := r.step(20 * time.Millisecond).Starts
	require.NotEmpty(t, first)
	require.LessOrEqual(t, len(first), 64)
	assert.Empty(t, r.step(20*time.Millisecond).Starts, "none was answered yet")
	for _, s := range first {
		r.started(s, workload.WorkerOK)
	}
	assert.NotEmpty(t, r.step(20*time.Millisecond).Starts)
}

// A task ends while another runs on the worker. Until its end is stored the worker
// is left alone, as it would answer each look at once; then it is looked at without
// a pause. Otherwise every end costs the next one on that worker 400 ms.
func TestLookFollowsAStoredEndAtOnce(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	r.submit("0000000000000001", batch(2, 1000))
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(t, starts, 2)
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
	}
	held := end(1, starts[0], workload.EndDone)
	held.Running = []workload.RunState{{Task: starts[1].Start.Task, Run: starts[1].Start.Run, Percent: 100}}
	r.held("w-1", r.now.Add(time.Millisecond), held)
	r.now = r.now.Add(20 * time.Millisecond)
	orders := r.core.Step(r.now)
	require.NotNil(t, orders.Write)
	assert.Empty(t, orders.Holds)
	r.core.Written()
	holds := r.core.Step(r.now.Add(5 * time.Millisecond)).Holds
	require.Len(t, holds, 1)
	assert.Equal(t, int64(1), holds[0].Hold.Acked)
}
