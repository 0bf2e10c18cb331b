package pool

import "slices"

// tier ranks supply by how much disturbance its use causes.
type tier int

// Tiers of supply, the least disturbing first.
const (
	tierFree         tier = iota // in no pool: no disturbance
	tierOutOfService             // surplus and already out of service: no additional drain
	tierPendingTurn              // surplus with a pending turn in a wave: the drain serves both
	tierServing                  // surplus that is serving: one additional drain
)

// shape is the size of a VM; VMs of one shape fit the same pools.
type shape struct {
	cores, memoryMB, accelerators int
}

// class is a group of VMs of one tier, donor and shape.
type class struct {
	tier      tier
	donor     string // pool, or empty for free VMs
	vms       []*VM
	remaining int // VMs not assigned yet
}

// assignment holds how many VMs of each class go to each gap.
type assignment struct {
	gaps    []*gap
	classes []*class
	flow    [][]int // indexed by class, then gap
	filled  []int   // indexed by gap
}

// assign fills the gaps with as many VMs as possible and, among the largest
// assignments, uses the lowest tiers. classes must be sorted by tier. Each VM is
// assigned along an augmenting path, so that a VM which fits every gap does not
// take the only gap that another VM fits. The sets of VMs that can be assigned
// together form a matroid, so the greedy order by tier yields the least
// disturbance. surplus limits the VMs that each donor gives over all its classes
// and is decremented; limit is the total.
func assign(gaps []*gap, classes []*class, surplus map[string]int, limit int) *assignment {
	a := &assignment{gaps: gaps, classes: classes, filled: make([]int, len(gaps))}
	a.flow = make([][]int, len(classes))
	for i := range classes {
		a.flow[i] = make([]int, len(gaps))
	}
	for i, c := range classes {
		for limit > 0 && c.remaining > 0 && (c.donor == "" || surplus[c.donor] > 0) && a.augment(i) {
			c.remaining--
			surplus[c.donor]--
			limit--
		}
	}
	return a
}

// augment assigns one VM of class from and reports whether a path existed.
func (a *assignment) augment(from int) bool {
	viaGap := make([]int, len(a.classes)) // the gap through which a class was reached
	viaClass := make([]int, len(a.gaps))  // the class from which a gap was reached
	for i := range viaGap {
		viaGap[i] = -1
	}
	for j := range viaClass {
		viaClass[j] = -1
	}
	queue := []int{from}
	seen := make([]bool, len(a.classes))
	seen[from] = true
	order := a.gapsByNeed()
	for len(queue) > 0 {
		c := queue[0]
		queue = queue[1:]
		for _, j := range order {
			g := a.gaps[j]
			if viaClass[j] >= 0 || !a.fits(c, g) {
				continue
			}
			viaClass[j] = c
			if a.filled[j] < g.shortage() {
				a.applyPath(from, j, viaClass, viaGap)
				return true
			}
			for other := range a.classes {
				if !seen[other] && a.flow[other][j] > 0 {
					seen[other] = true
					viaGap[other] = j
					queue = append(queue, other)
				}
			}
		}
	}
	return false
}

// gapsByNeed returns the indexes of the gaps, the greatest need first. Scarce
// VMs are so shared by need instead of all going to the first pool.
func (a *assignment) gapsByNeed() []int {
	order := make([]int, len(a.gaps))
	for j := range order {
		order[j] = j
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return a.gaps[i].need(a.filled[i]).compare(a.gaps[j].need(a.filled[j]))
	})
	return order
}

// applyPath assigns one VM of class from along the path that ends at gap end.
func (a *assignment) applyPath(from, end int, viaClass, viaGap []int) {
	a.filled[end]++
	for j := end; ; {
		c := viaClass[j]
		a.flow[c][j]++
		if c == from {
			return
		}
		j = viaGap[c]
		a.flow[c][j]--
	}
}

// fits reports whether VMs of class c may be assigned to the gap.
func (a *assignment) fits(c int, g *gap) bool {
	cl := a.classes[c]
	if cl.donor == g.pool.Name || (cl.tier != tierFree && !g.mayMove) {
		return false
	}
	return Fits(cl.vms[0], g.pool.Doc.Pool)
}

// String returns the name of the tier.
func (t tier) String() string {
	return [...]string{"free", "out", "due", "serving"}[t]
}
