package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	testHost    = "jobs.example"
	jobPath     = "/quick/00000000000000aa"
	testJobBody = `{"spec":"p","steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimated_ms":5}]}`
)

// fakeJobs implements JobStore and Owners.
type fakeJobs struct {
	records      []workload.Record
	status       JobStatus
	ownerAnswers bool
	outcomes     []platform.StoreStatus // of the next calls of Accept, StoreOK after them
	outcomesTake time.Duration          // the time of a call of Accept with one of them
	report       AcceptanceReport
	reportTakes  time.Duration
	reportedFrom time.Time // before that the owner doesn't answer
}

func (f *fakeJobs) Accept(_ context.Context, _ string, r workload.Record) (platform.StoreStatus, error) {
	if len(f.outcomes) > 0 {
		outcome := f.outcomes[0]
		f.outcomes = f.outcomes[1:]
		time.Sleep(f.outcomesTake)
		return outcome, errors.New("store: " + outcome.String())
	}
	f.records = append(f.records, r)
	return platform.StoreOK, nil
}

func (f *fakeJobs) Status(ctx context.Context, _ string, _ workload.JobID) (JobStatus, bool) {
	if !f.ownerAnswers {
		<-ctx.Done()
	}
	return f.status, f.ownerAnswers
}

func (f *fakeJobs) Acceptance(context.Context, string, acceptance.Request, workload.Requester) AcceptanceReport {
	time.Sleep(f.reportTakes)
	if time.Now().Before(f.reportedFrom) {
		return AcceptanceReport{}
	}
	return f.report
}

func (f *fakeJobs) WaitingJobs(context.Context, string, string) (int, bool) { return 3, f.ownerAnswers }

// noAttempts implements FirstAttempts and knows none.
type noAttempts struct{}

func (noAttempts) FirstAttemptAt(_ workload.JobID, at time.Time) time.Time { return at }

func testConfig(t *testing.T, keys map[string]string) *workload.Config {
	c := &workload.Config{
		Version: 1,
		Queues: []workload.Queue{
			{Name: "quick", Host: testHost, PathPrefix: "/quick/", Service: "booking"},
			{Name: "open", Host: testHost, PathPrefix: "/open/", Service: "booking", Public: true},
		},
		Workspaces: workload.NewWorkspaces(),
	}
	for _, name := range []string{"ward", "clinic"} {
		require.NoError(t, c.Workspaces.Add(workload.Workspace{Name: name}, []string{keys[name]}))
	}
	return c
}

// frontRig sends requests to a Handler.
type frontRig struct {
	t       *testing.T
	jobs    *fakeJobs
	config  *workload.Config
	log     *strings.Builder
	handler *Handler
}

func newFrontRig(t *testing.T) *frontRig {
	r := &frontRig{t: t, jobs: &fakeJobs{ownerAnswers: true}, log: &strings.Builder{}}
	r.config = testConfig(t, map[string]string{"ward": "ward-key", "clinic": "clinic-key"})
	r.handler = &Handler{
		Config:       func() *workload.Config { return r.config },
		Jobs:         r.jobs,
		Owners:       r.jobs,
		Logger:       hclog.New(&hclog.LoggerOptions{Output: r.log, Level: hclog.Debug}),
		Metrics:      NewMetrics(prometheus.NewRegistry()),
		IsStopping:   func() bool { return false },
		Holder:       NewHolder(noAttempts{}, prometheus.NewRegistry(), hclog.NewNullLogger()),
		StoreSilence: func() time.Duration { return 0 },
		StartedAt:    time.Now(),
		Random:       func() float64 { return 0 },
	}
	return r
}

func (r *frontRig) send(method, path, authorization string) *http.Response {
	return r.serve(r.newRequest(method, path, authorization))
}

func (r *frontRig) newRequest(method, path, authorization string) *http.Request {
	body := ""
	if method == http.MethodPost {
		body = testJobBody
	}
	req := httptest.NewRequest(method, "http://"+testHost+path, strings.NewReader(body))
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	return req
}

func (r *frontRig) serve(req *http.Request) *http.Response {
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, req)
	return w.Result()
}

