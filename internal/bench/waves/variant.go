// Package waves compares the decisions about a fleet with plain baselines, over the
// example deployments in simulated time: maintenance waves, the reserve of free
// VMs, planning delays with changing documents, and the order of turns. Results are in
// docs/MEASUREMENTS.md, section "Fleet decisions".
package waves

import (
	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
)

// variant is a reserve mode and a planner.
type variant struct {
	name    string
	reserve pool.ReserveMode
	batches bool // waves go in fixed batches, in the order of VM IDs
}

// variants are the measured policies. The last one is the plain baseline, with a
// buffer for each pool and waves in batches.
var variants = []variant{
	{"shared reserve, planned waves", pool.ReserveShared, false},
	{"own buffers, planned waves", pool.ReserveOwn, false},
	{"shared reserve, batches", pool.ReserveShared, true},
	{"own buffers, batches (plain)", pool.ReserveOwn, true},
}

func (v variant) start(d deployment.Deployment, spare int) (*forecast.Run, error) {
	policy := pool.DefaultPolicy()
	policy.Reserve = v.reserve
	r, err := d.Start(spare, policy)
	if err == nil && v.batches {
		r.Plan = planBatches
	}
	return r, err
}

// planBatches fills gaps and releases surpluses as the planner does, but runs waves
// in plain batches: it drains the first max_unavailable VMs that are due, and the
// next batch only when all VMs of this batch are back.
func planBatches(v *pool.View, policy pool.Policy) []pool.Proposal {
	r := pool.NewRound(v, policy)
	pool.Fill(r)
	for _, w := range v.Waves {
		for _, p := range v.Pools {
			if r.HasDrained(w, p) {
				continue
			}
			drained := 0
			for _, vm := range p.VMs {
				if drained < p.Doc.Budget.MaxUnavailable && w.VMs[vm.ID] == ledger.WavePending && vm.Serving() {
					if r.Drain(vm, r.WaveDrain(vm, ""), "next batch") == "" {
						drained++
					}
				}
			}
		}
	}
	pool.Release(r)
	return r.Proposals
}
