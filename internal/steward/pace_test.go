package steward_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/steward"
)

// tickOffset keeps a count from starting in the middle of a round: without it,
// duties and the test would wake at the same instant, in any order.
const tickOffset = 50 * time.Millisecond

// countingChecker counts the checks of each address and fails those of one
// address.
type countingChecker struct {
	mu    sync.Mutex
	count map[string]int
	bad   string
}

func (c *countingChecker) Check(_ context.Context, address string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[address]++
	if address == c.bad {
		return errors.New("no answer")
	}
	return nil
}

// reset clears the counts and sets the address that fails from now on.
func (c *countingChecker) reset(bad string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count, c.bad = map[string]int{}, bad
}

func (c *countingChecker) sum() (total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.count {
		total += n
	}
	return total
}

// If each of many VMs were checked every second, the checks alone would cost
// more than the node may spend. 60 VMs are checked in rotation, 10 a second,
// and none is left out. A VM that starts to fail is recorded as down after one
// rotation and two more seconds, not after three rotations.
func TestHealthChecksRotateOverManyVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 60, Zones: []string{"a", "b", "c"}}}})
		checker := &countingChecker{count: map[string]int{}}
		n := startNode(t, fake, "entry-1", func(cfg *steward.Config) { cfg.Health = checker })
		time.Sleep(20*time.Second + tickOffset)
		checker.reset("")
		time.Sleep(6 * time.Second)
		assert.Len(t, checker.count, 60, "every VM must be checked")
		assert.Equal(t, 60, checker.sum())
		list, err := fake.List(t.Context())
		require.NoError(t, err)
		checker.reset(list.VMs[47].Address)
		time.Sleep(9 * time.Second)
		assert.Equal(t, 1, n.count(func(vm *ledger.VM) bool { return vm.Down }))
		checker.reset("")
		time.Sleep(9 * time.Second)
		assert.Zero(t, n.count(func(vm *ledger.VM) bool { return vm.Down }))
	})
}

// countingFleet counts the calls to the platform.
type countingFleet struct {
	platform.Fleet
	mu     sync.Mutex
	lists  int
	drains int
}

func (a *countingFleet) List(ctx context.Context) (platform.VMList, error) {
	a.mu.Lock()
	a.lists++
	a.mu.Unlock()
	return a.Fleet.List(ctx)
}

func (a *countingFleet) Drain(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	a.mu.Lock()
	a.drains++
	a.mu.Unlock()
	return a.Fleet.Drain(ctx, vm, op)
}

// fixedPeers is a fixed set of live peers.
type fixedPeers []string

func (b fixedPeers) Configured() bool { return true }
func (b fixedPeers) Nodes() []string  { return b }
func (b fixedPeers) Healthy(context.Context, []string) (map[string]bool, int) {
	return nil, 0
}

// The list has an entry for every VM. Three stewards that each read it at every
// interval would cost the platform and themselves three times what is needed.
// They take turns, and the steward that reads a new VM first registers it.
func TestStewardsTakeTurnsReadingTheVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 6, Zones: []string{"a"}}}})
		fleet := &countingFleet{Fleet: fake}
		var n *node
		for _, others := range []fixedPeers{{"entry-2", "entry-3"}, {"entry-1", "entry-3"}, {"entry-1", "entry-2"}} {
			name := map[string]string{"entry-2": "entry-1", "entry-1": "entry-2"}[others[0]]
			if others[1] == "entry-2" {
				name = "entry-3"
			}
			n = startNode(t, fake, name, func(cfg *steward.Config) { cfg.Fleet, cfg.Peers = fleet, others })
		}
		time.Sleep(10 * time.Second)
		fleet.lists = 0
		time.Sleep(60 * time.Second)
		assert.InDelta(t, 30, fleet.lists, 2)
		_, err := fake.ActivateFaults(standin.Fault{Kind: standin.VMAdd, Target: "vm"})
		require.NoError(t, err)
		time.Sleep(5 * time.Second) // the lag of the list and one turn
		assert.Equal(t, 7, n.count(func(*ledger.VM) bool { return true }))
	})
}

