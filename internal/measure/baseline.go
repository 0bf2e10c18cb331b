package measure

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
)

// Baseline is how many spare VMs the fleet needs for its failures, as one shared
// reserve, and as the baseline in which each pool keeps spare VMs of its own.
type Baseline struct {
	Shared int            `json:"spare_needed_shared"`
	Own    map[string]int `json:"spare_needed_own"` // by pool
	// OwnTotal is the sum over Own.
	OwnTotal int `json:"spare_needed_own_total"`
}

// BaselineOf sizes both for the documents in force and where the pools' VMs
// stand, as the stewards' policy does. It is apart from Of because it costs far
// more in a large fleet than a scrape of metrics may.
func BaselineOf(s *ledger.State, now time.Time) Baseline {
	policy := pool.DefaultPolicy()
	spare := pool.SpareFor(pool.NewView(s, now).Pools, policy.Rates, policy.FailureShare)
	return Baseline{Shared: spare.Shared, Own: spare.Own, OwnTotal: spare.OwnTotal()}
}
