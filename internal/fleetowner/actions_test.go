package fleetowner

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// slowStore accepts writes after a latency.
type slowStore struct{ latency time.Duration }

func (s *slowStore) AppendSpan(context.Context, platform.Partition, *platform.Producer, ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	time.Sleep(s.latency)
	return platform.Span{}, platform.StoreOK, nil
}

func (s *slowStore) Read(context.Context, platform.Partition, int64, time.Duration) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreOK, nil
}

func (s *slowStore) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreOK, nil
}

func (s *slowStore) WriteWaveState(context.Context, int64, workload.WaveState) (platform.StoreStatus, error) {
	return platform.StoreOK, nil
}

// moveRecorder records when VMs are moved.
type moveRecorder struct {
	mu      sync.Mutex
	movedAt []time.Time
}

func (m *moveRecorder) List(context.Context) ([]workload.VM, error) { return nil, nil }

func (m *moveRecorder) Move(context.Context, platform.OrderIssuer, string, string) (platform.VMOrderStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.movedAt = append(m.movedAt, time.Now())
	return platform.VMOrderOK, nil
}

func (m *moveRecorder) Maintain(context.Context, platform.OrderIssuer, string, int64) (platform.VMOrderStatus, error) {
	return platform.VMOrderOK, nil
}

// runMove executes the move of a drained VM on a slow store and returns the number of orders sent.
func runMove(t *testing.T, storeLatency time.Duration, validUntil func(now time.Time) time.Time) int {
	machines := &moveRecorder{}
	synctest.Test(t, func(t *testing.T) {
		o := New(Deps{Store: &slowStore{latency: storeLatency}, Hedger: hedge.New(), VMs: machines, Logger: hclog.NewNullLogger()}, 0, 7)
		ctx, cancel := context.WithCancel(t.Context())
		go o.writer.run(ctx)
		o.execute(ctx, []fleet.Action{{Verb: fleet.MoveVM, VM: "vm-1", Pool: "booking", ValidUntil: validUntil(time.Now())}})
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
	})
	return len(machines.movedAt)
}

// Guards against an order that ends tasks because the store was unavailable for seconds while the order was being
// stored. By then the worker accepts tasks again and runs some, which may include a long-running task whose step has
// reached its MaxUnavailable. The order must not be sent.
func TestOrderIsNotSentOnAStaleDrainState(t *testing.T) {
	inASecond := func(now time.Time) time.Time { return now.Add(time.Second) }
	assert.Zero(t, runMove(t, 4*time.Second, inASecond))
	assert.Equal(t, 1, runMove(t, 20*time.Millisecond, inASecond))
}

// A VM of the spare pool is off and can't have been assigned tasks meanwhile.
func TestOrderForASpareVMIsSentHoweverLate(t *testing.T) {
	never := func(time.Time) time.Time { return time.Time{} }
	assert.Equal(t, 1, runMove(t, 4*time.Second, never))
}

// Guards against an order from an owner that has been replaced by then, because its process was suspended or the store
// was unavailable after the order was stored. The next owner would count the VM as back, and order other VMs of its wave
// in addition.
func TestOrderIsNotSentOnceAnotherNodeMayOwnTheFleet(t *testing.T) {
	for latency, ordered := range map[time.Duration]int{4 * time.Second: 0, 20 * time.Millisecond: 1} {
		machines := &moveRecorder{}
		synctest.Test(t, func(t *testing.T) {
			ownedUntil := time.Now().Add(time.Second)
			o := New(Deps{Store: &slowStore{latency: latency}, Hedger: hedge.New(), VMs: machines, OwnedUntil: func() time.Time { return ownedUntil }, Logger: hclog.NewNullLogger()}, 0, 7)
			ctx, cancel := context.WithCancel(t.Context())
			go o.writer.run(ctx)
			o.execute(ctx, []fleet.Action{{Verb: fleet.MoveVM, VM: "vm-1", Pool: "booking"}})
			time.Sleep(10 * time.Second)
			cancel()
			synctest.Wait()
		})
		assert.Len(t, machines.movedAt, ordered, "the order is stored within %s", latency)
	}
}

// slowService reports a worker as drained after a latency.
type slowService struct{ latency time.Duration }

func (s slowService) RequestDrains(_ context.Context, _ string, workers []string) ([]workload.DrainState, bool) {
	time.Sleep(s.latency)
	return sameState(workload.Drained, len(workers)), true
}

func sameState(state workload.DrainState, n int) []workload.DrainState {
	states := make([]workload.DrainState, n)
	for i := range states {
		states[i] = state
	}
	return states
}

func (slowService) LoadsOf(context.Context, string, []string, workload.Resources) ([]workload.ServiceLoad, bool) {
	return nil, false
}

