package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// An entry process has a share of up to 64 backend servers. Checked all at every
// interval they alone would cost more than a node may spend on control. They
// take turns, each has one in every cycle, and one that failed is checked at
// each interval, or a hung server would take as many cycles to be found as it
// takes failures.
func TestHealthChecksRotateOverBackendServers(t *testing.T) {
	for size, cycle := range map[int]int{0: 1, 1: 1, 10: 1, 11: 2, 64: 7} {
		share := make([]watched, size)
		for i := range share {
			share[i].target = target{"service", fmt.Sprint(i)}
		}
		count := map[target]int{}
		for round := range cycle {
			list := dueForCheck(share, nil, round)
			require.LessOrEqual(t, len(list), maxChecksPerRound)
			for _, w := range list {
				count[w.target]++
			}
		}
		require.Len(t, count, size)
		for name, n := range count {
			require.Equal(t, 1, n, name)
		}
	}
	share := make([]watched, 64)
	for i := range share {
		share[i].target = target{"service", fmt.Sprint(i)}
	}
	for round := range 7 {
		list := dueForCheck(share, map[target]int{share[3].target: 1}, round)
		require.Contains(t, list, share[3])
	}
}
