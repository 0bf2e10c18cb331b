package fleet

// ration bounds what each pool may ask for where there are too few VMs for all:
// none gets more than an equal share until those that ask for less have what they
// ask for. Without it the pool that is furthest behind takes every VM and keeps
// it, and the others serve nothing as long as it is behind; a forecast that is far
// too high does the same. spares is how many VMs no pool has.
func ration(balances []balance, spares int) {
	left := spares
	for _, b := range balances {
		left += b.have
	}
	open := make([]*balance, 0, len(balances))
	for i := range balances {
		open = append(open, &balances[i])
	}
	for len(open) > 0 {
		share := left / len(open)
		var above []*balance
		for _, b := range open {
			if b.wants() <= share {
				left -= b.wants()
			} else {
				above = append(above, b)
			}
		}
		if len(above) == len(open) {
			for _, b := range above {
				b.bound(share)
			}
			return
		}
		open = above
	}
}

// wants is what the pool has a claim to.
func (b *balance) wants() int { return max(b.now, b.keep) }

// bound takes a claim back to a number of VMs, but never below what lasting tasks
// need.
func (b *balance) bound(share int) {
	limit := max(share, b.floor)
	b.now = min(b.now, limit)
	b.keep = min(b.keep, limit)
}
