package pool

import (
	"math"
	"time"
)

// Rates holds the failure rates of VMs and racks and the repair time.
type Rates struct {
	VM     float64 // failures of one VM per day
	Rack   float64 // failures of one rack per day
	Repair time.Duration
}

// DefaultRates returns the rates of a typical fleet: 26 of 4,000 VMs fail per
// day, and one of 1,000 racks per week.
func DefaultRates() Rates {
	return Rates{VM: 26.0 / 4000, Rack: 1.0 / 7000, Repair: 4 * time.Hour}
}

// maxSpare bounds the search for a spare count.
const maxSpare = 512

// Spare holds how many spare VMs a fleet needs.
type Spare struct {
	// Own is the number of spare VMs by pool if each pool keeps its own; Shared
	// is their number if all pools share one reserve of free VMs.
	Own    map[string]int
	Shared int
}

// OwnTotal returns the sum of the pools' own spare VMs.
func (s Spare) OwnTotal() int {
	sum := 0
	for _, n := range s.Own {
		sum += n
	}
	return sum
}

// SpareFor returns the spare VMs with which failures are expected to use at most
// failureShare of any pool's availability budget. VMs fail individually and by
// rack; a spare VM replaces a failed VM until its repair. A shared reserve needs
// fewer VMs, because the pools rarely have failures at the same time.
func SpareFor(pools []*Pool, rates Rates, failureShare float64) Spare {
	s := Spare{Own: map[string]int{}}
	all := lossDistribution{1}
	size := 0
	racks := map[string]int{}
	for _, p := range pools {
		n := p.Doc.Pool.Size
		size += n
		own := map[string]int{}
		for _, vm := range p.VMs {
			own[vm.Rack]++
			racks[vm.Rack]++
		}
		loss := lossDistribution{1}.addVMLosses(rates.meanDown(n)).addRackLosses(own, rates)
		s.Own[p.Name] = loss.minSpare(failureShare * p.Doc.Budget.Allowed * float64(n))
	}
	all = all.addVMLosses(rates.meanDown(size)).addRackLosses(racks, rates)
	s.Shared = all.minSpare(failureShare * smallestAllowance(pools) * float64(size))
	return s
}

// smallestAllowance returns the smallest allowed share of unavailable VMs among
// the pools. A shortage of the shared reserve affects the pools in proportion to
// their sizes, so the pool with the smallest allowance determines the limit.
func smallestAllowance(pools []*Pool) float64 {
	least := 1.0
	for _, p := range pools {
		if p.Doc.Pool.Size > 0 {
			least = min(least, p.Doc.Budget.Allowed)
		}
	}
	return least
}

// meanDown returns the expected number of VMs that are down at a time, of n.
func (r Rates) meanDown(n int) float64 { return float64(n) * r.VM * r.Repair.Hours() / 24 }

// lossDistribution holds the probability of each number of VMs that are down at
// a time, indexed by that number.
type lossDistribution []float64

// addVMLosses adds independent failures of VMs, Poisson distributed with the
// given mean.
func (d lossDistribution) addVMLosses(mean float64) lossDistribution {
	terms := lossDistribution{}
	p := math.Exp(-mean)
	for k := 0; k < maxSpare && (p > 1e-12 || float64(k) < mean); k++ {
		terms = append(terms, p)
		p *= mean / float64(k+1)
	}
	return d.convolve(terms)
}

// addRackLosses adds failures of whole racks; counts is the number of VMs by
// rack.
func (d lossDistribution) addRackLosses(counts map[string]int, r Rates) lossDistribution {
	byCount := map[int]int{}
	most := 0
	for _, n := range counts {
		byCount[n]++
		most = max(most, n)
	}
	down := r.Rack * r.Repair.Hours() / 24
	for n := 1; n <= most; n++ {
		for range byCount[n] {
			event := make(lossDistribution, n+1)
			event[0] = 1 - down
			event[n] = down
			d = d.convolve(event)
		}
	}
	return d
}

// convolve returns the distribution of the sum of two independent counts.
func (d lossDistribution) convolve(o lossDistribution) lossDistribution {
	sum := make(lossDistribution, min(len(d)+len(o)-1, maxSpare))
	for i, p := range d {
		for j, q := range o {
			if k := i + j; k < len(sum) {
				sum[k] += p * q
			}
		}
	}
	return sum.trimTail()
}

// trimTail drops a negligible tail, which keeps sums over many racks short.
func (d lossDistribution) trimTail() lossDistribution {
	n := len(d)
	for n > 1 && d[n-1] < 1e-15 {
		n--
	}
	return d[:n]
}

// minSpare returns the smallest number of spare VMs with which the expected
// shortage is at most bound VMs, and at most maxSpare.
func (d lossDistribution) minSpare(bound float64) int {
	for k := range maxSpare {
		shortage := 0.0
		for n := k + 1; n < len(d); n++ {
			shortage += float64(n-k) * d[n]
		}
		if shortage <= bound {
			return k
		}
	}
	return maxSpare
}
