package steward_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/steward"
)

// prefixChecker is a Checker that fails for the VMs whose address has a prefix.
type prefixChecker struct{ prefix atomic.Value }

func (f *prefixChecker) Check(_ context.Context, address string) error {
	if p, _ := f.prefix.Load().(string); p != "" && strings.HasPrefix(address, p) {
		return errors.New("no answer")
	}
	return nil
}

// fakePeer is a peer that reaches all VMs or none, or that does not reply.
type fakePeer struct {
	reaches     bool
	unreachable bool
}

func (o fakePeer) Configured() bool { return true }
func (o fakePeer) Nodes() []string  { return nil }
func (o fakePeer) Healthy(_ context.Context, addresses []string) (map[string]bool, int) {
	healthy := map[string]bool{}
	for _, a := range addresses {
		healthy[a] = o.reaches
	}
	if o.unreachable {
		return nil, 0
	}
	return healthy, 1
}

// A steward's network to the backend servers is cut while it still reaches the
// log: every VM fails its health checks at that steward only. If the VMs were
// recorded as down, all pools would lose their budgets and serving VMs would be
// replaced. Only failures that a peer confirms count, or failures within one
// rack if no peer replies.
func TestFailuresSeenByOneStewardOnly(t *testing.T) {
	cases := map[string]struct {
		peer   fakePeer
		prefix string
		down   int
	}{
		"a peer reaches the VMs":         {fakePeer{reaches: true}, "10.", 0},
		"the peer's checks fail too":     {fakePeer{}, "10.", 12},
		"no peer, several racks":         {fakePeer{unreachable: true}, "10.", 0},
		"no peer, one VM":                {fakePeer{unreachable: true}, "10.0.0.3:", 1},
		"one VM that a peer reaches":     {fakePeer{reaches: true}, "10.0.0.3:", 0},
		"one VM that no steward reaches": {fakePeer{}, "10.0.0.3:", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 12, Zones: []string{"a", "b", "c"}}}})
				checker := &prefixChecker{}
				n := startNode(t, fake, "entry-1", func(cfg *steward.Config) { cfg.Health, cfg.Peers = checker, c.peer })
				time.Sleep(time.Second)
				publish(t, n, "ramcharan", "booking")
				time.Sleep(20 * time.Second)
				checker.prefix.Store(c.prefix)
				time.Sleep(20 * time.Second)
				assert.Equal(t, c.down, n.count(func(vm *ledger.VM) bool { return vm.Down }))
				checker.prefix.Store("")
				time.Sleep(20 * time.Second)
				assert.Zero(t, n.count(func(vm *ledger.VM) bool { return vm.Down || vm.Phase != record.PhaseServing }))
			})
		})
	}
}
