package fleet

// limitToFairShare limits the claims of pools if there are too few VMs for all: no pool gets more than an
// equal share until the pools that claim less have what they claim. Without the limit the pool that is
// furthest behind would take every VM and keep it, and the others would serve nothing in the meantime; a
// forecast that is far too high would do the same. spares is the number of available spare VMs.
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

// claim returns how many VMs the pool asks for or keeps from other pools.
func (b *poolBalance) claim() int { return max(b.needed, b.keepFromPools) }

// limitClaim reduces the claim to share, but not below minVMs.
func (b *poolBalance) limitClaim(share int) {
	limit := max(share, b.minVMs)
	b.needed = min(b.needed, limit)
	b.keepFromPools = min(b.keepFromPools, limit)
}
