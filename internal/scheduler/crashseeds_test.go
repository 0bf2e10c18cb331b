package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against tasks that crash their workers and start again after their last permitted attempt.
func TestCrashHistoriesKeepTheBudget(t *testing.T) {
	for _, seed := range []uint64{163} {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			w, _ := runCrashHistory(seed)
			assert.Empty(t, w.violations)
		})
	}
}