// Guards against requests that are answered although no workspace has their key.
func TestRequestsWithoutAKnownKeyAreRefused(t *testing.T) {
	for name, authorization := range map[string]string{
		"no key":        "",
		"unknown key":   "Bearer no-key",
		"empty key":     "Bearer ",
		"other scheme":  "Basic ward-key",
		"a key's start": "Bearer ward-ke",
	} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			r := newFrontRig(t)
			res := r.send(method, jobPath, authorization)
			assert.Equal(t, http.StatusUnauthorized, res.StatusCode, "%s %s", method, name)
			assert.Equal(t, "Bearer", res.Header.Get("WWW-Authenticate"), name)
			assert.Empty(t, r.jobs.records, name)
			assert.Equal(t, http.StatusUnauthorized, r.send(http.MethodGet, "/quick/", authorization).StatusCode, name)
		}
	}
}

func TestJobsAreStoredWithTheirWorkspace(t *testing.T) {
	r := newFrontRig(t)
	assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
	assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "bearer  clinic-key ").StatusCode)
	assert.Equal(t, http.StatusOK, r.send(http.MethodPost, "/open/00000000000000aa", "").StatusCode)
	require.Len(t, r.jobs.records, 3)
	assert.Equal(t, "ward", r.jobs.records[0].Submission.Workspace)
	assert.Equal(t, "clinic", r.jobs.records[1].Submission.Workspace)
	assert.Empty(t, r.jobs.records[2].Submission.Workspace)
	for _, record := range r.jobs.records {
		_, value, err := record.Encode()
		require.NoError(t, err)
		assert.NotContains(t, string(value), "-key")
	}
	assert.NotContains(t, r.log.String(), "-key", "a key must not be logged")
}

// Guards against a deployment without workspaces that asks its callers for keys.
func TestNoKeyIsNeededWithoutWorkspaces(t *testing.T) {
	r := newFrontRig(t)
	r.config.Workspaces = nil
	r.jobs.status = JobStatus{State: workload.Running, Known: true}
	assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "").StatusCode)
	assert.Equal(t, http.StatusOK, r.send(http.MethodGet, jobPath, "").StatusCode)
	assert.Equal(t, http.StatusOK, r.send(http.MethodDelete, jobPath, "").StatusCode)
	require.Len(t, r.jobs.records, 2)
	assert.Nil(t, r.jobs.records[1].CancelledBy)
}

// Guards against workspaces that see or cancel each other's jobs, and against a workspace that loses
// its jobs with a key.
func TestAnotherWorkspaceDoesNotReachAJob(t *testing.T) {
	r := newFrontRig(t)
	r.jobs.status = JobStatus{State: workload.Running, Known: true, Workspace: "ward", Queue: "quick"}
	assert.Equal(t, http.StatusGone, r.send(http.MethodGet, jobPath, "Bearer clinic-key").StatusCode)
	assert.Equal(t, http.StatusGone, r.send(http.MethodDelete, jobPath, "Bearer clinic-key").StatusCode)
	assert.Equal(t, http.StatusGone, r.send(http.MethodGet, "/open/00000000000000aa", "").StatusCode)
	assert.Empty(t, r.jobs.records)

	r.config = testConfig(t, map[string]string{"ward": "ward-key-2", "clinic": "clinic-key"})
	assert.Equal(t, http.StatusUnauthorized, r.send(http.MethodGet, jobPath, "Bearer ward-key").StatusCode)
	assert.Equal(t, http.StatusOK, r.send(http.MethodGet, jobPath, "Bearer ward-key-2").StatusCode)
	assert.Equal(t, http.StatusOK, r.send(http.MethodDelete, jobPath, "Bearer ward-key-2").StatusCode)
	require.Len(t, r.jobs.records, 1)
	assert.Equal(t, &workload.Requester{Workspace: "ward", Queue: "quick"}, r.jobs.records[0].CancelledBy)
}

// Guards against cancellations that are refused, or late, because the job's owner doesn't answer.
func TestCancellationDoesNotNeedTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		r.jobs.ownerAnswers = false
		began := time.Now()
		assert.Equal(t, http.StatusOK, r.send(http.MethodDelete, jobPath, "Bearer ward-key").StatusCode)
		assert.Equal(t, accessCheckTimeout, time.Since(began))
		assert.Len(t, r.jobs.records, 1)
	})
}
