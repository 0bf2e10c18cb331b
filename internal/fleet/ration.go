package fleet

// limitToFairShare limits the claims of pools if there are too few VMs for all: no pool gets more than an
// equal share until the pools that claim less have what they claim. Without the limit the pool that is
// furthest behind would take every VM and keep it, and the others would serve nothing in the meantime; a
// forecast that is far too high would do the same. spares is the number of available spare VMs.
func limitToFairShare(plans []poolPlan, spares int) {
	remaining := spares
	for _, b := range plans {
		remaining += b.vms
	}
	unsatisfied := make([]*poolPlan, 0, len(plans))
	for i := range plans {
		unsatisfied = append(unsatisfied, &plans[i])
	}
	for len(unsatisfied) > 0 {
		share := remaining / len(unsatisfied)
		var aboveShare []*poolPlan
		for _, b := range unsatisfied {
			if b.targetVMs() <= share {
				remaining -= b.targetVMs()
			} else {
				aboveShare = append(aboveShare, b)
			}
		}
		if len(aboveShare) == len(unsatisfied) {
			for _, b := range aboveShare {
				b.limitTarget(share)
			}
			return
		}
		unsatisfied = aboveShare
	}
}

// targetVMs returns how many VMs the pool asks for or keeps from other pools.
func (b *poolPlan) targetVMs() int { return max(b.needed, b.minBeforeDonating) }

// limitTarget reduces the claim to share, but not below minVMs.
func (b *poolPlan) limitTarget(share int) {
	limit := max(share, b.minVMs)
	b.needed = min(b.needed, limit)
	b.minBeforeDonating = min(b.minBeforeDonating, limit)
}