// Guards against an order that ends tasks because the fleet's owner was suspended between a drain request and its
// answer. By then the worker accepts tasks again and runs some. The age of the answer must count from the request.
func TestDrainStateAgeCountsFromTheRequest(t *testing.T) {
	for latency, ordered := range map[time.Duration]int{1600 * time.Millisecond: 0, 20 * time.Millisecond: 1} {
		synctest.Test(t, func(t *testing.T) {
			o := New(Deps{Services: slowService{latency: latency}, Logger: hclog.NewNullLogger()}, 0, 7)
			core := fleet.New(fleet.Settings{}, time.Now())
			core.SetWaves([]workload.Wave{{Number: 1, VMs: []string{"vm-1"}, Window: 20 * time.Second, MaxConcurrent: 1}}, time.Now())
			core.SetVMs([]workload.VM{{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"}}, time.Now())
			orders := 0
			for _, a := range core.Step(time.Now()) {
				if a.Verb == fleet.DrainWorker {
					o.execute(t.Context(), []fleet.Action{a})
				}
			}
			e := <-o.inbox
			e(core, time.Now())
			for _, a := range core.Step(time.Now()) {
				if a.Verb == fleet.MaintainVM {
					orders++
				}
			}
			assert.Equal(t, ordered, orders, "the answer took %s", latency)
		})
	}
}

// After a suspension only the wall clock has advanced. Times without a monotonic reading simulate this.
func TestTimeHasPassedByEitherClock(t *testing.T) {
	now := time.Now()
	assert.False(t, hasPassed(now.Add(time.Second), now))
	assert.True(t, hasPassed(now, now.Add(time.Millisecond)))
	assert.True(t, hasPassed(now.Round(0), now.Add(time.Millisecond)))
	assert.True(t, hasPassed(now, now.Add(time.Millisecond).Round(0)))
}

// idleService has a worker that answers its owner a while after the first drain request.
type idleService struct {
	slowService
	answersFrom *time.Time
}

func (s idleService) RequestDrains(_ context.Context, _ string, workers []string) ([]workload.DrainState, bool) {
	if s.answersFrom.IsZero() {
		*s.answersFrom = time.Now().Add(10 * time.Millisecond)
	}
	if time.Now().Before(*s.answersFrom) {
		return sameState(workload.DrainedUnconfirmed, len(workers)), true
	}
	return sameState(workload.Drained, len(workers)), true
}

// countingService counts drain requests, and answers each after a latency.
type countingService struct {
	slowService
	calls, workers *int
}

func (s countingService) RequestDrains(ctx context.Context, service string, workers []string) ([]workload.DrainState, bool) {
	*s.calls++
	*s.workers += len(workers)
	return s.slowService.RequestDrains(ctx, service, workers)
}

// Guards against drains that take up all calls of the fleet's owner: 1,000 VMs of two pools that are drained at
// once, by owners that are slow to answer, cost a call a pool.
func TestMoreDrainsThanCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, workers := 0, 0
		o := New(Deps{Services: countingService{slowService{300 * time.Millisecond}, &calls, &workers}, Logger: hclog.NewNullLogger()}, 0, 7)
		var drains []fleet.Action
		for i := range 1000 {
			drains = append(drains, fleet.Action{Verb: fleet.DrainWorker, VM: strconv.Itoa(i), Worker: strconv.Itoa(i), Pool: []string{"booking", "returns"}[i%2]})
		}
		for range 3 { // further steps don't ask an owner again that has not answered
			o.execute(t.Context(), drains)
		}
		for range 2 {
			e := <-o.inbox
			e(fleet.New(fleet.Settings{}, time.Now()), time.Now())
		}
		assert.Equal(t, 2, calls)
		assert.Equal(t, 1000, workers)
	})
}

// Guards against a pool waiting a step longer for each VM with an idle worker, which its owner polls only once the
// worker is being drained.
func TestIdleWorkersVMIsOrderedAtTheNextStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := New(Deps{Services: idleService{answersFrom: &time.Time{}}, Logger: hclog.NewNullLogger()}, 0, 7)
		core := fleet.New(fleet.Settings{}, time.Now())
		core.SetWaves([]workload.Wave{{Number: 1, VMs: []string{"vm-1"}, Window: 20 * time.Second, MaxConcurrent: 1}}, time.Now())
		core.SetVMs([]workload.VM{{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"}}, time.Now())
		began := time.Now()
		for _, a := range core.Step(began) {
			if a.Verb == fleet.DrainWorker {
				o.execute(t.Context(), []fleet.Action{a})
			}
		}
		e := <-o.inbox
		e(core, time.Now())
		require.Less(t, time.Since(began), stepInterval)
		orders := 0
		for _, a := range core.Step(began.Add(stepInterval)) {
			if a.Verb == fleet.MaintainVM {
				orders++
			}
		}
		assert.Equal(t, 1, orders)
	})
}
