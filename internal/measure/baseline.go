package measure

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
)

// Baseline holds how many spare VMs the fleet needs for its failures with one
// shared reserve and, as the baseline, with a reserve for each pool.
type Baseline struct {
	Shared int            `json:"spare_needed_shared"`
	Own    map[string]int `json:"spare_needed_own"` // by pool
	// OwnTotal is the sum of Own.
	OwnTotal int `json:"spare_needed_own_total"`
}

// BaselineOf computes both numbers for the documents in force and the racks of the
// pools' VMs, with the default policy of the stewards. It is separate from Of
// because in a large fleet it costs far more than a scrape of metrics may.
func BaselineOf(s *ledger.State, now time.Time) Baseline {
	policy := pool.DefaultPolicy()
	spare := pool.SpareFor(pool.NewView(s, now).Pools, policy.Rates, policy.FailureShare)
	return Baseline{Shared: spare.Shared, Own: spare.Own, OwnTotal: spare.OwnTotal()}
}
