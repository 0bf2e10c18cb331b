package proof

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// countDecisions applies the log and counts the effective records of a kind by VM, of VM advances
// only those to the phase to. void is the number of records about VMs, of any kind, that did not
// take effect: duplicates and conflicting decisions.
func countDecisions(t *testing.T, c *testkit.Cluster, kind record.Kind, to record.VMPhase) (effective map[string]int, void int) {
	effective = map[string]int{}
	state := ledger.New()
	for _, e := range c.Standin.Entries() {
		out := state.ApplyData(uint64(e.Offset), e.Data)
		if out.Subject.Kind != record.SubjectVM {
			continue
		}
		if out.Status != ledger.Effective {
			void++
			continue
		}
		rec, err := record.Decode(e.Data)
		require.NoError(t, err)
		if advance, ok := rec.Body.(record.VMAdvance); out.Kind == kind && (!ok || advance.To == to) {
			effective[out.Subject.Name]++
		}
	}
	return effective, void
}

// During a wave one of three stewards is killed, and another is paused and resumes with stale
// decisions, while the platform's replies are lost after the action took effect. The remaining
// stewards must take over, and each VM must be rebooted once: a decision takes effect only when it is
// applied from the log, where a stale one is void, and the platform carries out an operation ID once.
func TestKilledAndPausedStewardsRebootEachVMOnce(t *testing.T) {
	const vms = 6
	c := testkit.Start(t, testkit.Options{
		Nodes: []string{"a", "b", "c"},
		Fleet: []testkit.Group{{Prefix: "vm", Count: vms, Zones: []string{"a", "b", "c"}, BootSeconds: 0.3}},
	})
	c.Publish(testDocument("booking", vms, 2))
	awaitServing(c, "booking", vms)
	c.Standin.InjectFaults(standin.Fault{Kind: standin.APILoseReply, Count: 6}, standin.Fault{Kind: standin.LogLoseReply, Count: 4})

	c.MustCommand("wave", "start", "--pools", "booking", "--deadline", "1h")
	c.Until("a VM is out of service", func() bool { return c.Standin.State().Unavailability("booking").Serving < vms })
	c.Nodes[0].Steward.Kill()
	c.Nodes[1].Steward.Pause()
	c.Until("another VM is back", func() bool { return countBack(c) >= 2 })
	c.Nodes[1].Steward.Resume()
	c.Until("the wave is done", func() bool { return countBack(c) == vms })

	effective, void := countDecisions(t, c, record.KindVMAdvance, record.PhaseRebooting)
	t.Logf("%d records about VMs were void", void)
	counters := c.Standin.Counters()
	require.Len(t, counters.Reboots, vms)
	for vm, n := range counters.Reboots {
		assert.Equal(t, 1, n, "reboots of %s", vm)
		assert.Equal(t, 1, effective[vm], "effective decisions to reboot %s", vm)
	}
}

// countBack returns the number of VMs that have returned to service after their maintenance.
func countBack(c *testkit.Cluster) int {
	n := 0
	for _, w := range c.Standin.State().Waves {
		for _, progress := range w.VMs {
			if progress == ledger.WaveBack {
				n++
			}
		}
	}
	return n
}

// Three stewards have the same node ID, by an operator's mistake, and don't know of each other. Each
// considers all work its own, so all plan and carry out every step of a wave for the same VMs at the
// same time. Of the conflicting records for a VM exactly one must take effect, and the platform must
// reboot the VM once: a record whose base is no longer current is void on every node.
func TestStewardsThatRaceOverTheSameVMs(t *testing.T) {
	const vms = 4
	c := testkit.Start(t, testkit.Options{
		Nodes:   []string{"a", "b", "c"},
		Fleet:   []testkit.Group{{Prefix: "vm", Count: vms, Zones: []string{"a", "b"}, BootSeconds: 0.3}},
		Steward: testkit.Settings{"peers.seeds": "[]", "node.id": `"entry-1"`},
	})
	c.Publish(testDocument("booking", vms, 1))
	awaitServing(c, "booking", vms)
	c.MustCommand("wave", "start", "--pools", "booking", "--deadline", "1h")
	c.Until("the wave is done", func() bool { return countBack(c) == vms })

	drains, void := countDecisions(t, c, record.KindVMDrain, "")
	reboots, _ := countDecisions(t, c, record.KindVMAdvance, record.PhaseRebooting)
	assert.Positive(t, void, "some decisions of the stewards must conflict")
	counters := c.Standin.Counters()
	assert.Len(t, drains, vms)
	for vm, n := range drains {
		assert.Equal(t, 1, n, "effective drains of %s", vm)
		assert.Equal(t, 1, reboots[vm], "effective decisions to reboot %s", vm)
		assert.Equal(t, 1, counters.Reboots[vm], "reboots of %s", vm)
	}
}
