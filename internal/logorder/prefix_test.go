package logorder_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/logorder"
)

// Answers to concurrent appends arrive out of order, overlap what was read, and leave gaps where other
// nodes append. The known beginning must never include a record that no range has covered.
func TestPrefixEndsAtTheFirstGap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var p logorder.Prefix
		known := [40]bool{}
		for range 1 + rng.IntN(25) {
			from := rng.IntN(len(known))
			to := min(len(known), from+rng.IntN(6))
			p.Add(int64(from), int64(to))
			for i := from; i < to; i++ {
				known[i] = true
			}
			end := 0
			for end < len(known) && known[end] {
				end++
			}
			require.Equal(t, int64(end), p.End())
		}
	}
}
