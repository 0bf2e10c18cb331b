package pool

import "slices"

// tier orders supply by what its use disturbs.
type tier int

// Tiers of supply, the cheapest first.
const (
	tierFree         tier = iota // in no pool: nobody is disturbed
	tierOutOfService             // surplus and out of service already: one disturbance serves both
	tierPendingTurn              // surplus whose turn in a wave is to come: likewise
	tierServing                  // surplus that serves: one more disturbance
)

// shape is what a VM offers; VMs of one shape fit the same pools.
type shape struct {
	cores, memoryMB, accelerators int
}

// class is a supply of like VMs.
type class struct {
	tier      tier
	donor     string // pool, or empty for free VMs
	vms       []*VM
	remaining int // how many are not given away yet
}

// assignment is how many VMs of which class go to which gap.
type assignment struct {
	gaps    []*gap
	classes []*class
	flow    [][]int // class, gap
	filled  []int   // gap
}

// assign gives as many VMs to gaps as can be, of the lowest tiers that can be.
// It offers the supply in the order of the tiers and gives each VM away along
// an augmenting path, so that a VM which fits everywhere does not take the only
// gap that another fits. The sets of VMs that can be given away at once form a
// matroid, so taking the cheapest first ends at the least disturbance among the
// largest assignments. surplus bounds what each donor gives over all its
// classes, limit all that are given away.
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

// augment gives one VM of class from away and reports whether it could.
func (a *assignment) augment(from int) bool {
	viaGap := make([]int, len(a.classes)) // the gap that a class was reached by
	viaClass := make([]int, len(a.gaps))  // the class that a gap was reached from
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

// gapsByNeed returns the gaps by what they still need, so that scarce VMs are
// spread over the pools by need and do not all go to the first.
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

// applyPath moves one VM along the path that ends at gap end.
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

func (a *assignment) fits(c int, g *gap) bool {
	cl := a.classes[c]
	if cl.donor == g.pool.Name || (cl.tier != tierFree && !g.mayMove) {
		return false
	}
	return Fits(cl.vms[0], g.pool.Doc.Pool)
}

// String names the tier.
func (t tier) String() string {
	return [...]string{"free", "out", "due", "serving"}[t]
}
