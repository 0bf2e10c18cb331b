// Package workshare divides a service that is full among workspaces: start-time fair queueing of work,
// in core-seconds, by weight. A workspace that is the only one to wait uses the whole service, and pays
// nothing for it once others wait, too.
package workshare

import (
	"math"
	"time"
)

const (
	// turnDuration is the time of the full service that one turn of all waiting workspaces takes. It
	// bounds by how much their shares differ, and leaves the order within a turn to other criteria.
	turnDuration = 500 * time.Millisecond
	// maxLead bounds the work that a workspace has had ahead of the others, as a time of the full service.
	// A single job may be larger than what a small workspace is due in many seconds.
	maxLead = 4 * time.Second
)

// Demand is a workspace whose jobs wait for capacity.
type Demand struct {
	Workspace string
	Weight    float64
	// Blocked is set if its jobs can't start for another reason. It earns no right to capacity meanwhile.
	Blocked bool
}

// Division is the state of one service. Virtual time is in core-seconds for each unit of weight. The
// zero value is a service that isn't full.
type Division struct {
	virtualTime float64
	turn        float64 // duration of a turn in virtual time, 0 if fewer than two workspaces wait
	flows       map[string]*flow
}

// flow is the state of one workspace. It is kept while the workspace waits or has had more than others.
type flow struct {
	weight float64
	// finish is the virtual time up to which the workspace has had its share.
	finish float64
	ahead  float64 // work of its jobs that were given a turn in this round
	// waits is set if the workspace waits in this round, waited if it waited in the last one.
	waits, waited bool
}

// Begin begins a new round: the jobs that wait are given their turns anew. capacity is that of the
// service in cores.
func (d *Division) Begin(waiting []Demand, capacity float64) {
	for _, f := range d.flows {
		f.ahead, f.waited, f.waits = 0, f.waits, false
	}
	total := d.advance(waiting)
	d.turn = 0
	if total > 0 && capacity > 0 {
		d.turn = turnDuration.Seconds() * capacity / total
	}
	d.limitLeads()
}

// advance moves the virtual time to that of the workspace with the least among those that have waited
// since the last round: those that come now join there. It returns the weight of all that wait.
func (d *Division) advance(waiting []Demand) (totalWeight float64) {
	stayed, any := math.Inf(1), math.Inf(1)
	for _, w := range waiting {
		if w.Weight <= 0 {
			continue
		}
		f := d.flow(w.Workspace, w.Weight)
		f.waits = true
		totalWeight += w.Weight
		if w.Blocked {
			continue
		}
		any = min(any, f.finish)
		if f.waited {
			stayed = min(stayed, f.finish)
		}
	}
	for _, earliest := range []float64{stayed, any} {
		if !math.IsInf(earliest, 1) {
			d.virtualTime = max(d.virtualTime, earliest)
			break
		}
	}
	return totalWeight
}

// limitLeads drops the flows that are level with the others and don't wait, and limits how far the others
// are ahead.
func (d *Division) limitLeads() {
	lead := d.turn * maxLead.Seconds() / turnDuration.Seconds()
	n := 0
	for name, f := range d.flows {
		f.finish = max(f.finish, d.virtualTime)
		if d.turn > 0 {
			f.finish = min(f.finish, d.virtualTime+lead)
		}
		if f.waits {
			n++
		} else if f.finish == d.virtualTime {
			delete(d.flows, name)
		}
	}
	if n < 2 {
		d.turn = 0
	}
}

// Reset forgets what workspaces have had. It is called while the service isn't full.
func (d *Division) Reset() { *d = Division{} }

// IsContended reports whether two workspaces or more wait.
func (d *Division) IsContended() bool { return d.turn > 0 }

func (d *Division) flow(workspace string, weight float64) *flow {
	f := d.flows[workspace]
	if f == nil {
		if d.flows == nil {
			d.flows = map[string]*flow{}
		}
		f = &flow{finish: d.virtualTime}
		d.flows[workspace] = f
	}
	f.weight = weight
	return f
}

// Turn returns the turn of a workspace's next job, with the given work in core-seconds. Jobs with a lower
// turn go first. It must be called for the jobs of a workspace in their own order. The jobs of a workspace
// without a weight are always in the first turn.
func (d *Division) Turn(workspace string, weight, work float64) int {
	if d.turn == 0 || weight <= 0 {
		return 0
	}
	f := d.flow(workspace, weight)
	start := f.finish + f.ahead/f.weight
	f.ahead += work
	return int((start - d.virtualTime) / d.turn)
}

// Charge adds work in core-seconds to what a workspace has had. Negative work takes an estimate back.
func (d *Division) Charge(workspace string, weight, work float64) {
	if weight <= 0 || work == 0 {
		return
	}
	f := d.flow(workspace, weight)
	f.finish = max(f.finish+work/weight, 0)
}

// Share is what one workspace has had of a full service.
type Share struct {
	Workspace string
	// Lead is the work that it has had ahead of the waiting workspace with the least, as the time that
	// the full service needs to give the others as much.
	Lead  time.Duration
	Waits bool
}

// Shares returns the workspaces that wait or have had more than others, in no order.
func (d *Division) Shares() []Share {
	list := make([]Share, 0, len(d.flows))
	for name, f := range d.flows {
		s := Share{Workspace: name, Waits: f.waits}
		if d.turn > 0 {
			s.Lead = time.Duration((f.finish - d.virtualTime) / d.turn * float64(turnDuration))
		}
		list = append(list, s)
	}
	return list
}
