package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// judged counts jobs by what admission would have said and what became of them. All of them are stored, so
// that it shows.
type judged struct {
	admitted, rejected, rejectedInTime, rejectedOfUse int
	rejectedOf                                        map[string]int // by workspace
}

// limitOf returns the limit of a lookup.
func limitOf(spec *workload.Spec) (path, target, limit time.Duration) {
	path = time.Duration(len(spec.Steps)) * lookupEstimateMS * time.Millisecond
	objective, stretch := testConfig.Queues[0].Objective, testConfig.Queues[0].Stretch
	return path, objective + time.Duration(float64(path)*stretch), admission.LimitOf(path, stretch, objective)
}

// judgeWorkspaces plays a history and judges each job when it is submitted.
func judgeWorkspaces(t *testing.T, seed uint64, workers int, loads []workspaceLoad, disturb func(w *world)) judged {
	result := judged{rejectedOf: map[string]int{}}
	hopeless := map[*fakeJob]bool{}
	w, jobsOf := runWorkspacesFor(t, 25*time.Second, seed, workers, loads, func(w *world) {
		w.onSubmit = func(j *fakeJob) {
			if w.owner == nil || !w.owner.coreStarted {
				return
			}
			path, _, limit := limitOf(&j.submission.Spec)
			w.owner.core.SetIncoming(j.submission.Service, 0, w.now)
			p := w.owner.core.Prospect("quick", j.submission.Workspace, w.now)
			hopeless[j] = admission.Judge(p, 0, admission.Job{Work: float64(coreMilliseconds(j.submission)) / 1e6, Path: path, Limit: limit}).Reject
		}
		if disturb != nil {
			disturb(w)
		}
	})
	assert.NotNil(t, w)
	for name, jobs := range jobsOf {
		for _, j := range jobs {
			if !hopeless[j] {
				result.admitted++
				continue
			}
			result.rejected++
			result.rejectedOf[name]++
			_, target, limit := limitOf(&j.submission.Spec)
			took := j.shownStateChangedAt.Sub(time.UnixMilli(j.submission.AcceptedAtMS))
			if j.shownState == workload.Completed && took <= limit {
				result.rejectedOfUse++
				if took <= target {
					result.rejectedInTime++
				}
			}
		}
	}
	return result
}

// evenLoads are n workspaces that each send some lookups a second.
func evenLoads(n int, perSecond float64) []workspaceLoad {
	loads := make([]workspaceLoad, n)
	for i := range loads {
		loads[i] = workspaceLoad{weight: 4, perSecond: perSecond, size: 1}
	}
	return loads
}

// Guards against callers who are sent away though they could be served. One workspace sends sixty times its
// usual beside 19 quiet ones: only its jobs are rejected, and those would have been of no use.
func TestOnlyHopelessJobsAreRejected(t *testing.T) {
	rejected := 0
	for seed := range uint64(3) {
		loads := evenLoads(20, 2)
		loads[0].perSecond *= 60
		r := judgeWorkspaces(t, seed, 40, loads, nil)
		t.Logf("seed %d: %d admitted, %d rejected, of them %d of use, %d in time; by workspace %v", seed, r.admitted, r.rejected, r.rejectedOfUse, r.rejectedInTime, r.rejectedOf)
		rejected += r.rejected
		assert.LessOrEqual(t, r.rejectedOfUse, r.rejected/20, "seed %d", seed)
		assert.Equal(t, r.rejected, r.rejectedOf["0"], "seed %d: jobs of quiet workspaces", seed)
	}
	assert.Positive(t, rejected)
}

// Guards against rejections at the beginning of a peak, for which VMs come within three seconds, and in the
// first seconds of a successor, which knows nothing yet.
func TestNothingIsRejectedWhileRoomIsOnItsWay(t *testing.T) {
	for seed := range uint64(2) {
		loads := evenLoads(20, 4)
		r := judgeWorkspaces(t, seed, 10, loads, func(w *world) {
			w.after(4500*time.Millisecond, func() {
				for i := range 90 {
					w.addWorker("more-"+strconv.Itoa(1000+i), workload.Resources{CPU: 32000, MemoryMB: 64000})
				}
			})
		})
		t.Logf("seed %d: %d admitted, %d rejected", seed, r.admitted, r.rejected)
		assert.Zero(t, r.rejected, "seed %d", seed)
	}
}

// All ask for three times what the service has. What is rejected would have been of no use, with an owner
// that is lost in the middle, too.
func TestRejectionsWhileTheOwnerIsLost(t *testing.T) {
	for seed := range uint64(2) {
		r := judgeWorkspaces(t, seed, 12, evenLoads(8, 6), func(w *world) {
			w.after(7*time.Second, func() { w.killOwner(300 * time.Millisecond) })
		})
		t.Logf("seed %d: %d admitted, %d rejected, of them %d of use, %d in time", seed, r.admitted, r.rejected, r.rejectedOfUse, r.rejectedInTime)
		assert.LessOrEqual(t, r.rejectedOfUse, r.rejected/20, "seed %d", seed)
	}
}
