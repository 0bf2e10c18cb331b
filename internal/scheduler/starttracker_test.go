package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Callers of a busy queue wait for seconds beside free workers while a few of a
// hundred workers' answers are lost.
//
// Of the starts that may be in flight, those without an answer keep their places until
// they are given up after a second. With every sixth one lost, 384 starts take all
// places, and nothing else starts until then. A start without an answer is to hold up
// itself alone: all that has room is ordered within some round trips.
func TestUnansweredStartsDoNotBlockOthers(t *testing.T) {
	const (
		workers        = 120
		tasksPerWorker = 8 // that a worker has room for
		roundTrip      = 5 * time.Millisecond
		lossInterval   = 6
	)
	r := newRig(t)
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("worker-%03d", i))
	}
	r.syncWorkers(ids...)
	for i := range workers {
		r.submit(fmt.Sprintf("%016d", i+1), batchStep(tasksPerWorker, 1000))
	}
	ordered := 0
	for range 40 {
		starts := r.step(roundTrip).Starts
		for _, s := range starts {
			ordered++
			if ordered%lossInterval != 0 {
				r.answerStart(s, workload.WorkerOK)
			}
		}
	}
	assert.Equal(t, workers*tasksPerWorker, ordered, "starts ordered within %s", 40*roundTrip)
}

// On a node that is behind, answers come late. They are no sign of loss: sending more
// would only delay them further.
func TestStartsInFlightAreBoundedWhileAllAnswersAreLate(t *testing.T) {
	const maxInFlight = 64 // starts in flight
	r := newRig(t)
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("worker-%03d", i))
	}
	r.syncWorkers(ids...)
	for i := range 40 {
		r.submit(fmt.Sprintf("%016d", i+1), batchStep(8, 1000))
	}
	var unanswered []scheduler.StartOrder
	for range 100 {
		unanswered = append(unanswered, r.step(5*time.Millisecond).Starts...)
		assert.LessOrEqual(t, len(unanswered), maxInFlight)
		if len(unanswered) > 0 { // one answer a step, in order
			r.answerStart(unanswered[0], workload.WorkerOK)
			unanswered = unanswered[1:]
		}
	}
}
