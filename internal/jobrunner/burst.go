package jobrunner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// A team that cancels burstJobs jobs within burstWindow is cancelling a batch.
// Each job that is stopped makes room for the next of the batch, which would be
// placed and started only to be stopped a moment later. So the team's other jobs
// wait until burstWindow has passed without a cancellation.
const (
	burstJobs   = 4
	burstWindow = 2 * time.Second
)

// teamsCancellingBatch returns the teams that are cancelling a batch of jobs.
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
