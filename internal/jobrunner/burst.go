package jobrunner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// A team that cancels burstJobs jobs within burstWindow is cancelling a batch.
// Each stopped job frees capacity for the next job of the batch, which would be
// placed and started only to be stopped a moment later. The team's other jobs
// therefore wait until burstWindow has passed without a cancellation.
const (
	burstJobs   = 4
	burstWindow = 2 * time.Second
)

// teamsCancellingBatch returns, by team, whether the team is cancelling a batch
// of jobs in the pool.
func teamsCancellingBatch(st *ledger.State, pool string, now time.Time) map[string]bool {
	cancelled := map[string]int{}
	for _, j := range st.PoolJobs(pool) {
		if j.CancelAsked && now.Sub(j.CancelledAt) < burstWindow {
			cancelled[j.Spec.Team]++
		}
	}
	teams := map[string]bool{}
	for team, n := range cancelled {
		teams[team] = n >= burstJobs
	}
	return teams
}
