// Package workshare divides a service that is full among workspaces. One that hands in more work for its
// weight than the others gets the share of its weight, by start-time fair queueing of work in core-seconds;
// the others keep the order that they have. A workspace that is the only one to wait uses the whole service,
// and pays nothing for it once others wait, too.
package workshare

import (
	"math"
	"time"
)

const (
	// turnDuration is the time of the full service that one turn of all waiting workspaces takes. It
	// leaves the order within a turn to other criteria.
	turnDuration = 500 * time.Millisecond
	// maxLead bounds the work that a workspace has had ahead of or behind the others, as a time of the full
	// service. A single job may be larger than what a small workspace is due in many seconds.
	maxLead = 4 * time.Second
	// arrivalMemory is the time in which recorded arrivals fall to 1/e.
	arrivalMemory = 5 * time.Second
	// A workspace asks for more than the others if its jobs exceed those that would match the others' work
	// for its weight by excessFactor, excessDeviations standard deviations and excessJobs. Less is chance: a
	// small workspace hands in 0 to 6 jobs in a second where 3 are meant.
	excessFactor     = 1.1
	excessDeviations = 3
	excessJobs       = 2
)

// Demand is a workspace whose jobs wait for capacity.
type Demand struct {
	Workspace string
	Weight    float64
	// Blocked is set if its jobs can't start for another reason.
	Blocked bool
}

// Division is the state of one service. Virtual time is in core-seconds for each unit of weight. The
// zero value is a service that isn't full.
type Division struct {
	virtualTime float64
	turn        float64 // duration of a turn in virtual time, 0 if fewer than two workspaces wait
	flows       map[string]*flow
	begunAt     time.Time // last round
	arrivedJobs float64   // recently
	period      int       // number of resets
}

// Charge is work in core-seconds that a workspace was charged with by an estimate. The zero value is none.
type Charge struct {
	work   float64
	period int // of the division
}

// flow is the state of one workspace.
type flow struct {
	weight  float64
	arrived float64 // recent work
	// finish is the virtual time up to which the workspace has had its share, if isActive is set.
	finish   float64
	isActive bool    // it waits, or is ahead of the others
	ahead    float64 // work of its jobs that were given a turn in this round
	waits    bool
	blocked  bool
	hasMore  bool // it asks for more than the others
}

// Begin begins a new round: the jobs that wait are given their turns anew. capacity is that of the
// service in cores.
func (d *Division) Begin(waiting []Demand, capacity float64, now time.Time) {
	d.decay(now)
	for _, w := range waiting {
		if w.Weight > 0 {
			f := d.flow(w.Workspace, w.Weight)
			f.waits, f.blocked = true, w.Blocked
		}
	}
	d.findExcess()
	d.advance(waiting)
	total, n := 0.0, 0
	for _, f := range d.flows {
		if f.waits {
			total += f.weight
			n++
		}
	}
	d.turn = 0
	if n > 1 && capacity > 0 {
		d.turn = turnDuration.Seconds() * capacity / total
	}
	d.limitLeads()
}

// decay reduces the weight of past arrivals, and drops the flows of which nothing is left.
func (d *Division) decay(now time.Time) {
	factor := 1.0
	if !d.begunAt.IsZero() {
		factor = math.Exp(-max(0, now.Sub(d.begunAt).Seconds()) / arrivalMemory.Seconds())
	}
	d.begunAt = now
	d.arrivedJobs *= factor
	for name, f := range d.flows {
		f.arrived *= factor
		f.ahead, f.waits, f.blocked, f.hasMore = 0, false, false, false
		if !f.isActive && f.arrived < minArrived {
			delete(d.flows, name)
		}
	}
}

// minArrived is the work, in core-seconds, below which a workspace is forgotten.
const minArrived = 0.01

// findExcess marks the workspaces that ask for more than the others for their weight.
func (d *Division) findExcess() {
	work, weight := 0.0, 0.0
	for _, f := range d.flows {
		work += f.arrived
		weight += f.weight
	}
	if d.arrivedJobs <= 0 {
		return
	}
	meanJob := work / d.arrivedJobs
	for _, f := range d.flows {
		if others := weight - f.weight; others > 0 {
			due := f.weight * (work - f.arrived) / others / meanJob
			f.hasMore = f.arrived/meanJob > excessFactor*due+excessDeviations*math.Sqrt(due)+excessJobs
		}
	}
}

