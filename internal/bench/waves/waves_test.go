package waves

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// TestMeasuredPlansKeepBudgets checks the premise of the wave measurement: without
// faults, each variant finishes the wave, and no pool is ever short by more than
// max_unavailable VMs.
func TestMeasuredPlansKeepBudgets(t *testing.T) {
	deployments, err := deployment.Examples(filepath.Join("..", "..", "..", "examples"))
	require.NoError(t, err)
	require.Len(t, deployments, 2)
	for _, d := range deployments {
		for _, v := range variants {
			t.Run(d.Name+"/"+strings.ReplaceAll(v.name, " ", "-"), func(t *testing.T) {
				e, err := noFaults.run(v, d, onePerPool, 1)
				require.NoError(t, err)
				require.Equal(t, ledger.WaveDone, e.run.State.Waves[deployment.WaveID].Status)
				require.Zero(t, e.overLimit)
			})
		}
	}
}
