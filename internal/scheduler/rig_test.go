package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// rig is a Core with workers that answer only what a test says.
type rig struct {
	t    testing.TB
	core *scheduler.Core
	now  time.Time
	// epoch is the core's.
	epoch int64
	// polls are the latest that were sent, by worker.
	polls map[string]scheduler.HoldOrder
}

// token is the fencing token of the core's first orders to a worker.
func (r *rig) token() int64 { return r.epoch << 10 }

// gangTimeout is how long members of a gang wait for each other.
const gangTimeout = 3 * time.Second

func testSettings(epoch int64) scheduler.Settings {
	return scheduler.Settings{
		Epoch:        epoch,
		Lease:        testLease,
		MaxLease:     maxLease,
		StateKept:    time.Hour,
		RemoteFactor: 2,
		Stop:         stopTime,
		GangTimeout:  gangTimeout,
	}
}

func newRig(t testing.TB, suspects ...string) *rig {
	r := &rig{t: t, now: epochStart, epoch: 3}
	r.core = scheduler.New(testSettings(r.epoch), r.now, suspects, false)
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
	r.note(orders)
	return orders
}

// note keeps the polls among orders for tests that answer them.
func (r *rig) note(orders scheduler.Orders) {
	if r.polls == nil {
		r.polls = map[string]scheduler.HoldOrder{}
	}
	for _, h := range orders.Holds {
		if !h.Extra {
			r.polls[h.Worker.ID] = h
		}
	}
}

// held answers a poll.
func (r *rig) held(worker string, sent time.Time, held workload.Held) {
	r.core.Held(scheduler.HoldResult{Worker: worker, Token: r.token(), SentAt: sent, Held: held, Answer: workload.WorkerAnswer{Clock: 1000}}, r.now)
}

// replaced answers a poll of a worker as its successor at the same address does.
func (r *rig) replaced(worker string) {
	r.core.Held(scheduler.HoldResult{Worker: worker, Token: r.token(), SentAt: r.now, Answer: workload.WorkerAnswer{Status: workload.WorkerReplaced}}, r.now)
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

// answer answers a poll as the incarnation does that started at born.
func (r *rig) answer(h scheduler.HoldOrder, born int64, held workload.Held) {
	held.Born = born
	r.core.Held(scheduler.HoldResult{Worker: h.Worker.ID, Token: h.Hold.Token, SentAt: r.now, Extra: h.Extra, Held: held, Answer: workload.WorkerAnswer{Clock: r.now.UnixMilli() - born}}, r.now)
}

// entry registers one worker, as started at born.
func (r *rig) entry(id string, born int64) {
	r.core.SetWorkers([]workload.Worker{{ID: id, Born: born, Service: "service", Address: id, Labels: []string{"a", "rack"}, Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}}}, r.now)
}

// poll returns the poll of a worker that waits for its answer, after steps until there is
// one, and the starts meanwhile.
func (r *rig) poll(id string) (h scheduler.HoldOrder, starts []scheduler.StartOrder) {
	for range 100 {
		if h, ok := r.polls[id]; ok {
			delete(r.polls, id)
			return h, starts
		}
		starts = append(starts, r.step(10*time.Millisecond).Starts...)
	}
	require.FailNow(r.t, "no poll of "+id)
	return h, starts
}

// refused answers a poll as the address of a process that has ended does.
func (r *rig) refused(worker string) {
	r.core.Held(scheduler.HoldResult{Worker: worker, Token: r.token(), SentAt: r.now, Answer: workload.WorkerAnswer{Status: workload.WorkerDown}}, r.now)
}

// unanswered answers a poll with silence.
func (r *rig) unanswered(worker string) {
	r.core.Held(scheduler.HoldResult{Worker: worker, Token: r.token(), SentAt: r.now, Answer: workload.WorkerAnswer{Status: workload.WorkerUnknown}}, r.now)
}

// crash ends a worker's process: polls are refused, and then its successor answers.
func (r *rig) crash(worker string) {
	r.refused(worker)
	r.now = r.now.Add(100 * time.Millisecond)
	r.refused(worker)
	r.now = r.now.Add(100 * time.Millisecond)
	r.replaced(worker)
}

// refusedFor steps while each poll of a worker is refused.
func (r *rig) refusedFor(worker string, d time.Duration) scheduler.Orders {
	var all scheduler.Orders
	for until := r.now.Add(d); r.now.Before(until); {
		orders := r.step(50 * time.Millisecond)
		all.Starts = append(all.Starts, orders.Starts...)
		for _, h := range orders.Holds {
			if h.Worker.ID == worker {
				r.refused(worker)
			}
		}
	}
	return all
}

// crashBefore ends a worker's process, and others take its place.
func (r *rig) crashBefore(worker string, others ...string) {
	r.crash(worker)
	r.workers(others...)
	r.step(0)
	for _, id := range others {
		r.held(id, r.now, workload.Held{})
	}
}

// begin submits a job and answers its starts, which must be as many as it has tasks.
func (r *rig) begin(id string, spec workload.Step) []scheduler.StartOrder {
	r.submit(id, spec)
	starts := r.step(30 * time.Millisecond).Starts
	require.Len(r.t, starts, spec.Count)
	for _, s := range starts {
		r.started(s, workload.WorkerOK)
	}
	return starts
}

// newIncarnationRig returns a rig with one worker that is known to have started at
// firstBorn.
func newIncarnationRig(t *testing.T) *rig {
	r := newRig(t)
	r.entry("w-1", firstBorn)
	h, _ := r.poll("w-1")
	r.answer(h, firstBorn, workload.Held{})
	return r
}
