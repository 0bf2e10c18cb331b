package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// An entry process watches up to 64 backend servers. Checking all at every interval
// would exceed a node's budget for control traffic. Each is checked once per cycle,
// and one that failed at every interval, so that a hung server is found within
// unhealthyAfterFailures intervals and not cycles.
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
