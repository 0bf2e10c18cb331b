package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A report may be older than another one although its poll was sent later. A run that has exited must
// not be added again from it, or its task would count as running and its capacity as used.
func TestOlderPollReportIsIgnored(t *testing.T) {
	r := newRig(t)
	r.syncWorkers("w-1")
	s := r.startJob("0000000000000001", batchStep(1, 1000))[0]
	answerPoll := func(sentAt time.Time, clock int64, report workload.PollReport) {
		r.core.HandlePollResult(scheduler.PollResult{Worker: "w-1", Token: r.token(), SentAt: sentAt, Report: report, Answer: workload.WorkerAnswer{ClockMS: clock}}, r.now)
	}
	sentAt := r.now
	r.step(300 * time.Millisecond)
	answerPoll(sentAt, 2000, exitReport(1, s, workload.ExitDone))
	running := workload.PollReport{Running: []workload.ListedRun{{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100}}}
	answerPoll(sentAt.Add(100*time.Millisecond), 1990, running)
	assert.Empty(t, r.step(50*time.Millisecond).Stops, "the older report must not add the run again")

	answerPoll(sentAt.Add(200*time.Millisecond), 2100, workload.PollReport{})
	assert.Empty(t, r.step(50*time.Millisecond).Stops)
}
