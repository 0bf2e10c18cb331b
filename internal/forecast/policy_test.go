package forecast_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// policyNoFailures returns the default policy with failure rates of zero. The
// reserve is then empty, so that tests set the number of free VMs explicitly.
func policyNoFailures() pool.Policy {
	p := pool.DefaultPolicy()
	p.Rates = pool.Rates{}
	return p
}

// Two documents are changed back and forth every 30 s, one up and the other down.
// No VM may move between the pools, because neither the gap nor the surplus lasts.
// After the change stays, exactly the required VM moves, once.
func TestDocumentsChangedBackAndForthMoveNoVM(t *testing.T) {
	for _, c := range []struct {
		name       string
		up, down   string
		upN, downN int
	}{{"ramcharan", "booking", "dispatch", 12, 11}, {"feldkamm", "preview", "conversion", 12, 11}} {
		t.Run(c.name, func(t *testing.T) {
			r := startRun(t, c.name, 0)
			change := func(by int) {
				resize(t, r, c.up, c.upN+by)
				resize(t, r, c.down, c.downN-by)
				r.AdvanceTo(r.Now.Add(30 * time.Second))
			}
			for range 20 {
				change(1)
				change(0)
			}
			drains, moves := deployment.CountDrainsAndMoves(r)
			assert.Zero(t, drains)
			assert.Zero(t, moves)
			change(1)
			r.AdvanceTo(r.Now.Add(20 * time.Minute))
			r.AdvanceTo(r.Now.Add(20 * time.Minute))
			drains, moves = deployment.CountDrainsAndMoves(r)
			assert.Equal(t, 1, drains)
			assert.Equal(t, 1, moves)
			assert.Zero(t, r.State.Unavailability(c.up).Short)
		})
	}
}

// A pool shrinks and another grows while a wave runs over the first. Each VM must
// be drained only once: a VM with a pending turn moves, and its drain serves both.
func TestMoveAndMaintenanceShareOneDrain(t *testing.T) {
	r := startRun(t, "feldkamm", 0)
	startWave(t, r, 24*time.Hour, "conversion")
	r.AdvanceTo(r.Now.Add(3 * time.Minute))
	resize(t, r, "conversion", 10)
	resize(t, r, "preview", 13)
	r.AdvanceTo(r.Now.Add(11 * time.Minute))
	r.AdvanceTo(r.Now.Add(3 * time.Hour))
	drains, moves := deployment.CountDrainsAndMoves(r)
	assert.Equal(t, 11, drains, "one for each VM of the wave, none for the move")
	assert.Equal(t, 1, moves)
	assert.Equal(t, ledger.WaveDone, r.State.Waves["w"].Status)
	for _, vm := range r.State.PoolVMs("preview") {
		assert.True(t, vm.Serving(), vm.ID)
	}
	assert.Len(t, r.State.PoolVMs("preview"), 13)
}

// With weigh = "moves" a surplus stays in the pool; with weigh = "buffer" it
// returns to the reserve after it has lasted. In both cases a wave releases it.
func TestSurplusByWeigh(t *testing.T) {
	cases := []struct {
		deployment, pool string
		size             int
		weigh            document.Weigh
		free             int
	}{
		{"ramcharan", "booking", 10, document.WeighBuffer, 2},
		{"feldkamm", "preview", 10, document.WeighMoves, 0},
	}
	for _, c := range cases {
		t.Run(string(c.weigh), func(t *testing.T) {
			r := startRun(t, c.deployment, 0)
			require.Equal(t, c.weigh, r.State.Services[c.pool].Doc.Weigh)
			resize(t, r, c.pool, c.size)
			r.AdvanceTo(r.Now.Add(20 * time.Minute))
			assert.Zero(t, deployment.CountFreeVMs(r), "patience")
			for range 6 {
				r.AdvanceTo(r.Now.Add(10 * time.Minute))
			}
			assert.Equal(t, c.free, deployment.CountFreeVMs(r))
			startWave(t, r, 24*time.Hour, c.pool)
			r.AdvanceTo(r.Now.Add(3 * time.Hour))
			assert.Equal(t, 2, deployment.CountFreeVMs(r))
			drains, _ := deployment.CountDrainsAndMoves(r)
			assert.Equal(t, 12, drains, "the wave's last turns must release the surplus")
		})
	}
}

