package steward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// listedChecker is a Checker that reaches the VMs in the platform's list.
type listedChecker struct{ fake *standin.Platform }

func (l listedChecker) Check(ctx context.Context, address string) error {
	list, err := l.fake.List(ctx)
	for _, vm := range list.VMs {
		if err == nil && vm.Address == address {
			return nil
		}
	}
	return errors.New("no answer")
}

// Three stewards run a wave while the platform loses replies, is slow, is
// unavailable for a quarter of an hour and loses a rack. The wave must end, the
// budget must hold, and each reboot decision must cause one reboot: actions
// follow decisions that were read back, and each repeat carries the same
// operation ID. The order and times of the faults depend on the seed.
func TestWaveUnderPlatformFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkWaveUnderFaults(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

func checkWaveUnderFaults(t *testing.T, r *rand.Rand) {
	fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 14, Zones: []string{"a", "b", "c"}}}})
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, startNode(t, fake, fmt.Sprintf("entry-%d", i+1), func(cfg *steward.Config) { cfg.Health = listedChecker{fake} }))
	}
	time.Sleep(time.Second)
	publish(t, nodes[0], "ramcharan", "booking")
	time.Sleep(time.Minute)
	nodes[0].propose(t, record.Subject{Kind: record.SubjectWave, Name: "w1"}, record.WaveStart{Pools: []string{"booking"}, Deadline: time.Now().Add(12 * time.Hour)})
	injectFaults := func(faults ...standin.Fault) {
		_, err := fake.ActivateFaults(faults...)
		assert.NoError(t, err)
	}
	for range 6 {
		time.Sleep(time.Duration(r.IntN(60)) * time.Second)
		injectFaults(
			standin.Fault{Kind: standin.APILoseReply, Count: 1 + r.IntN(5)},
			standin.Fault{Kind: standin.LogLoseReply, Count: 1 + r.IntN(5)},
			standin.Fault{Kind: standin.LogLate, Count: 1 + r.IntN(3), DelayMS: int64(r.IntN(60_000))},
			standin.Fault{Kind: standin.ListLag, ForMS: 120_000, DelayMS: int64(r.IntN(60_000))},
		)
	}
	injectFaults(standin.Fault{Kind: standin.LogRefuse, ForMS: 15 * 60_000}, standin.Fault{Kind: standin.APIRefuse, ForMS: 15 * 60_000})
	time.Sleep(20 * time.Minute)
	injectFaults(standin.Fault{Kind: standin.VMCrash, Target: "rack/a-r01"})
	time.Sleep(12 * time.Minute)
	fake.ClearAllFaults()
	injectFaults(standin.Fault{Kind: standin.VMRecover, Target: "rack/a-r01"})
	time.Sleep(30 * time.Minute)

	reboots := fake.Counters().Reboots
	nodes[2].follower.View(func(s *ledger.State) {
		assert.Equal(t, ledger.WaveDone, s.Waves["w1"].Status)
		assert.GreaterOrEqual(t, s.Unavailability("booking").Serving, 12)
		for id, vm := range s.VMs {
			assert.LessOrEqual(t, reboots[id], 1, id)
			if vm.Rack != "a-r01" { // VMs of the lost rack may have been registered again
				assert.Equal(t, vm.Reboots, reboots[id], id)
			}
			assert.Nil(t, vm.Drain, "%s is %s", id, vm.Phase)
		}
	})
}