// advance moves the virtual time to the mean of those that ask for no more than others, or to the least if
// there is none, and lets those that begin to wait join there.
func (d *Division) advance(waiting []Demand) {
	sum, weight, least := 0.0, 0.0, math.Inf(1)
	for _, w := range waiting {
		f := d.flows[w.Workspace]
		if w.Weight <= 0 || w.Blocked || !f.isActive {
			continue
		}
		least = min(least, f.finish)
		if !f.hasMore {
			sum += f.finish * f.weight
			weight += f.weight
		}
	}
	switch {
	case weight > 0:
		d.virtualTime = max(d.virtualTime, sum/weight)
	case !math.IsInf(least, 1):
		d.virtualTime = max(d.virtualTime, least)
	}
}

// limitLeads limits how far the workspaces that wait are ahead or behind. Blocked ones are not behind. The
// others are inactive unless they are ahead.
func (d *Division) limitLeads() {
	lead := d.turn * maxLead.Seconds() / turnDuration.Seconds()
	for _, f := range d.flows {
		if !f.isActive || !f.waits && f.finish <= d.virtualTime {
			f.finish, f.isActive = d.virtualTime, f.waits
		}
		if f.blocked {
			f.finish = max(f.finish, d.virtualTime)
		}
		if d.turn > 0 {
			f.finish = min(max(f.finish, d.virtualTime-lead), d.virtualTime+lead)
		}
	}
}

// Reset forgets what workspaces have had. It is called while the service isn't full.
func (d *Division) Reset(now time.Time) {
	d.decay(now)
	d.period++
	d.virtualTime, d.turn = 0, 0
	for _, f := range d.flows {
		f.finish, f.isActive = 0, false
	}
}

// IsContended reports whether two workspaces or more wait.
func (d *Division) IsContended() bool { return d.turn > 0 }

func (d *Division) flow(workspace string, weight float64) *flow {
	f := d.flows[workspace]
	if f == nil {
		if d.flows == nil {
			d.flows = map[string]*flow{}
		}
		f = &flow{}
		d.flows[workspace] = f
	}
	f.weight = weight
	return f
}

// Arrive records work, in core-seconds, that a workspace has handed in.
func (d *Division) Arrive(workspace string, weight, work float64) {
	if weight <= 0 {
		return
	}
	d.flow(workspace, weight).arrived += work
	d.arrivedJobs++
}

// Turn returns the turn of a workspace's next job, with the given work in core-seconds. Jobs with a lower
// turn go first. It must be called for the jobs of a workspace in their own order. The jobs of workspaces
// that ask for no more than others are always in the first turn, as are those without a weight.
func (d *Division) Turn(workspace string, weight, work float64) int {
	if d.turn == 0 || weight <= 0 {
		return 0
	}
	f := d.flow(workspace, weight)
	if !f.hasMore {
		return 0
	}
	start := max(f.finish-d.virtualTime, 0) + f.ahead/f.weight
	f.ahead += work
	return int(start / d.turn)
}

// Charge adds the estimated work of a run, in core-seconds, to what a workspace has had.
func (d *Division) Charge(workspace string, weight, work float64) Charge {
	if weight <= 0 || work == 0 {
		return Charge{}
	}
	d.add(workspace, weight, work)
	return Charge{work: work, period: d.period}
}

// Settle replaces a charge by the work that the run took. A charge that a reset has forgotten stays so: the
// difference would be credit for room that cost nothing, or a debt for it.
func (d *Division) Settle(workspace string, weight float64, c Charge, work float64) {
	if weight > 0 && c.work > 0 && c.period == d.period {
		d.add(workspace, weight, work-c.work)
	}
}

func (d *Division) add(workspace string, weight, work float64) {
	f := d.flow(workspace, weight)
	if !f.isActive {
		f.finish, f.isActive = d.virtualTime, true
	}
	f.finish += work / weight
}

// Share is what one workspace has had of a full service.
type Share struct {
	Workspace string
	// Lead is the work that it has had ahead of the others, as the time that the full service needs to give
	// them as much.
	Lead time.Duration
	// Waits is set if it has jobs that wait, HasMore if it asks for more than the others for its weight.
	Waits, HasMore bool
}

// Shares returns the workspaces that wait or have had more than others, in no order.
func (d *Division) Shares() []Share {
	list := make([]Share, 0, len(d.flows))
	for name, f := range d.flows {
		if !f.isActive {
			continue
		}
		s := Share{Workspace: name, Waits: f.waits, HasMore: f.hasMore}
		if d.turn > 0 {
			s.Lead = time.Duration((f.finish - d.virtualTime) / d.turn * float64(turnDuration))
		}
		list = append(list, s)
	}
	return list
}
