package front

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// awayStore implements JobStore: it refuses records until it returns, and stores each in 10 ms then.
type awayStore struct {
	returnsAt time.Time

	mu     sync.Mutex
	order  []workload.JobID
	tries  int
	active int
	most   int
}

func (s *awayStore) Accept(_ context.Context, _ string, r workload.Record) (platform.StoreStatus, error) {
	s.mu.Lock()
	s.tries++
	if time.Now().Before(s.returnsAt) {
		s.mu.Unlock()
		return platform.StoreRefused, errors.New("no answer")
	}
	s.active++
	s.most = max(s.most, s.active)
	s.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.order = append(s.order, r.Job)
	return platform.StoreOK, nil
}

// submitTimed hands a job in and returns the response and how long it took.
func (r *frontRig) submitTimed(job int, timeout time.Duration) (*http.Response, time.Duration) {
	began := time.Now()
	req := httptest.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/open/%016x", testHost, job), strings.NewReader(testJobBody))
	platform.SetCallerTimeout(req, timeout)
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, req)
	return w.Result(), time.Since(began)
}

// Guards against callers that come shortly before the store's return and are sent away, and against their
// requests being sent to the store all at once then.
func TestRequestsAreHeldUntilTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		store := &awayStore{returnsAt: time.Now().Add(450 * time.Millisecond)}
		r.handler.Jobs = store
		time.AfterFunc(450*time.Millisecond, r.handler.Holder.StoreAnswers)
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				res, took := r.submitTimed(i, 3*time.Second)
				assert.Equal(t, http.StatusOK, res.StatusCode)
				assert.LessOrEqual(t, took, 700*time.Millisecond)
			})
		}
		all.Wait()
		assert.Len(t, store.order, 200)
		assert.Equal(t, "0000000000000000", string(store.order[0]), "the oldest first")
		assert.LessOrEqual(t, store.most, 32)
		assert.Zero(t, r.handler.Holder.count())
	})
}

// Guards against requests that are held until their callers give up, or until a stopping node ends.
func TestRequestsAreRefusedWhileTheirCallersHaveTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		store := &awayStore{returnsAt: time.Now().Add(time.Hour)}
		r.handler.Jobs = store
		r.jobs.report = ruledOut()
		res, took := r.submitTimed(1, 3*time.Second)
		assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		assert.Equal(t, "1", res.Header.Get("Retry-After"))
		assert.Equal(t, 700*time.Millisecond, took)
		assert.LessOrEqual(t, store.tries, 6)

		r.handler.IsStopping = func() bool { return true }
		res, took = r.submitTimed(2, 3*time.Second)
		assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
		assert.Equal(t, maxHoldWhileStopping, took)
		time.Sleep(time.Minute)
		assert.Empty(t, store.order, "what was refused is never stored")
	})
}

// Guards against held requests that wait for one whose time is over and whose owner is being asked.
func TestARequestWhoseTimeIsOverHoldsUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		req := &request{startedAt: time.Now(), http: httptest.NewRequest(http.MethodPost, "/", nil), timeout: 3 * time.Second}
		first, second := r.handler.newHeldRequest(req, "01"), r.handler.newHeldRequest(req, "02")
		second.request.FirstAttemptAt = req.startedAt.Add(time.Millisecond)
		first.until = req.startedAt.Add(100 * time.Millisecond)
		go func() {
			assert.True(t, first.awaitTurn(t.Context()))
			assert.False(t, first.awaitTurn(t.Context()))
			time.Sleep(time.Second)
			first.leave()
		}()
		synctest.Wait()
		assert.True(t, second.awaitTurn(t.Context()))
		assert.Less(t, time.Since(req.startedAt), 300*time.Millisecond)
		second.leave()
		time.Sleep(2 * time.Second)
		assert.Zero(t, r.handler.Holder.count())
	})
}
