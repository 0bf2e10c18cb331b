package steward_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/steward"
)

// tally counts the checks of each address and fails those of one.
type tally struct {
	mu    sync.Mutex
	count map[string]int
	bad   string
}

func (c *tally) Check(_ context.Context, address string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[address]++
	if address == c.bad {
		return errors.New("no answer")
	}
	return nil
}

// restart forgets the counts and names the address that fails from now on.
func (c *tally) restart(bad string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count, c.bad = map[string]int{}, bad
}

func (c *tally) sum() (total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.count {
		total += n
	}
	return total
}

// A steward watches many VMs: were each checked every second, the checks alone
// would cost more than the node may spend. 120 VMs take turns, 20 a second, and
// none is left out; one that begins to fail is down within its turn and two
// more seconds, not after three turns.
func TestHealthChecksOfManyVMsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 120, Zones: []string{"a", "b", "c"}}}})
		check := &tally{count: map[string]int{}}
		n := startNode(t, fake, "entry-1", func(cfg *steward.Config) { cfg.Health = check })
		time.Sleep(20*time.Second + 500*time.Millisecond) // between two rounds
		check.restart("")
		time.Sleep(6 * time.Second)
		assert.Len(t, check.count, 120, "every VM had its turn")
		assert.Equal(t, 120, check.sum())
		list, err := fake.List(t.Context())
		require.NoError(t, err)
		check.restart(list.VMs[77].Address)
		time.Sleep(9 * time.Second)
		assert.Equal(t, 1, n.count(func(vm *ledger.VM) bool { return vm.Down }))
		check.restart("")
		time.Sleep(9 * time.Second)
		assert.Zero(t, n.count(func(vm *ledger.VM) bool { return vm.Down }))
	})
}

// asked counts the calls to the platform.
type asked struct {
	platform.Fleet
	mu     sync.Mutex
	lists  int
	drains int
}

func (a *asked) List(ctx context.Context) (platform.VMList, error) {
	a.mu.Lock()
	a.lists++
	a.mu.Unlock()
	return a.Fleet.List(ctx)
}

func (a *asked) Drain(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	a.mu.Lock()
	a.drains++
	a.mu.Unlock()
	return a.Fleet.Drain(ctx, vm, op)
}

// beside is a steward's view of others that are there.
type beside []string

func (b beside) Configured() bool { return true }
func (b beside) Nodes() []string  { return b }
func (b beside) Healthy(context.Context, []string) (map[string]bool, int) {
	return nil, 0
}

// The list has a line for every VM. Three stewards that each read it at every
// interval would cost the platform and themselves three times what is needed.
// They take turns, and whoever reads a new VM first makes it known.
func TestStewardsReadTheListByTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 6, Zones: []string{"a"}}}})
		fleet := &asked{Fleet: fake}
		var n *node
		for _, others := range []beside{{"entry-2", "entry-3"}, {"entry-1", "entry-3"}, {"entry-1", "entry-2"}} {
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
		_, err := fake.Order(standin.Fault{Kind: standin.VMAdd, Target: "vm"})
		require.NoError(t, err)
		time.Sleep(5 * time.Second) // the list's lag and one turn
		assert.Equal(t, 7, n.count(func(*ledger.VM) bool { return true }))
	})
}

// A drain waits for long requests, here for its whole bound as the one entry
// process cannot be asked. Asking the platform five times a second all the while
// would be most of a steward's traffic during a wave.
func TestStepNotThroughIsTriedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 12, Zones: []string{"a", "b", "c"}}}})
		fleet := &asked{Fleet: fake}
		n := startNode(t, fake, "entry-1", func(cfg *steward.Config) { cfg.Fleet = fleet })
		time.Sleep(time.Second)
		publish(t, n, "ramcharan", "booking")
		n.propose(t, record.Subject{Kind: record.SubjectMember, Name: "entry-1.x"}, record.MemberJoin{Node: "entry-1", Zone: "a", Address: "10.9.9.9:1"})
		time.Sleep(20 * time.Second)
		var vm string
		n.follow.View(func(s *ledger.State) {
			for id := range s.PoolVMs("booking") {
				vm = id
			}
		})
		n.propose(t, record.Subject{Kind: record.SubjectVM, Name: vm}, record.VMDrain{Reason: record.DrainOperator, Estimate: time.Minute})
		time.Sleep(30 * time.Second)
		assert.Equal(t, 1, n.count(func(vm *ledger.VM) bool { return vm.Phase == record.PhaseDraining }))
		assert.InDelta(t, 33, fleet.drains, 5, "once a second after the first")
		time.Sleep(3 * time.Minute)
		assert.Zero(t, n.count(func(vm *ledger.VM) bool { return vm.Drain != nil }))
	})
}
