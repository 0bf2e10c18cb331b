package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// gangOf is a step of three tasks, of which a test worker holds two.
func gangOf(r *rig) []scheduler.StartOrder {
	r.ready("w-1", "w-2")
	gang := batch(3, 3000)
	gang.Gang = true
	r.submit("0000000000000001", gang)
	starts := r.step(20 * time.Millisecond).Starts
	require.Len(r.t, starts, 3)
	return starts
}

// play steps for a while. Workers answer polls and list nothing.
func (r *rig) play(d time.Duration) scheduler.Orders {
	var all scheduler.Orders
	for until := r.now.Add(d); r.now.Before(until); {
		orders := r.step(50 * time.Millisecond)
		all.Starts = append(all.Starts, orders.Starts...)
		all.Stops = append(all.Stops, orders.Stops...)
	}
	return all
}

// One member of a gang meets a worker that has just left; the others begin and
// wait for it. They are stopped at once, as they get nothing done and hold their
// room, and the gang starts anew under a higher number: the caller's job takes
// half a second longer, and no member ends for want of the others.
func TestGangWithARefusedMemberIsStoppedAndStartsAnew(t *testing.T) {
	r := newRig(t)
	starts := gangOf(r)
	r.started(starts[0], workload.WorkerOK)
	r.started(starts[1], workload.WorkerOK)
	r.started(starts[2], workload.WorkerFull)
	stops := r.step(20 * time.Millisecond).Stops
	require.Len(t, stops, 2)
	ends := map[string]int64{}
	for _, s := range stops {
		ends[s.Worker.ID]++
		r.core.Stopped(scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Token: s.Token, Answer: workload.WorkerAnswer{Clock: 1000}}, r.now)
		r.held(s.Worker.ID, r.now.Add(time.Millisecond), workload.Held{Finished: []workload.RunEnd{{Number: ends[s.Worker.ID], Task: s.Task, Run: s.Run, How: workload.EndStopped}}})
	}
	again := r.play(time.Second).Starts
	require.Len(t, again, 3)
	for _, s := range again {
		assert.Equal(t, starts[0].Start.Run+1, s.Start.Run)
	}
}

// The start of one member gets no answer, and its worker is silent. The others
// would wait for it until they end without work done; they are stopped before.
func TestGangWithAnUncertainMemberIsStoppedBeforeItGivesUp(t *testing.T) {
	r := newRig(t)
	starts := gangOf(r)
	r.started(starts[0], workload.WorkerOK)
	r.started(starts[1], workload.WorkerOK)
	r.now = r.now.Add(time.Second)
	r.started(starts[2], workload.WorkerUnknown)
	stopped := map[workload.TaskKey]bool{}
	for _, s := range r.play(gangTimeout - 1500*time.Millisecond).Stops {
		stopped[s.Task] = true
	}
	assert.True(t, stopped[starts[0].Start.Task])
	assert.True(t, stopped[starts[1].Start.Task])
}

// All members are there: the gang is left alone, however long it works.
func TestCompleteGangIsLeftAlone(t *testing.T) {
	r := newRig(t)
	for _, s := range gangOf(r) {
		r.started(s, workload.WorkerOK)
	}
	assert.Empty(t, r.play(2*gangTimeout).Stops)
}

// A VM was emptied, and its worker goes with it to another pool. The list names it
// for seconds yet. It gets no task before it has answered a poll again: a start
// there would be refused and cost its task 0.3 s.
func TestEmptiedWorkerGetsNoTaskBeforeItHasAnswered(t *testing.T) {
	r := newRig(t)
	r.ready("w-1")
	require.Equal(t, workload.Vacant, r.core.Evacuate("w-1", r.now))
	r.play(3 * time.Second)
	r.submit("0000000000000001", batch(1, 1000))
	require.Empty(t, r.step(20*time.Millisecond).Starts)
	r.held("w-1", r.now, workload.Held{})
	assert.Len(t, r.step(20*time.Millisecond).Starts, 1)
}
