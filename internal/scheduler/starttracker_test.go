package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A start without an answer could count as in flight until its timeout of a second. With every sixth
// answer lost, 384 starts would then use up the limit, and nothing would start although workers are
// free. An unanswered start must delay only its own task: all tasks that fit must be ordered within 40
// round trips.
func TestUnansweredStartsDoNotBlockOthers(t *testing.T) {
	const (
		workers        = 120
		tasksPerWorker = 8 // capacity of a worker, in tasks
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

// On an overloaded node all answers are late. They must not count as lost, because more starts would
// delay them further.
func TestStartsInFlightAreBoundedWhileAllAnswersAreLate(t *testing.T) {
	const maxInFlight = 64
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
		if len(unanswered) > 0 { // one answer per step, in order
			r.answerStart(unanswered[0], workload.WorkerOK)
			unanswered = unanswered[1:]
		}
	}
}
