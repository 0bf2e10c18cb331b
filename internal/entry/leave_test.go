package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// balancerLag is how long the platform's balancer goes on sending requests to
// an entry VM that turned unready; it is below the rig's notice.
const balancerLag = 200 * time.Millisecond

// callerLoad sends POSTs, which no client repeats by itself, one after the other
// on kept connections, as long as the balancer sends them to the entry.
type callerLoad struct {
	wg  sync.WaitGroup
	mu  sync.Mutex
	got []reply
}

func (r *rig) callers(n int, path string, header http.Header) *callerLoad {
	c := &callerLoad{}
	for range n {
		c.wg.Go(func() {
			for !r.removedByBalancer() {
				got := r.send(http.MethodPost, path, header.Clone(), nil)
				c.mu.Lock()
				c.got = append(c.got, got)
				c.mu.Unlock()
			}
		})
	}
	return c
}

func (r *rig) removedByBalancer() bool {
	if len(r.entry.Ready.Reasons()) == 0 {
		return false
	}
	at := r.unready.Load()
	if at == nil {
		now := time.Now()
		r.unready.CompareAndSwap(nil, &now)
		return false
	}
	return time.Since(*at) > balancerLag
}

func (c *callerLoad) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.got)
}

// requireCompleteAnswers checks that every request got its whole answer.
func (c *callerLoad) requireCompleteAnswers(t *testing.T) {
	t.Helper()
	c.wg.Wait()
	for _, got := range c.got {
		require.NoError(t, got.err)
		require.Equal(t, string(outcome.Ran), got.header.Get(outcome.HeaderOutcome), got.body)
	}
}

// SIGTERM under load: the process turns unready, still takes the requests that
// the balancer sends meanwhile, finishes those in flight, long ones included,
// and ends. No caller sees a refused or broken connection.
func TestStopUnderLoadCompletesAllRequests(t *testing.T) {
	r := newRig(t)
	quick := r.callers(8, "/booking/lookup", http.Header{standin.HeaderWorkMS: {"2"}})
	long := r.callers(2, "/booking/audit", http.Header{standin.HeaderWorkMS: {"900"}})
	r.eventually(func() bool { return quick.count() > 50 })
	r.entry.Stop()
	r.eventually(func() bool { return len(r.entry.Ready.Reasons()) > 0 })
	before := quick.count()
	quick.requireCompleteAnswers(t)
	long.requireCompleteAnswers(t)
	assert.Greater(t, quick.count(), before, "the balancer needs time to look elsewhere")
	assert.NotZero(t, long.count())
	<-r.entry.Ended
	assert.NoError(t, r.entry.Err)
}

// A drain takes effect while a request is in flight at the VM and others follow.
// Once the drain is folded the VM gets no new request, the one in flight gets
// its whole answer, and it is counted until then.
func TestDrainedBackendCompletesRunningRequestsAndGetsNoNewOnes(t *testing.T) {
	r := newRig(t)
	busy := func() string {
		for vm, c := range r.Server.Counters(false).Backends.VMs {
			if c.Runs > 0 {
				return vm
			}
		}
		return ""
	}
	held := make(chan reply, 1)
	go func() {
		held <- r.send(http.MethodGet, "/booking/audit", http.Header{standin.HeaderWorkMS: {"700"}}, nil)
	}()
	r.eventually(func() bool { return busy() != "" })
	vm := busy()
	r.propose(record.SubjectVM, vm, record.VMDrain{Reason: record.DrainOperator, Estimate: time.Minute})
	r.eventually(func() bool { return r.entry.Offset() == r.Offset() })
	_, inFlight := r.entry.InFlights()
	assert.Equal(t, 1, inFlight[vm])
	for range 50 {
		got := r.send(http.MethodGet, "/booking/lookup", nil, nil)
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
	got := <-held
	assert.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, 1, r.Server.Counters(false).Backends.VMs[vm].Seen)
	_, inFlight = r.entry.InFlights()
	assert.Zero(t, inFlight[vm])
}

// A burst fills every slot: what does not fit is told "not-run" with Retry-After
// at once instead of being parked, and truly did not run.
func TestExcessRequestsAreShedImmediately(t *testing.T) {
	r := newRig(t)
	const slots, surplus = 3 * 8, 10
	gate := standin.Fault{Kind: standin.BackendFreeze}
	r.injectFault(gate)
	answers := make(chan reply, slots+surplus)
	for range slots + surplus {
		go func() { answers <- r.send(http.MethodPost, "/booking/lookup", nil, nil) }()
	}
	for range surplus {
		got := <-answers
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, string(outcome.NotRun), got.header.Get(outcome.HeaderOutcome))
		assert.NotEmpty(t, got.header.Get("Retry-After"))
	}
	r.Platform.ClearAll()
	for range slots {
		got := <-answers
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
	assert.Equal(t, slots, r.Server.Counters(false).Backends.Runs)
}
