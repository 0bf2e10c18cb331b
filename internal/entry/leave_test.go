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

// balancerLag is how long the platform's balancer keeps sending requests to an entry
// VM that became unready. It is below the rig's notice.
const balancerLag = 200 * time.Millisecond

// callerLoad sends POST requests, which HTTP clients don't retry by themselves, in
// sequence on persistent connections, until the balancer removes the entry.
type callerLoad struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	replies []reply
}

func (r *rig) callers(n int, path string, header http.Header) *callerLoad {
	c := &callerLoad{}
	for range n {
		c.wg.Go(func() {
			for !r.removedByBalancer() {
				got := r.send(http.MethodPost, path, header.Clone(), nil)
				c.mu.Lock()
				c.replies = append(c.replies, got)
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
	at := r.unreadySince.Load()
	if at == nil {
		now := time.Now()
		r.unreadySince.CompareAndSwap(nil, &now)
		return false
	}
	return time.Since(*at) > balancerLag
}

func (c *callerLoad) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.replies)
}

// requireCompleteAnswers checks that every request got its complete answer.
func (c *callerLoad) requireCompleteAnswers(t *testing.T) {
	t.Helper()
	c.wg.Wait()
	for _, got := range c.replies {
		require.NoError(t, got.err)
		require.Equal(t, string(outcome.Ran), got.header.Get(outcome.HeaderOutcome), got.body)
	}
}

// On SIGTERM under load the process becomes unready, still serves the requests that
// the balancer sends meanwhile, completes those in flight, long ones included, and
// ends. No caller may see a refused or broken connection.
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
	assert.Greater(t, quick.count(), before, "expected requests after the process became unready")
	assert.NotZero(t, long.count())
	<-r.entry.Ended
	assert.NoError(t, r.entry.Err)
}

// A VM is drained while a request is in flight at it. Once the drain is folded, the VM
// must get no new request, and the request in flight must be completed and counted
// until then.
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

// A burst uses all slots. The excess requests must get "not-run" with Retry-After at
// once instead of waiting, and must not run.
func TestExcessRequestsAreShedImmediately(t *testing.T) {
	r := newRig(t)
	const slots, excess = 3 * 8, 10
	gate := standin.Fault{Kind: standin.BackendFreeze}
	r.injectFault(gate)
	answers := make(chan reply, slots+excess)
	for range slots + excess {
		go func() { answers <- r.send(http.MethodPost, "/booking/lookup", nil, nil) }()
	}
	for range excess {
		got := <-answers
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Equal(t, string(outcome.NotRun), got.header.Get(outcome.HeaderOutcome))
		assert.NotEmpty(t, got.header.Get("Retry-After"))
	}
	r.Platform.ClearAllFaults()
	for range slots {
		got := <-answers
		assert.Equal(t, http.StatusOK, got.status, got.body)
	}
	assert.Equal(t, slots, r.Server.Counters(false).Backends.Runs)
}
