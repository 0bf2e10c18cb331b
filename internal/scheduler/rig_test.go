package scheduler_test

import (
	"testing"
	"time"

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
	// looks are the latest that were sent, by worker.
	looks map[string]scheduler.HoldOrder
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

// note keeps the looks among orders for tests that answer them.
func (r *rig) note(orders scheduler.Orders) {
	if r.looks == nil {
		r.looks = map[string]scheduler.HoldOrder{}
	}
	for _, h := range orders.Holds {
		if !h.Extra {
			r.looks[h.Worker.ID] = h
		}
	}
}

// held answers a look.
func (r *rig) held(worker string, sent time.Time, held workload.Held) {
	r.core.Held(scheduler.HoldResult{Worker: worker, Token: r.token(), SentAt: sent, Held: held, Answer: workload.WorkerAnswer{Clock: 1000}}, r.now)
}

// replaced answers a look at a worker as its successor at the same address does.
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
