package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// A replaced owner reads a batch with its successor's takeover in the middle. If it took in the jobs
// behind the takeover, it would start them beside its successor.
func TestRecordsBehindALaterTakeoverAreNotApplied(t *testing.T) {
	core := scheduler.New(scheduler.Settings{Epoch: 7}, time.Unix(0, 0), nil, false)
	sub := &workload.Submission{Service: "booking", Queue: "queue", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}
	applyRecords(core, []workload.Record{
		{Offset: 0, Takeover: &workload.Takeover{Epoch: 7}},
		{Offset: 1, Job: waitingJob, Submission: sub},
		{Offset: 2, Takeover: &workload.Takeover{Epoch: 9}},
		{Offset: 3, Job: endedJob, Submission: sub},
	}, core.AddLoggedJob, time.Unix(0, 0))
	_, known := core.JobState(waitingJob)
	assert.True(t, known)
	_, known = core.JobState(endedJob)
	assert.False(t, known)
	assert.NotEmpty(t, core.StepDownReason())
}

// silentStore leaves reads without an answer until they time out.
type silentStore struct {
	memoryStore
	readTimeout time.Duration
}

func (s *silentStore) Read(ctx context.Context, _ platform.Partition, _ int64, _ time.Duration) (platform.Batch, platform.StoreStatus, error) {
	select {
	case <-ctx.Done():
		return platform.Batch{}, platform.StoreUnknown, ctx.Err()
	case <-time.After(s.readTimeout):
		return platform.Batch{}, platform.StoreUnknown, context.DeadlineExceeded
	}
}

// The store was silent for three seconds and answers again. Jobs that other nodes store then would wait
// for the timeout of the read that the owner sent into the outage.
func TestReadSentIntoAnOutageEndsWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hedger := hedge.New()
		hedger.RecordAnswer(time.Now(), false)
		time.Sleep(1500 * time.Millisecond)
		o := &Owner{log: joblog.New(&silentStore{readTimeout: 1900 * time.Millisecond}, hedger, joblog.JobsTopic, 0), deps: Deps{Hedger: hedger}}
		sentAt := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { hedger.RecordAnswer(time.Now(), false) })
		_, status, _ := o.readUnlessLost(t.Context(), 0, sentAt)
		assert.Equal(t, platform.StoreUnknown, status)
		assert.LessOrEqual(t, time.Since(sentAt), 550*time.Millisecond)

		sentAt = time.Now()
		time.AfterFunc(300*time.Millisecond, func() { hedger.RecordAnswer(time.Now(), false) })
		_, _, _ = o.readUnlessLost(t.Context(), 0, sentAt)
		assert.Equal(t, 1900*time.Millisecond, time.Since(sentAt), "answers to other calls show no outage")
	})
}
