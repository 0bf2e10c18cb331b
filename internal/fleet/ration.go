package fleet

// limitToFairShare bounds what each pool may ask for where there are too few VMs for all:
// none gets more than an equal share until those that ask for less have what they
// ask for. Without it the pool that is furthest behind takes every VM and keeps
// it, and the others serve nothing as long as it is behind; a forecast that is far
// too high does the same. spares is how many VMs no pool has.
func limitToFairShare(balances []poolBalance, spares int) {
	remaining := spares
	for _, b := range balances {
		remaining += b.vms
	}
	unsatisfied := make([]*poolBalance, 0, len(balances))
	for i := range balances {
		unsatisfied = append(unsatisfied, &balances[i])
	}
	for len(unsatisfied) > 0 {
		share := remaining / len(unsatisfied)
		var aboveShare []*poolBalance
		for _, b := range unsatisfied {
			if b.claim() <= share {
				remaining -= b.claim()
			} else {
				aboveShare = append(aboveShare, b)
			}
		}
		if len(aboveShare) == len(unsatisfied) {
			for _, b := range aboveShare {
				b.limitClaim(share)
			}
			return
		}
		unsatisfied = aboveShare
	}
}

// claim is what the pool has a claim to.
func (b *poolBalance) claim() int { return max(b.needed, b.keepFromPools) }

// limitClaim takes a claim back to a number of VMs, but never below what lasting tasks
// need.
func (b *poolBalance) limitClaim(share int) {
	limit := max(share, b.minVMs)
	b.needed = min(b.needed, limit)
	b.keepFromPools = min(b.keepFromPools, limit)
}
