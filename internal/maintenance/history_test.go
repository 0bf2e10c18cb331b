package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"

	"github.com/yuccadrift/yuccadrift/internal/testkit/randomcheck"
)

func TestMain(m *testing.M) { randomcheck.Main(m, 20261202, 2000) }

// Two stewards plan and act on stale views while appends are duplicated or
// delayed, replies of the platform are lost after the action took effect, racks
// fail during waves, operators drain VMs and publish documents, and nodes are cut
// off from the log for hours. A planned drain must not exceed a pool's budget, a
// VM must not be in two pools, a reboot must start only for a decision that is in
// effect, and each decision must be executed once. This holds because decisions
// take effect only in the fold, and the platform executes an operation ID once and
// refuses fencing tokens below the highest that it has seen.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			w.randomStep()
			w.checkInvariants()
		}
		w.recoverAndConverge()
	})
}

// randomStep applies one random event.
func (w *world) randomStep() {
	node := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")]
	switch rapid.IntRange(0, 15).Draw(w.t, "event") {
	case 0, 1, 2:
		w.catchUp(node, rapid.IntRange(1, 30).Draw(w.t, "records"))
	case 3, 4, 5:
		w.plan(node)
	case 6, 7, 8:
		w.act(node)
	case 9, 10:
		w.advanceClock(time.Duration(rapid.IntRange(1, 120).Draw(w.t, "seconds")) * time.Second)
	case 11:
		w.reportHealth(node)
	case 12:
		w.operatorAction(node)
	case 13:
		w.toggleFault()
	case 14:
		w.deliverDelayed()
	case 15:
		w.toggleOutage()
	}
}

// operatorAction sends a random decision of an operator, based on the node's view.
func (w *world) operatorAction(n *node) {
	vm := w.drawVM()
	switch rapid.IntRange(0, 5).Draw(w.t, "operator") {
	case 0:
		w.send(n, subjectVM(vm), record.VMDrain{Reason: record.DrainOperator, Estimate: time.Minute})
	case 1:
		w.send(n, subjectVM(vm), record.VMDrain{Reason: record.DrainOperator, Release: true, Estimate: time.Minute})
	case 2, 3:
		w.publish(n, w.drawPool(), rapid.IntRange(2, 6).Draw(w.t, "size"))
	case 4:
		w.waves++
		body := record.WaveStart{Pools: pools, Deadline: w.now.Add(time.Hour)}
		w.send(n, record.Subject{Kind: record.SubjectWave, Name: fmt.Sprintf("w%d", w.waves)}, body)
	case 5:
		command := rapid.SampledFrom([]record.WaveCommand{record.WavePause, record.WaveResume, record.WaveAbort}).Draw(w.t, "command")
		w.send(n, record.Subject{Kind: record.SubjectWave, Name: fmt.Sprintf("w%d", w.waves)}, record.WaveControl{Command: command})
	}
}

// checkInvariants verifies that each VM is in at most one pool and that its phase
// is consistent with that.
func (w *world) checkInvariants() {
	members := map[string]string{}
	for _, pool := range pools {
		for id := range w.head.PoolVMs(pool) {
			other, twice := members[id]
			require.False(w.t, twice, "VM %s is in pools %s and %s", id, other, pool)
			members[id] = pool
		}
	}
	for id, vm := range w.head.VMs {
		require.Equal(w.t, vm.Pool, members[id], "VM %s", id)
		require.Equal(w.t, vm.Pool == "", vm.Phase == record.PhaseFree, "VM %s in pool %q is %s", id, vm.Pool, vm.Phase)
	}
}

// checkDrain verifies that an effective drain is within the pool's budget. The
// shortage and the spent VM-seconds are measured by this test, independently of
// the ledger's accounts.
func (w *world) checkDrain(before ledger.VM, body record.VMDrain) {
	if !before.Serving() {
		return
	}
	doc := w.head.Services[before.Pool].Doc
	serving, otherRack := 0, ""
	for _, vm := range w.head.PoolVMs(before.Pool) {
		switch {
		case vm.Serving():
			serving++
		case vm.Rack != before.Rack && !vm.Down:
			otherRack = vm.Rack
		}
	}
	short := doc.Pool.Size - serving
	if short <= 0 {
		return
	}
	require.LessOrEqual(w.t, short, doc.Budget.MaxUnavailable, "drain of %s", before.ID)
	if doc.Budget.OneDomain {
		require.Empty(w.t, otherRack, "drain of %s in rack %s", before.ID, before.Rack)
	}
	spent := w.shortages[before.Pool].since(w.head.Now.Add(-doc.Budget.Window))
	allowed := doc.Budget.Allowed * float64(doc.Pool.Size) * doc.Budget.Window.Seconds()
	need := float64(short) * body.Estimate.Seconds()
	require.LessOrEqual(w.t, spent+need, allowed+1, "drain of %s", before.ID)
}

// recoverAndConverge ends all faults and runs the stewards until nothing is left to
// do: every drain and wave must end, the pools must reach their sizes, and the
// platform must have rebooted each VM as often as was decided.
func (w *world) recoverAndConverge() {
	w.clearFaults()
	for range 400 {
		for _, n := range w.nodes {
			w.catchUp(n, len(w.log))
			w.reportHealth(n)
			w.catchUp(n, len(w.log))
			w.plan(n)
			w.catchUp(n, len(w.log))
			w.act(n)
		}
		w.checkInvariants()
		if w.converged() {
			break
		}
		w.advanceClock(10 * time.Second)
	}
	w.checkConverged()
}

func (w *world) checkConverged() {
	for id, vm := range w.head.VMs {
		require.Nil(w.t, vm.Drain, "VM %s is still %s", id, vm.Phase)
		require.Equal(w.t, vm.Reboots, w.fake.Counters().Reboots[id], "reboots of %s", id)
	}
	free := 0
	for _, vm := range w.head.VMs {
		if vm.Phase == record.PhaseFree {
			free++
		}
	}
	for _, pool := range pools {
		u := w.head.Unavailability(pool)
		require.True(w.t, u.Short == 0 || free == 0, "pool %s is short of %d VMs with %d VMs free", pool, u.Short, free)
	}
}

// converged reports whether no drain, wave or gap is left to work on.
func (w *world) converged() bool {
	for _, vm := range w.head.VMs {
		if vm.Drain != nil || vm.Phase == record.PhaseReturning {
			return false
		}
	}
	for _, wave := range w.head.Waves {
		if wave.Status == ledger.WaveRunning {
			return false
		}
	}
	for _, pool := range pools {
		if w.head.Unavailability(pool).Short > 0 && w.hasFreeVM() {
			return false
		}
	}
	return true
}
