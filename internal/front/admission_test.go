package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// fakeAdmission gives the same prospect to all jobs of one workspace.
type fakeAdmission struct {
	workspace string
	prospect  admission.Prospect
	age       time.Duration
}

func (f *fakeAdmission) Prospect(_ context.Context, _ string, key admission.Key) (admission.Prospect, time.Duration, bool) {
	return f.prospect, f.age, key.Workspace == f.workspace
}

// newAdmissionRig returns a rig with weights whose queues have a target of 600 ms and 1.6 times the run time more.
func newAdmissionRig(t *testing.T, p admission.Prospect) (*frontRig, *fakeAdmission) {
	r := newFrontRig(t)
	r.jobs.report = ruledOut()
	for i := range r.config.Queues {
		r.config.Queues[i].Objective, r.config.Queues[i].Stretch = 600*time.Millisecond, 1.6
	}
	r.config.Workspaces = workload.NewWorkspaces()
	for _, name := range []string{"ward", "clinic"} {
		require.NoError(t, r.config.Workspaces.Add(workload.Workspace{Name: name, Weight: 2}, []string{name + "-key"}))
	}
	fake := &fakeAdmission{workspace: "ward", prospect: p}
	r.handler.Admission = fake
	return r, fake
}

func (r *frontRig) submit(path, body, key string) *http.Response {
	req := httptest.NewRequest(http.MethodPost, "http://"+testHost+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, req)
	return w.Result()
}

// Guards against a job that is stored, and may run, though its caller was told that it won't.
func TestHopelessJobsAreRejectedBeforeTheyAreStored(t *testing.T) {
	r, fake := newAdmissionRig(t, admission.Prospect{Wait: 5 * time.Second, Expected: 9 * time.Second})
	res := r.submit(jobPath, testJobBody, "ward-key")
	assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	assert.Equal(t, "8", res.Header.Get("Retry-After"), "9 s less the 1.8 s for which a job of 5 ms may wait, rounded up")
	assert.Empty(t, r.jobs.records)
	assert.Contains(t, r.log.String(), "can't be done in time")
	assert.NotContains(t, r.log.String(), "ward-key")
	fake.age = admission.MaxAge + 1
	assert.Equal(t, http.StatusOK, r.submit(jobPath, testJobBody, "ward-key").StatusCode, "the prospect is old")
}

// Guards against a job that was accepted, or may have been, and whose caller is told that it won't run.
func TestHopelessJobsThatMayHaveBeenAcceptedAreNotRejected(t *testing.T) {
	prospect := admission.Prospect{Wait: 5 * time.Second, Expected: 9 * time.Second}
	for name, c := range map[string]struct {
		weaken func(report *AcceptanceReport)
		stored int
	}{
		"accepted before":                  {func(report *AcceptanceReport) { report.Stands = true }, 0},
		"no answer of the owner":           {func(report *AcceptanceReport) { *report = AcceptanceReport{} }, 1},
		"an owner that may be replaced":    {func(report *AcceptanceReport) { report.Owner.IsCurrent = false }, 1},
		"records that were not read":       {func(report *AcceptanceReport) { report.Owner.ReadSinceAsked = false }, 1},
		"an attempt that is in flight":     {func(report *AcceptanceReport) { report.Owner.HasOpenAttempt = true }, 1},
		"an attempt of this node is open":  {func(report *AcceptanceReport) { report.HasOpenAttempt = true }, 1},
		"an owner since the last attempts": {func(report *AcceptanceReport) { report.Owner.WatchedFor = time.Second }, 1},
	} {
		r, _ := newAdmissionRig(t, prospect)
		c.weaken(&r.jobs.report)
		assert.Equal(t, http.StatusOK, r.submit(jobPath, testJobBody, "ward-key").StatusCode, name)
		assert.Len(t, r.jobs.records, c.stored, name)
	}
}

// Guards against questions that take the time in which the record of a caller with a short timeout is stored.
func TestJobsOfCallersWithShortTimeoutsAreAdmitted(t *testing.T) {
	r, _ := newAdmissionRig(t, admission.Prospect{Wait: 5 * time.Second, Expected: 9 * time.Second})
	for _, c := range []struct {
		timeout time.Duration
		status  int
	}{{700 * time.Millisecond, http.StatusOK}, {3 * time.Second, http.StatusServiceUnavailable}} {
		req := httptest.NewRequest(http.MethodPost, "http://"+testHost+jobPath, strings.NewReader(testJobBody))
		req.Header.Set("Authorization", "Bearer ward-key")
		platform.SetCallerTimeout(req, c.timeout)
		w := httptest.NewRecorder()
		r.handler.ServeHTTP(w, req)
		assert.Equal(t, c.status, w.Code, "%s", c.timeout)
	}
}

// Jobs that may wait, and those of others, are stored whatever the prospects of a workspace.
func TestOtherJobsAreAdmittedBesideHopelessOnes(t *testing.T) {
	r, _ := newAdmissionRig(t, admission.Prospect{Wait: 5 * time.Second, MinWork: 1})
	for name, job := range map[string]struct{ path, body, key string }{
		"another workspace": {jobPath, strings.Replace(testJobBody, `"estimated_ms":5`, `"estimated_ms":1500`, 1), "clinic-key"},
		"public queue":      {"/open/00000000000000aa", testJobBody, "ward-key"},
		"small":             {jobPath, testJobBody, "ward-key"},
		"long":              {jobPath, strings.Replace(testJobBody, `"estimated_ms":5`, `"estimated_ms":2000`, 1), "ward-key"},
		"long-running":      {jobPath, strings.Replace(testJobBody, `"estimated_ms":5`, `"estimated_ms":900,"cpu":9000,"long_running":true`, 1), "ward-key"},
	} {
		assert.Equal(t, http.StatusOK, r.submit(job.path, job.body, job.key).StatusCode, name)
	}
	r.config.Workspaces = nil
	assert.Equal(t, http.StatusOK, r.submit(jobPath, testJobBody, "").StatusCode, "a deployment without workspaces")
	r.handler.Admission = nil
	assert.Equal(t, http.StatusOK, r.submit(jobPath, testJobBody, "").StatusCode)
}

// With random prospects and jobs, each job is either answered with success and stored, or rejected and not.
func TestWhatIsRejectedIsNeverStored(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 2))
	rejected := 0
	for i := range 300 {
		r, fake := newAdmissionRig(t, admission.Prospect{
			Wait:     time.Duration(rng.Int64N(int64(12 * time.Second))),
			Expected: time.Duration(rng.Int64N(int64(40 * time.Second))),
			MinWork:  rng.Float64() * 3,
		})
		fake.age = time.Duration(rng.Int64N(int64(2 * admission.MaxAge)))
		id := fmt.Sprintf("%016x", i)
		body := strings.Replace(testJobBody, `"estimated_ms":5`, fmt.Sprintf(`"estimated_ms":%d`, 1+rng.IntN(3000)), 1)
		switch status := r.submit("/quick/"+id, body, "ward-key").StatusCode; status {
		case http.StatusOK:
			require.Len(t, r.jobs.records, 1, "job %s", id)
		case http.StatusServiceUnavailable:
			rejected++
			require.Empty(t, r.jobs.records, "job %s", id)
		default:
			require.Fail(t, "unexpected status", "%d of job %s", status, id)
		}
	}
	assert.Positive(t, rejected)
}