// A free VM beyond the reserve is lent to a pool during its wave. The pool must
// never be short, and the VM must return without an additional drain.
func TestWaveUsesFreeVMBeyondReserve(t *testing.T) {
	r := startRun(t, "ramcharan", 1)
	startWave(t, r, 24*time.Hour, "booking")
	r.AdvanceTo(r.Now.Add(5 * time.Hour))
	require.Equal(t, ledger.WaveDone, r.State.Waves["w"].Status)
	drains, _ := deployment.CountDrainsAndMoves(r)
	assert.Equal(t, 12, drains)
	assert.Equal(t, 1, deployment.CountFreeVMs(r))
	assert.Zero(t, r.State.Services["booking"].Account.Spent(deployment.Epoch, r.Now.Add(time.Hour))-joinCharge(r))
}

// joinCharge returns the VM-seconds that the initial fill of the pool cost.
func joinCharge(r *forecast.Run) float64 {
	return r.State.Services["booking"].Account.Spent(deployment.Epoch, deployment.Epoch.Add(time.Hour))
}

// A permanently lost VM must be replaced from the reserve after Delays.Replace
// and must not block a wave; the wave skips it.
func TestLostVMIsReplacedAndDoesNotBlockWave(t *testing.T) {
	r := startRun(t, "ramcharan", 1)
	var lost string
	for id := range r.State.PoolVMs("booking") {
		lost = max(lost, id)
	}
	r.Lost = func(id string) bool { return id == lost }
	r.OnVM(lost, record.VMDown{Cause: "no answer"})
	r.AdvanceTo(r.Now.Add(time.Minute))
	assert.Equal(t, 1, deployment.CountFreeVMs(r), "patience")
	r.AdvanceTo(r.Now.Add(2 * time.Minute))
	r.AdvanceTo(r.Now.Add(2 * time.Minute))
	assert.Zero(t, deployment.CountFreeVMs(r))
	assert.Zero(t, r.State.Unavailability("booking").Short)
	startWave(t, r, 24*time.Hour, "booking")
	r.AdvanceTo(r.Now.Add(3 * time.Hour))
	w := r.State.Waves["w"]
	assert.Equal(t, ledger.WaveDone, w.Status)
	assert.Equal(t, []string{lost}, slices.Collect(maps.Keys(w.Skips)))
}

// The shared reserve must not need more VMs than reserves per pool, and both must
// not shrink when failure rates rise.
func TestSpareFor(t *testing.T) {
	r := startRun(t, "ramcharan", 0)
	view := pool.NewView(r.State, r.Now)
	before := pool.Spare{Own: map[string]int{}}
	for _, scale := range []float64{0, 1, 10, 100} {
		rates := pool.DefaultRates()
		rates.VM *= scale
		rates.Rack *= scale
		s := pool.SpareFor(view.Pools, rates, pool.DefaultFailureShare)
		assert.LessOrEqual(t, s.Shared, s.OwnTotal())
		assert.GreaterOrEqual(t, s.Shared, before.Shared)
		assert.GreaterOrEqual(t, s.OwnTotal(), before.OwnTotal())
		before = s
	}
	assert.Positive(t, before.Shared)
}

// A pool that needs large VMs is published while another pool, for which small VMs
// suffice, holds all of them, and small VMs are free. Without exchanges the new
// pool would stay short forever.
func TestLargeVMsAreExchangedForSmallOnes(t *testing.T) {
	d := readDeployment(t, "feldkamm")
	r := forecast.New(ledger.New(), deployment.Epoch, policyNoFailures(), deployment.DefaultTimes)
	register := func(prefix string, n, cores int) {
		for v := range n {
			zone := fmt.Sprintf("z%d", v%4)
			r.OnVM(fmt.Sprintf("%s-%02d", prefix, v), record.VMRegister{
				Zone: zone, Rack: fmt.Sprintf("%s-%s%d", zone, prefix, v/4), Address: "10.0.0.1:80", Cores: cores, MemoryMB: cores * 4096,
			})
		}
	}
	smallDoc := strings.Replace(strings.Replace(d.Texts[0], "min_cores = 64", "min_cores = 32", 1), "min_memory_mb = 262144", "", 1)
	publish(t, r, d.Pools[0], smallDoc)
	register("large", 8, 64)
	r.AdvanceTo(r.Now.Add(time.Hour))
	register("small", 8, 32)
	largePool := d.Pools[1]
	publish(t, r, largePool, d.Texts[1])
	for range 120 {
		r.AdvanceTo(r.Now.Add(time.Minute))
	}
	for range 60 {
		r.AdvanceTo(r.Now.Add(10 * time.Minute))
	}
	assert.Len(t, r.State.PoolVMs(largePool), 8, "all large VMs must move")
	assert.Zero(t, r.State.Unavailability(d.Pools[0]).Short)
}
