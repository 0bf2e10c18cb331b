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

// countDecisions counts the effective records of a kind by VM, as the log's fold has
// it; a VM's advances only to the phase to. void counts the records of any kind
// about VMs that did not take effect: copies and rivals.
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

// One of three stewards is killed in mid-wave and another is paused and wakes up
// with its old view, while replies of the platform are lost after the action
// took effect. Callers notice nothing of it and each VM is rebooted once.
// Order: the wave begins; a steward dies with its share of the work undone; the
// others take that over after a while; the paused one wakes up and goes on from
// what it had decided, which is void by then. Why: only the fold lets a decision
// take effect, and the platform carries out an operation ID once.
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
	c.Until("a VM is out", func() bool { return c.Standin.State().Unavailability("booking").Serving < vms })
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

// countBack counts the VMs that came back in the latest wave.
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

// An operator gave three VMs the same node ID, and their stewards do not know of
// each other: each takes the same work as its own, so all decide about the same
// VM at the same time. Operators see one history: of the rival records for a VM
// exactly one took effect, and the platform saw one reboot. Order: a wave
// begins, all stewards plan each turn and carry each step out. Why: a record
// whose base is no longer current is void, on every node alike.
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
	assert.Positive(t, void, "the stewards did race")
	counters := c.Standin.Counters()
	assert.Len(t, drains, vms)
	for vm, n := range drains {
		assert.Equal(t, 1, n, "effective drains of %s", vm)
		assert.Equal(t, 1, reboots[vm], "effective decisions to reboot %s", vm)
		assert.Equal(t, 1, counters.Reboots[vm], "reboots of %s", vm)
	}
}
