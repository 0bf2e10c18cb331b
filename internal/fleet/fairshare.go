package fleet

// limitToFairShare limits the targets of pools if there are too few VMs for all. Pools whose target is
// below an equal share get their target, and the other pools share the remaining VMs equally. Without the
// limit, the pool that lacks the most VMs, or one whose forecast is far too high, would take every VM and
// keep it, and the others would serve nothing in the meantime. spares is the number of available spare VMs.
func limitToFairShare(plans []poolPlan, spares int) {
	remaining := spares
	for _, p := range plans {
		remaining += p.vms
	}
	unsatisfied := make([]*poolPlan, 0, len(plans))
	for i := range plans {
		unsatisfied = append(unsatisfied, &plans[i])
	}
	for len(unsatisfied) > 0 {
		share := remaining / len(unsatisfied)
		var aboveShare []*poolPlan
		for _, p := range unsatisfied {
			if p.targetVMs() <= share {
				remaining -= p.targetVMs()
			} else {
				aboveShare = append(aboveShare, p)
			}
		}
		if len(aboveShare) == len(unsatisfied) {
			for _, p := range aboveShare {
				p.limitTarget(share)
			}
			return
		}
		unsatisfied = aboveShare
	}
}

// targetVMs returns how many VMs the pool gets, or keeps if other pools are short of VMs.
func (p *poolPlan) targetVMs() int { return max(p.needed, p.minBeforeDonating) }

// limitTarget reduces the target to share, but not below minVMs.
func (p *poolPlan) limitTarget(share int) {
	limit := max(share, p.minVMs)
	p.needed = min(p.needed, limit)
	p.minBeforeDonating = min(p.minBeforeDonating, limit)
}
