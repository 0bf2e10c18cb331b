package fleet

import (
	"slices"
	"time"
)

// A VM that its pool doesn't need costs as much in a second as a move. Returned too early, it is missing for
// moveLeadTime when demand comes back, and the work that it would have done in that time is worth workValue
// times as much as the VM costs meanwhile. So a VM that was needed is kept until it has cost that much, if the
// fleet holds what all pools have needed at once. If it doesn't, the VMs that one pool keeps go to the others at
// their peaks, and keeping them gains nothing.
//
// Before a pool has had a peak nothing is known of its demand but the number of VMs that it was given. These are
// returned evenly over the same time.
const (
	// workValue is the value of the work of a well used VM, as a multiple of what the VM costs.
	workValue = 15
	holdTime  = workValue * moveLeadTime
	// peakSamples is how many successive samples a need must last to count as a peak. A single sample may be a
	// random fluctuation.
	peakSamples = 3
)

// peakNeeds keeps the largest needs of the last holdTime.
type peakNeeds struct {
	recent []int // the last peakSamples needs
	// peaks are in the order of their times, each smaller than the one before it.
	peaks []needSample
}

// add adds a need at now.
func (p *peakNeeds) add(vms int, now time.Time) {
	p.recent = append(p.recent, vms)
	if len(p.recent) < peakSamples {
		return
	}
	p.recent = p.recent[len(p.recent)-peakSamples:]
	lasting := slices.Min(p.recent)
	for len(p.peaks) > 0 && p.peaks[len(p.peaks)-1].vms <= lasting {
		p.peaks = p.peaks[:len(p.peaks)-1]
	}
	p.peaks = append(p.peaks, needSample{at: now, vms: lasting})
	for now.Sub(p.peaks[0].at) > holdTime {
		p.peaks = p.peaks[1:]
	}
}

// largest returns the largest need of the last holdTime.
func (p *peakNeeds) largest() int {
	if len(p.peaks) == 0 {
		return 0
	}
	return p.peaks[0].vms
}

// heldVMs returns how many VMs a pool keeps for demand that may come back.
func (l *poolLoad) heldVMs(now time.Time) int {
	left := 1 - float64(now.Sub(l.firstReceivedAt))/float64(holdTime)
	return max(l.peakNeeds.largest(), int(left*float64(l.initialVMs)))
}

// currentNeed is how many VMs the pool needs at the latest load, without a forecast.
func (l *poolLoad) currentNeed() int { return l.needHistory[len(l.needHistory)-1].vms }

// holdVMs raises what the pools keep to what they may need again, if the fleet holds that for all of them. What is
// kept then takes the place of forecasts: of a few large jobs a forecast is several times too high as often as
// not, and the fair share that bounds it in a scarce fleet doesn't in an ample one.
func (c *Core) holdVMs(plans []poolPlan, now time.Time) {
	total := 0
	for _, p := range plans {
		l := c.poolLoads[p.pool]
		total += max(l.currentNeed(), p.minBeforeReturning, l.heldVMs(now))
	}
	if total > len(c.vms) {
		return
	}
	for i := range plans {
		p, l := &plans[i], c.poolLoads[plans[i].pool]
		p.minBeforeReturning = max(p.minBeforeReturning, l.heldVMs(now))
		p.needed = max(p.minVMs, min(p.needed, max(l.currentNeed(), l.heldVMs(now))))
	}
}
