package front

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/heldqueue"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// storeAway are the outcomes of the attempts of one request while the store is away.
func storeAway() []platform.StoreStatus {
	outcomes := make([]platform.StoreStatus, 20)
	for i := range outcomes {
		outcomes[i] = platform.StoreRefused
	}
	return outcomes
}

// ruledOut is the report of an owner that rules out that a job was accepted.
func ruledOut() AcceptanceReport {
	return AcceptanceReport{Owner: acceptance.OwnerReport{ReadSinceAsked: true, IsCurrent: true, WatchedFor: acceptance.AttemptMemory}}
}

// Guards against a job that was accepted, runs, and is refused when its request arrives again while the
// store is away, and against the same of a cancellation.
func TestAnAcceptedRequestIsNotRefusedWhileTheStoreIsAway(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		synctest.Test(t, func(t *testing.T) {
			r := newFrontRig(t)
			r.jobs.outcomes = storeAway()
			r.jobs.report = AcceptanceReport{Stands: true}
			began := time.Now()
			assert.Equal(t, http.StatusOK, r.send(method, jobPath, "Bearer ward-key").StatusCode, method)
			assert.Zero(t, time.Since(began), "the response needs no store")
		})
	}
}

// Guards against refusals that promise that a job never runs although an earlier attempt may have been
// accepted: the owner is lost, has no authority, lags, or knows of an attempt with an unknown outcome.
func TestAJobThatMayHaveBeenAcceptedIsNotRefused(t *testing.T) {
	for name, weaken := range map[string]func(report *AcceptanceReport){
		"owner lost":                          func(report *AcceptanceReport) { *report = AcceptanceReport{} },
		"owner without authority":             func(report *AcceptanceReport) { report.Owner.IsCurrent = false },
		"record behind the tail":              func(report *AcceptanceReport) { report.Owner.ReadSinceAsked = false },
		"attempt of another node is open":     func(report *AcceptanceReport) { report.Owner.HasOpenAttempt = true },
		"attempt of this node is open":        func(report *AcceptanceReport) { report.HasOpenAttempt = true },
		"takeover after the earlier attempts": func(report *AcceptanceReport) { report.Owner.WatchedFor = time.Second },
	} {
		for _, method := range []string{http.MethodPost, http.MethodDelete} {
			synctest.Test(t, func(t *testing.T) {
				r := newFrontRig(t)
				r.jobs.outcomes = storeAway()
				r.jobs.report = ruledOut()
				weaken(&r.jobs.report)
				res := r.send(method, jobPath, "Bearer ward-key")
				assert.Equal(t, http.StatusGatewayTimeout, res.StatusCode, "%s %s", method, name)
				assert.NotEmpty(t, res.Header.Get("Retry-After"), name)
			})
		}
	}
}

// Guards against callers that are told nothing certain although all that could have accepted the job is
// ruled out.
func TestAJobThatWasNeverAcceptedIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		r.jobs.outcomes = storeAway()
		r.jobs.report = ruledOut()
		res := r.send(http.MethodPost, jobPath, "Bearer ward-key")
		assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		assert.NotEmpty(t, res.Header.Get("Retry-After"))
	})
}

// Guards against refusals after an uncertain answer whose log lines don't tell what has ruled the earlier
// attempt out, and against uncertain answers that don't tell why.
func TestTheLogTellsWhatARefusalIsBasedOn(t *testing.T) {
	for wantLogged, weaken := range map[string]func(report *AcceptanceReport){
		`doubt="" owner_read=true owner_watched_ms=20000`:                            func(*AcceptanceReport) {},
		`doubt=owner_silent owner_read=false owner_watched_ms=0`:                     func(report *AcceptanceReport) { *report = AcceptanceReport{} },
		`doubt=owner_has_not_read owner_read=false owner_watched_ms=20000`:           func(report *AcceptanceReport) { report.Owner.ReadSinceAsked = false },
		`doubt=owner_watches_too_short owner_read=true owner_watched_ms=1000`:        func(report *AcceptanceReport) { report.Owner.WatchedFor = time.Second },
		`doubt=earlier_attempt_open_here owner_read=true owner_watched_ms=20000`:     func(report *AcceptanceReport) { report.HasOpenAttempt = true },
		`doubt=earlier_attempt_open_at_owner owner_read=true owner_watched_ms=20000`: func(report *AcceptanceReport) { report.Owner.HasOpenAttempt = true },
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newFrontRig(t)
			r.jobs.outcomes = storeAway()
			r.jobs.report = ruledOut()
			weaken(&r.jobs.report)
			r.send(http.MethodPost, jobPath, "Bearer ward-key")
			assert.Contains(t, r.log.String(), wantLogged)
		})
	}
}

