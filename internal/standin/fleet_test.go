package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

func sixVMOptions() Options {
	return Options{Groups: []Group{{Prefix: "vm", Count: 6, Zones: []string{"zone-a", "zone-b"}, RackSize: 2, Boot: 10 * time.Second}}}
}

func newOperation(id string, fence platform.Offset) platform.Operation {
	return platform.Operation{ID: id, Fence: fence}
}

// listedVM returns the VM as the list shows it, or false if it is not listed.
func listedVM(t *testing.T, p *Platform, vm string) (platform.VM, bool) {
	t.Helper()
	list, err := p.List(t.Context())
	require.NoError(t, err)
	for _, line := range list.VMs {
		if line.ID == vm {
			return line, true
		}
	}
	return platform.VM{}, false
}

func requireOperationStatus(t *testing.T, p *Platform, vm, id string, want platform.OperationStatus) {
	t.Helper()
	status, err := p.Operation(t.Context(), vm, id)
	require.NoError(t, err)
	require.Equal(t, want, status)
}

func TestVMsAreSpreadOverZonesAndRacks(t *testing.T) {
	p := New(sixVMOptions())
	racks := map[string]int{}
	list, err := p.List(t.Context())
	require.NoError(t, err)
	for _, vm := range list.VMs {
		racks[vm.Rack]++
	}
	require.Equal(t, map[string]int{"zone-a-r01": 2, "zone-a-r02": 1, "zone-b-r01": 2, "zone-b-r02": 1}, racks)
}

func TestDrainRebootUndrain(t *testing.T) {
	// A VM is drained, rebooted and undrained. The drain runs until the VM's task
	// ends, the reboot ends after 10 s with a new boot ID, and the VM is listed as
	// leaving until it is undrained.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		_, err := p.Start(t.Context(), newTaskSpec("t", time.Minute, 3*time.Second), newOperation("start", 1))
		require.NoError(t, err)
		status, err := p.Drain(t.Context(), "vm-01", newOperation("drain", 2))
		require.NoError(t, err)
		require.Equal(t, platform.OperationRunning, status)
		time.Sleep(3 * time.Second)
		requireOperationStatus(t, p, "vm-01", "drain", platform.OperationDone)
		before, _ := listedVM(t, p, "vm-01")
		_, err = p.Reboot(t.Context(), "vm-01", newOperation("reboot", 3))
		require.NoError(t, err)
		time.Sleep(9 * time.Second)
		requireOperationStatus(t, p, "vm-01", "reboot", platform.OperationRunning)
		time.Sleep(time.Second)
		requireOperationStatus(t, p, "vm-01", "reboot", platform.OperationDone)
		after, _ := listedVM(t, p, "vm-01")
		require.NotEqual(t, before.BootID, after.BootID)
		require.Equal(t, platform.VMLeaving, after.State)
		_, err = p.Undrain(t.Context(), "vm-01", newOperation("undrain", 4))
		require.NoError(t, err)
		after, _ = listedVM(t, p, "vm-01")
		require.Equal(t, platform.VMLive, after.State)
	})
}

func TestOperationIsIdempotentAndFenced(t *testing.T) {
	// The reply to a reboot is lost, so the steward sends the operation twice more,
	// the last time after the boot: the VM reboots once. A paused steward that then
	// sends an older decision gets ErrFenced, and nothing happens.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		orderFaults(t, p, Fault{Kind: APILoseReply, Target: "vm-01", Count: 1})
		_, err := p.Reboot(t.Context(), "vm-01", newOperation("r", 5))
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		_, err = p.Reboot(t.Context(), "vm-01", newOperation("r", 5))
		require.NoError(t, err)
		time.Sleep(time.Minute)
		status, err := p.Reboot(t.Context(), "vm-01", newOperation("r", 5))
		require.NoError(t, err)
		require.Equal(t, platform.OperationDone, status)
		_, err = p.Reboot(t.Context(), "vm-01", newOperation("older", 4))
		require.ErrorIs(t, err, platform.ErrFenced)
		_, err = p.Operation(t.Context(), "vm-01", "older")
		require.ErrorIs(t, err, platform.ErrNotFound)
		_, err = p.Drain(t.Context(), "vm-01", newOperation("r", 5))
		require.ErrorIs(t, err, platform.ErrRejected)
		require.Equal(t, map[string]int{"vm-01": 1}, p.Counters().Reboots)
	})
}

func TestRefusedAndSlowActions(t *testing.T) {
	// A refused drain returns ErrUnavailable and has no effect. A slow one is delayed.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		orderFaults(t, p, Fault{Kind: APIRefuse, Target: "drain", Count: 1}, Fault{Kind: APISlow, DelayMS: 4000, Count: 1, Target: "drain"})
		_, err := p.Drain(t.Context(), "vm-01", newOperation("d", 1))
		require.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = p.Operation(t.Context(), "vm-01", "d")
		require.ErrorIs(t, err, platform.ErrNotFound)
		start := time.Now()
		_, err = p.Drain(t.Context(), "vm-01", newOperation("d", 1))
		require.NoError(t, err)
		require.Equal(t, 4*time.Second, time.Since(start))
	})
}

func TestLaggingList(t *testing.T) {
	// The list lags by 30 s: a lost VM stays listed and a new VM is missing for that
	// long, and AsOf is 30 s ago.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		time.Sleep(time.Minute)
		orderFaults(t, p, Fault{Kind: ListLag, DelayMS: 30_000}, Fault{Kind: VMCrash, Target: "vm-01"}, Fault{Kind: VMAdd, Target: "vm"})
		time.Sleep(29 * time.Second)
		_, lostListed := listedVM(t, p, "vm-01")
		_, newListed := listedVM(t, p, "vm-07")
		require.True(t, lostListed)
		require.False(t, newListed)
		time.Sleep(time.Second)
		_, lostListed = listedVM(t, p, "vm-01")
		_, newListed = listedVM(t, p, "vm-07")
		require.False(t, lostListed)
		require.True(t, newListed)
		list, err := p.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, 30*time.Second, time.Since(list.AsOf))
	})
}

func TestSlowAndFailedBoots(t *testing.T) {
	// One VM boots slowly, one never comes back until it is recovered, and the loss of
	// a rack fails a reboot in it.
	synctest.Test(t, func(t *testing.T) {
		p := New(sixVMOptions())
		orderFaults(t, p, Fault{Kind: BootSlow, Target: "vm-01", DelayMS: 5000}, Fault{Kind: BootNever, Target: "vm-02"})
		for _, vm := range []string{"vm-01", "vm-02", "vm-06"} {
			_, err := p.Reboot(t.Context(), vm, newOperation("r", 1))
			require.NoError(t, err)
		}
		orderFaults(t, p, Fault{Kind: VMCrash, Target: "rack/zone-b-r02"})
		requireOperationStatus(t, p, "vm-06", "r", platform.OperationFailed)
		time.Sleep(14 * time.Second)
		requireOperationStatus(t, p, "vm-01", "r", platform.OperationRunning)
		time.Sleep(time.Second)
		requireOperationStatus(t, p, "vm-01", "r", platform.OperationDone)
		time.Sleep(time.Hour)
		requireOperationStatus(t, p, "vm-02", "r", platform.OperationRunning)
		orderFaults(t, p, Fault{Kind: VMRecover, Target: "vm-02"})
		requireOperationStatus(t, p, "vm-02", "r", platform.OperationDone)
	})
}