// A drain waits for long requests, here until its limit since the only entry
// process cannot be queried. Calling the platform five times a second for so
// long would be most of a steward's traffic during a wave.
func TestUnfinishedStepIsRetriedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 12, Zones: []string{"a", "b", "c"}}}})
		fleet := &countingFleet{Fleet: fake}
		n := startNode(t, fake, "entry-1", func(cfg *steward.Config) { cfg.Fleet = fleet })
		time.Sleep(time.Second)
		publish(t, n, "ramcharan", "booking")
		n.propose(t, record.Subject{Kind: record.SubjectMember, Name: "entry-1.x"}, record.MemberJoin{Node: "entry-1", Zone: "a", Address: "10.9.9.9:1"})
		time.Sleep(20 * time.Second)
		var vm string
		n.follower.View(func(s *ledger.State) {
			for id := range s.PoolVMs("booking") {
				vm = id
			}
		})
		n.propose(t, record.Subject{Kind: record.SubjectVM, Name: vm}, record.VMDrain{Reason: record.DrainOperator, Estimate: time.Minute})
		time.Sleep(30 * time.Second)
		assert.Equal(t, 1, n.count(func(vm *ledger.VM) bool { return vm.Phase == record.PhaseDraining }))
		assert.InDelta(t, 33, fleet.drains, 5, "one call a second after the first ones")
		time.Sleep(3 * time.Minute)
		assert.Zero(t, n.count(func(vm *ledger.VM) bool { return vm.Drain != nil }))
	})
}

// changingPeers is a set of live peers that changes.
type changingPeers struct {
	fixedPeers
	mu    sync.Mutex
	nodes []string
}

func (o *changingPeers) set(nodes ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nodes = nodes
}

func (o *changingPeers) Nodes() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nodes
}

// A steward caches which VMs are in its share. When other stewards join it must
// leave their shares to them, and when they are lost it must take the shares
// back: otherwise the VMs of a lost steward are never found down.
func TestHealthCheckShareFollowsLiveStewards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 30, Zones: []string{"a", "b", "c"}}}})
		checker, peers := &countingChecker{count: map[string]int{}}, &changingPeers{}
		startNode(t, fake, "entry-1", func(cfg *steward.Config) { cfg.Health, cfg.Peers = checker, peers })
		time.Sleep(20*time.Second + tickOffset)
		for _, step := range []struct {
			there []string
			least int
			most  int
		}{{nil, 30, 30}, {[]string{"entry-2", "entry-3"}, 4, 18}, {nil, 30, 30}} {
			peers.set(step.there...)
			time.Sleep(10 * time.Second) // until a duty reads the peers
			checker.reset("")
			time.Sleep(10 * time.Second)
			assert.GreaterOrEqual(t, len(checker.count), step.least)
			assert.LessOrEqual(t, len(checker.count), step.most)
		}
	})
}

// A planning round over thousands of VMs costs the same whether or not there is
// anything to do. While nothing changes, rounds run five times less often. A
// document that is published meanwhile must not wait for the next of them.
func TestPlanningSlowsDownWhileNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 12, Zones: []string{"a", "b", "c"}}}})
		registry := prometheus.NewRegistry()
		n := startNode(t, fake, "entry-1", func(cfg *steward.Config) { cfg.Metrics = registry })
		rounds := func() (count uint64) {
			families, err := registry.Gather()
			require.NoError(t, err)
			for _, f := range families {
				if f.GetName() == "yuccadrift_steward_planning_round_seconds" {
					count = f.GetMetric()[0].GetHistogram().GetSampleCount()
				}
			}
			return count
		}
		time.Sleep(20 * time.Second)
		before := rounds()
		time.Sleep(time.Minute)
		assert.InDelta(t, 12, rounds()-before, 2)
		publish(t, n, "ramcharan", "booking")
		time.Sleep(time.Second)
		assert.Equal(t, 12, n.count(func(vm *ledger.VM) bool { return vm.Pool == "booking" }))
	})
}