// Guards against a job that is refused in the moment in which the store answers its owner again.
func TestAJobIsTriedOnceMoreIfItsOwnerReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		r.jobs.outcomes = storeAway()
		assert.Equal(t, http.StatusGatewayTimeout, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
		triesWhileHeld := len(storeAway()) - len(r.jobs.outcomes)
		assert.Greater(t, triesWhileHeld, 1)

		r.jobs.outcomes = storeAway()[:triesWhileHeld]
		r.jobs.report, r.jobs.reportedFrom = ruledOut(), time.Now().Add(heldqueue.MaxHold(defaultCallerTimeout))
		assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
		assert.Len(t, r.jobs.records, 1)
	})
}

// Guards against an answer that comes after its caller has left because the owner is asked twice: the
// record is refused when the caller's time is over, and the owner answers late.
func TestTheOwnerIsAskedOnceWhenTheTimeIsOver(t *testing.T) {
	for _, timeout := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			r := newFrontRig(t)
			r.jobs.outcomes, r.jobs.outcomesTake = storeAway(), timeout-responseMargin
			r.jobs.report, r.jobs.reportTakes = ruledOut(), evidenceTimeout
			req := r.newRequest(http.MethodPost, jobPath, "Bearer ward-key")
			platform.SetCallerTimeout(req, timeout)
			began := time.Now()
			assert.Equal(t, http.StatusServiceUnavailable, r.serve(req).StatusCode)
			assert.Less(t, time.Since(began), timeout)
		})
	}
}

// Guards against first requests that wait for the owner although the store takes them.
func TestAStoredJobDoesNotNeedTheOwner(t *testing.T) {
	r := newFrontRig(t)
	r.handler.Owners = nil
	assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
}

// Guards against a job that was accepted elsewhere and is refused by a node that has just started and has
// no configuration yet.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	for _, c := range []struct {
		configAfter, timeout, want time.Duration
		status                     int
	}{
		{300 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond, http.StatusOK},
		{time.Hour, 3 * time.Second, maxConfigWait, http.StatusServiceUnavailable},
		{time.Hour, time.Second, 500 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newFrontRig(t)
			began := time.Now()
			r.handler.Config = func() *workload.Config {
				if time.Since(began) < c.configAfter {
					return nil
				}
				return r.config
			}
			req := r.newRequest(http.MethodPost, jobPath, "Bearer ward-key")
			platform.SetCallerTimeout(req, c.timeout)
			assert.Equal(t, c.status, r.serve(req).StatusCode)
			assert.InDelta(t, c.want, time.Since(began), float64(configPollInterval))
		})
	}
}

// Guards against callers of a long outage that are told to return at once, whether they are refused or told
// nothing certain.
func TestTheTimeToReturnGrowsWithTheOutage(t *testing.T) {
	for status, report := range map[int]AcceptanceReport{http.StatusGatewayTimeout: {}, http.StatusServiceUnavailable: ruledOut()} {
		synctest.Test(t, func(t *testing.T) {
			r := newFrontRig(t)
			r.jobs.outcomes, r.jobs.report = storeAway(), report
			r.handler.StoreSilence = func() time.Duration { return 12 * time.Second }
			res := r.send(http.MethodPost, jobPath, "Bearer ward-key")
			assert.Equal(t, status, res.StatusCode)
			assert.Equal(t, "4", res.Header.Get("Retry-After"))
		})
	}
}

// Guards against a job that is accepted although the store can't keep it or its progress, and against a refusal
// that gives no reason.
func TestAJobThatTheStoreCannotKeepIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		r.handler.StoreLimits = joblog.Limits{Record: 2000, Call: 100_000}
		var random strings.Builder
		for i := range 600 {
			fmt.Fprintf(&random, "%x", i*i*7919)
		}
		for name, body := range map[string]string{
			"submission": `{"spec":"` + random.String()[:2500] + `","steps":[{"count":1,"cpu":1,"mem_mb":1}]}`,
			"progress":   `{"spec":"p","steps":[{"count":30000,"cpu":1,"mem_mb":1}]}`,
		} {
			req := httptest.NewRequest(http.MethodPost, jobPath, strings.NewReader(body))
			req.Host = testHost
			req.Header.Set("Authorization", "Bearer ward-key")
			recorder := httptest.NewRecorder()
			r.handler.ServeHTTP(recorder, req)
			assert.Equal(t, http.StatusRequestEntityTooLarge, recorder.Code, name)
			assert.Contains(t, recorder.Body.String(), "the store's limit is 2000", name)
		}
		assert.Empty(t, r.jobs.records)
		assert.Equal(t, http.StatusOK, r.send(http.MethodPost, jobPath, "Bearer ward-key").StatusCode)
	})
}
