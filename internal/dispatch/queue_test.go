package dispatch

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

const runTime = 50 * time.Millisecond

// newTwoSlotDispatcher returns a dispatcher with one backend server that has two
// slots and takes runTime for each request.
func newTwoSlotDispatcher() (*Dispatcher, *fakeBackends) {
	f := &fakeBackends{answer: func(int, *backend.Request) backend.Answer {
		time.Sleep(runTime)
		return backend.Answer{Outcome: outcome.Ran, Status: http.StatusOK}
	}}
	d := newDispatcher(f, &grantingClaims{})
	t := table(1, "vm")
	t.Services["s"].Limits.Slots = 2
	d.Update(t, time.Now())
	return d, f
}

// timedResult is a Result and the time that the caller waited for it.
type timedResult struct {
	Result
	took time.Duration
}

func (d *Dispatcher) doTimed(t *testing.T, class document.Class) <-chan timedResult {
	out := make(chan timedResult, 1)
	call := newCall(true)
	call.Route.Class = class
	began := time.Now()
	go func() {
		res := d.Do(t.Context(), call)
		res.Close(true)
		out <- timedResult{res, time.Since(began)}
	}()
	synctest.Wait()
	return out
}

// With all slots in use, a quick request waits for the next slot. A further one
// finds the queue full, and a long request is never queued. Both must get
// "not-run" at once, so that their callers can try another entry VM.
func TestQuickRequestWaitsForSlotOthersAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, f := newTwoSlotDispatcher()
		first, second := d.doTimed(t, document.ClassQuick), d.doTimed(t, document.ClassQuick)
		waiting := d.doTimed(t, document.ClassQuick)
		excess, long := <-d.doTimed(t, document.ClassQuick), <-d.doTimed(t, document.ClassLong)
		for _, shed := range []timedResult{excess, long} {
			assert.Equal(t, outcome.NotRun, shed.Outcome)
			assert.Equal(t, outcome.Reason(routing.Busy), shed.Reason)
			assert.GreaterOrEqual(t, shed.RetryAfter, shedRetryAfter)
			assert.Zero(t, shed.took)
		}
		assert.Equal(t, outcome.Ran, (<-first).Outcome)
		assert.Equal(t, outcome.Ran, (<-second).Outcome)
		got := <-waiting
		assert.Equal(t, outcome.Ran, got.Outcome)
		assert.Equal(t, 2*runTime, got.took)
		assert.Len(t, f.triedAddresses(), 3)
	})
}

// While the load exceeds the slots, a long wait would delay all answers without
// more throughput. The wait limit must be short until the load falls.
func TestWaitLimitIsShortUnderOverload(t *testing.T) {
	q := &queue{}
	assert.Equal(t, maxWait, q.waitLimit(time.Minute))
	assert.Equal(t, 10*time.Millisecond, q.waitLimit(40*time.Millisecond), "expected a quarter of the time left")
	for range 20 {
		q.recordResult(true)
	}
	assert.Equal(t, maxWaitOverloaded, q.waitLimit(time.Minute))
	for range 40 {
		q.recordResult(false)
	}
	assert.Equal(t, maxWait, q.waitLimit(time.Minute))
}
