package forecast_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// The forecast of a wave must contain the turn of each VM and must not change the
// state. The wave that is then started must end at the forecast time.
func TestForecastMatchesWave(t *testing.T) {
	r := startRun(t, "feldkamm", 1)
	before, err := r.State.Digest()
	require.NoError(t, err)
	start := record.WaveStart{Pools: []string{"compare", "preview"}, Deadline: r.Now.Add(24 * time.Hour)}
	w, err := forecast.ForWave(r.State, r.Now, start, r.Policy, deployment.DefaultTimes)
	require.NoError(t, err)
	after, err := r.State.Digest()
	require.NoError(t, err)
	assert.Equal(t, before, after)
	assert.Len(t, w.Turns, 22)
	assert.Empty(t, w.Waiting)

	startWave(t, r, 24*time.Hour, start.Pools...)
	for r.State.Waves["w"].Status == ledger.WaveRunning {
		r.AdvanceTo(r.Now.Add(time.Minute))
	}
	assert.WithinDuration(t, w.End, r.State.Waves["w"].FinishedAt, 2*time.Minute)

	_, err = forecast.ForWave(r.State, r.Now, record.WaveStart{Pools: []string{"nowhere"}}, r.Policy, deployment.DefaultTimes)
	assert.ErrorIs(t, err, forecast.ErrRefused)
}

// A pool's budget is nearly spent. The forecast must include the wait until old
// charges leave the window. The running wave must wait with a reason and resume
// without intervention.
func TestWaveWaitsForBudgetAndResumes(t *testing.T) {
	r := startRun(t, "ramcharan", 0)
	vm := slices.Min(slices.Collect(maps.Keys(r.State.PoolVMs("dispatch"))))
	r.Lost = func(id string) bool { return id == vm }
	r.OnVM(vm, record.VMDown{Cause: "no answer"})
	r.AdvanceTo(r.Now.Add(30 * time.Hour)) // of the 37 VM-hours in a window
	r.OnVM(vm, record.VMUp{})
	r.Lost = func(string) bool { return false }

	const month = 30 * 24 * time.Hour
	w, err := forecast.ForWave(r.State, r.Now, record.WaveStart{Pools: []string{"dispatch"}, Deadline: r.Now.Add(month)}, r.Policy, deployment.DefaultTimes)
	require.NoError(t, err)
	assert.Greater(t, w.Duration(), 5*24*time.Hour)
	assert.Less(t, w.Duration(), 7*24*time.Hour)

	startWave(t, r, month, "dispatch")
	r.AdvanceTo(r.Now.Add(time.Hour))
	drains, _ := deployment.CountDrainsAndMoves(r)
	assert.Zero(t, drains)
	waits := maintenance.Round(pool.NewView(r.State, r.Now), r.Policy).Waits
	require.Len(t, waits, 1)
	assert.Contains(t, waits[0].Reason, "VM-seconds in its window")
	for range 7 * 24 {
		r.AdvanceTo(r.Now.Add(time.Hour))
	}
	assert.Equal(t, ledger.WaveDone, r.State.Waves["w"].Status)
}
