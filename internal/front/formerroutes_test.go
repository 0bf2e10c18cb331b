package front

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// twoServices are the owners of two services: current, to which the path leads, and former.
type twoServices struct {
	*fakeJobs
	former   fakeJobs
	isRecent bool
	storedAt []string // services, by record
}

func (s *twoServices) Former(*workload.Config, *workload.Queue) ([]string, bool) {
	return []string{"former"}, s.isRecent
}

func (s *twoServices) of(service string) *fakeJobs {
	if service == "former" {
		return &s.former
	}
	return s.fakeJobs
}

func (s *twoServices) Accept(ctx context.Context, service string, r workload.Record) (platform.StoreStatus, error) {
	s.storedAt = append(s.storedAt, service)
	return s.of(service).Accept(ctx, service, r)
}

func (s *twoServices) Status(ctx context.Context, service string, id workload.JobID) (JobStatus, bool) {
	return s.of(service).Status(ctx, service, id)
}

func (s *twoServices) Acceptance(ctx context.Context, service string, r acceptance.Request, by workload.Requester) AcceptanceReport {
	return s.of(service).Acceptance(ctx, service, r, by)
}

func newReroutedRig(t *testing.T) (*frontRig, *twoServices) {
	r := newFrontRig(t)
	s := &twoServices{fakeJobs: r.jobs, former: fakeJobs{ownerAnswers: true, report: ruledOut()}}
	r.handler.Jobs, r.handler.Owners, r.handler.Routes = s, s, s
	return r, s
}

var runningInWard = JobStatus{Known: true, State: workload.Running, Workspace: "ward", Queue: "quick"}

// Guards against a second run of a job that was submitted before its path led to another service, and against a
// caller that is told that its running job doesn't exist.
func TestRequestsFindJobsOfFormerServices(t *testing.T) {
	for method, storedAt := range map[string][]string{http.MethodPost: nil, http.MethodGet: nil, http.MethodDelete: {"former"}} {
		synctest.Test(t, func(t *testing.T) {
			r, s := newReroutedRig(t)
			s.former.status = runningInWard
			assert.Equal(t, http.StatusOK, r.send(method, jobPath, "Bearer ward-key").StatusCode, method)
			assert.Equal(t, storedAt, s.storedAt, method)
		})
	}
}

// Guards against new jobs that are lost or stored with a former service, and against repeated requests for a job
// of the current service that ask for evidence of the former one.
func TestNewJobsGoToTheCurrentService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := newReroutedRig(t)
		assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
		assert.Equal(t, http.StatusGone, r.send(http.MethodGet, jobPath, "Bearer ward-key").StatusCode)
		s.fakeJobs.status, s.former.ownerAnswers = runningInWard, false
		assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
		assert.Equal(t, []string{"booking", "booking"}, s.storedAt)
	})
}

// Guards against a job that is stored with both services: the former one may have it, or may still get it.
func TestNoJobIsStoredWhileAFormerServiceMayHaveIt(t *testing.T) {
	for name, weaken := range map[string]func(s *twoServices){
		"owner is silent":      func(s *twoServices) { s.former.ownerAnswers = false },
		"owner is replaced":    func(s *twoServices) { s.former.report.Owner.IsCurrent = false },
		"owner has not read":   func(s *twoServices) { s.former.report.Owner.ReadSinceAsked = false },
		"attempt is open":      func(s *twoServices) { s.former.report.Owner.HasOpenAttempt = true },
		"attempt here is open": func(s *twoServices) { s.former.report.HasOpenAttempt = true },
		"owner is new and the route too": func(s *twoServices) {
			s.isRecent, s.former.report.Owner.WatchedFor = true, time.Second
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			r, s := newReroutedRig(t)
			weaken(s)
			res := r.send(http.MethodPost, jobPath, "Bearer ward-key")
			assert.Equal(t, http.StatusGatewayTimeout, res.StatusCode, name)
			assert.NotEmpty(t, res.Header.Get("Retry-After"), name)
			assert.Empty(t, s.storedAt, name)
		})
	}
}

// Guards against an answer that a job doesn't exist, and against a cancellation that is stored where the job isn't,
// while the owner that may have the job doesn't answer.
func TestASilentFormerOwnerIsNoProofThatAJobDoesNotExist(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		synctest.Test(t, func(t *testing.T) {
			r, s := newReroutedRig(t)
			s.former.ownerAnswers = false
			assert.Equal(t, http.StatusServiceUnavailable, r.send(method, jobPath, "Bearer ward-key").StatusCode, method)
			assert.Empty(t, s.storedAt, method)
		})
	}
}

// Guards against a job that runs twice because a node that uses an earlier configuration stores a repeated submission
// with the service that the path led to before.
func TestASubmissionUnderAnOutdatedConfigurationIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		newer := testConfig(t, map[string]string{"ward": "ward-key", "clinic": "clinic-key"})
		newer.Queues[0].Service = "later"
		older := r.config
		asked := 0
		r.handler.Config = func() *workload.Config { // the owner's node rejects the record and sends the newer one
			if asked++; asked > 1 {
				return newer
			}
			return older
		}
		r.jobs.outcomes = []platform.StoreStatus{platform.StoreInvalid}
		res := r.send(http.MethodPost, jobPath, "Bearer ward-key")
		assert.Equal(t, http.StatusGatewayTimeout, res.StatusCode)
		assert.NotEmpty(t, res.Header.Get("Retry-After"))
		assert.Empty(t, r.jobs.records)
	})
}

// Guards against a request that fails because a change of the configuration that doesn't concern it has reached the
// owner's node first.
func TestARecordThatIsRejectedForTheVersionAloneIsStored(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		synctest.Test(t, func(t *testing.T) {
			r := newFrontRig(t)
			newer, older := *r.config, r.config
			newer.Version++
			asked := 0
			r.handler.Config = func() *workload.Config {
				if asked++; asked > 1 {
					return &newer
				}
				return older
			}
			r.jobs.outcomes = []platform.StoreStatus{platform.StoreInvalid}
			assert.Equal(t, http.StatusOK, r.send(method, jobPath, "Bearer ward-key").StatusCode, method)
			assert.Len(t, r.jobs.records, 1, method)
			r.jobs.outcomes = []platform.StoreStatus{platform.StoreInvalid}
			assert.Equal(t, http.StatusInternalServerError, r.send(method, jobPath, "Bearer ward-key").StatusCode, "the version is the newest")
		})
	}
}
