package dayreport

import (
	"slices"
	"time"
)

// Cause is what the report attributes a refusal or a slow start to.
type Cause string

// Causes of refusals and slow starts. No line shows a lack of capacity: NoFreeCapacity is assumed for
// a slow start that no other condition explains.
const (
	StoreUnavailable Cause = "store away"
	OwnerUnavailable Cause = "owner away"
	OwnerOverloaded  Cause = "owner behind"
	VMsInTransit     Cause = "VMs on their way"
	NoConfiguration  Cause = "no configuration"
	WorkspaceAtCap   Cause = "waits for its cap"
	RunsUnknown      Cause = "silent workers after a takeover"
	RackDark         Cause = "rack dark"
	NoFreeCapacity   Cause = "no room"
	NoProspect       Cause = "can't be done in time"
	OtherCause       Cause = "other"
)

// Assumed durations of conditions that are logged as a single line.
const (
	// overloadLineInterval is the time before an "owner is behind" line that the line covers.
	overloadLineInterval = time.Second
	// capLineInterval is the time before a "waits-for-cap" line that the line covers.
	capLineInterval = time.Second
	// vmTransitTime is how long a VM counts as in transit to its pool after the order.
	vmTransitTime = 3 * time.Second
)

// minCauseShare is the share of a job's wait that a condition must exceed to count as the cause of
// the slow start.
const minCauseShare = 0.25

// period is a time span in which a condition held.
type period struct{ from, to time.Time }

// overlap returns how long p and o overlap.
func (p period) overlap(o period) time.Duration {
	from, to := p.from, p.to
	if o.from.After(from) {
		from = o.from
	}
	if o.to.Before(to) {
		to = o.to
	}
	return max(0, to.Sub(from))
}

// coveredDuration returns how much of window the others cover. The others must be sorted by their
// start.
func coveredDuration(window period, others []period) time.Duration {
	var sum time.Duration
	for _, s := range others {
		sum += window.overlap(s)
		if s.to.After(window.from) {
			window.from = s.to // don't count the same time twice
		}
	}
	return sum
}

// conditions holds the periods in which each condition held, according to the log lines.
type conditions struct {
	storeUnavailable map[string][]period // by node
	ownerUnavailable map[int][]period    // by partition of the jobs topic
	ownerOverloaded  map[int][]period
	vmsInTransit     map[string][]period // by pool
	workspaceAtCap   map[capKey][]period
	// runsUnknown are the times from takeovers until all runs of earlier owners were known. Only jobs that
	// were accepted before such a time wait until its end.
	runsUnknown map[int][]period
	rackDark    map[int][]period // by partition
}

// capKey identifies a workspace's use of a partition.
type capKey struct {
	partition int
	workspace string
}

// ownershipTracker follows the owners of the partitions of the jobs topic.
type ownershipTracker struct {
	owner       map[int]string    // the node that took it over last
	leftAt      map[int]time.Time // when that node left it; see recordLeave and recordRestart
	lastLineAt  map[string]time.Time
	firstLineAt time.Time
}

func newConditions() *conditions {
	return &conditions{
		storeUnavailable: map[string][]period{},
		ownerUnavailable: map[int][]period{},
		ownerOverloaded:  map[int][]period{},
		vmsInTransit:     map[string][]period{},
		workspaceAtCap:   map[capKey][]period{},
		runsUnknown:      map[int][]period{},
		rackDark:         map[int][]period{},
	}
}

// collectConditions returns the conditions and the takeovers that lines report. The lines must
// be sorted by time and must not be empty.
func collectConditions(lines []Line) (*conditions, []Takeover) {
	c := newConditions()
	racks := rackTracker{}
	ownership := &ownershipTracker{owner: map[int]string{}, leftAt: map[int]time.Time{}, lastLineAt: map[string]time.Time{}, firstLineAt: lines[0].At}
	storeLostAt := map[string]time.Time{}
	var takeovers []Takeover
	for _, l := range lines {
		if since, ok := storeLostAt[l.Node]; ok && (l.Message == "store answers again" || l.Message == "started") {
			c.storeUnavailable[l.Node] = append(c.storeUnavailable[l.Node], period{since, l.At})
			delete(storeLostAt, l.Node)
		}
		racks.record(l, c)
		switch l.Message {
		case "started":
			ownership.recordRestart(l.Node)
		case "store does not answer":
			storeLostAt[l.Node] = l.At.Add(-time.Duration(l.SinceMS) * time.Millisecond)
		case "owner is behind":
			c.ownerOverloaded[l.Partition] = append(c.ownerOverloaded[l.Partition], period{l.At.Add(-overloadLineInterval), l.At})
		case "waits-for-cap":
			key := capKey{l.Partition, l.Workspace}
			covered := min(capLineInterval, time.Duration(l.AgeMS)*time.Millisecond)
			c.workspaceAtCap[key] = append(c.workspaceAtCap[key], period{l.At.Add(-covered), l.At})
		case "VM ordered":
			if !l.Maintenance && l.Outcome == "ok" {
				c.vmsInTransit[l.Pool] = append(c.vmsInTransit[l.Pool], period{l.At, l.At.Add(vmTransitTime)})
			}
		case "partition left":
			ownership.recordLeave(l)
		case "partition taken over":
			t := ownership.recordTakeover(l)
			c.ownerUnavailable[l.Partition] = append(c.ownerUnavailable[l.Partition], period{t.At.Add(-t.Gap), t.At})
			takeovers = append(takeovers, t)
		case "takeover-complete":
			c.runsUnknown[l.Partition] = append(c.runsUnknown[l.Partition], period{lastTakeoverAt(takeovers, l), l.At})
		}
		ownership.lastLineAt[l.Node] = l.At
	}
	last := lines[len(lines)-1].At
	racks.finish(c, last)
	for node, since := range storeLostAt {
		c.storeUnavailable[node] = append(c.storeUnavailable[node], period{since, last})
	}
	return c, takeovers
}

// lastTakeoverAt returns when the node of l took over its partition last, or the time of l if no line
// shows that.
func lastTakeoverAt(takeovers []Takeover, l Line) time.Time {
	for _, t := range slices.Backward(takeovers) {
		if t.Partition == l.Partition && t.Node == l.Node {
			return t.At
		}
	}
	return l.At
}

// recordRestart records that a new process of a node has started. Each partition that the
// previous process owned and did not leave counts as left at that process's last line.
func (o *ownershipTracker) recordRestart(node string) {
	for partition, owner := range o.owner {
		if _, ok := o.leftAt[partition]; owner == node && !ok {
			o.leftAt[partition] = o.lastLineAt[node]
		}
	}
}

// recordLeave records that a node left a partition. The line is ignored if another node has
// taken the partition over already.
func (o *ownershipTracker) recordLeave(l Line) {
	if o.owner[l.Partition] == l.Node {
		o.leftAt[l.Partition] = l.At
	}
}

// recordTakeover records that a node took a partition over and returns the takeover. The gap begins
// when the previous owner left the partition or, if it did not log that, at its last line. Without
// a previous owner, the gap begins at the first line of the logs.
func (o *ownershipTracker) recordTakeover(l Line) Takeover {
	since := o.firstLineAt
	if before, ok := o.owner[l.Partition]; ok {
		since = o.lastLineAt[before]
	}
	if at, ok := o.leftAt[l.Partition]; ok {
		since = at
		delete(o.leftAt, l.Partition)
	}
	o.owner[l.Partition] = l.Node
	return Takeover{At: l.At, Partition: l.Partition, Node: l.Node, Gap: l.At.Sub(since), HandedOver: l.HandedOver}
}

// waitedThrough returns the periods that a wait includes as a whole.
func waitedThrough(wait period, periods []period) []period {
	var included []period
	for _, p := range periods {
		if wait.from.Before(p.from) && !wait.to.Before(p.to) {
			included = append(included, p)
		}
	}
	return included
}

// slowStartCause returns the most likely cause of a job's slow start, where l is its owner's line on
// that start: the condition that held longest during the wait, if it held for more than minCauseShare
// of the wait. Otherwise, it assumes NoFreeCapacity.
func (c *conditions) slowStartCause(l Line, service string) Cause {
	waited := period{l.At.Add(-time.Duration(l.AgeMS) * time.Millisecond), l.At}
	cause, longest := NoFreeCapacity, time.Duration(minCauseShare*float64(waited.to.Sub(waited.from)))
	for _, candidate := range []struct {
		cause   Cause
		periods []period
	}{
		{StoreUnavailable, c.storeUnavailable[l.Node]},
		{OwnerUnavailable, c.ownerUnavailable[l.Partition]},
		{OwnerOverloaded, c.ownerOverloaded[l.Partition]},
		{VMsInTransit, c.vmsInTransit[service]},
		{WorkspaceAtCap, c.workspaceAtCap[capKey{l.Partition, l.Workspace}]},
		{RunsUnknown, waitedThrough(waited, c.runsUnknown[l.Partition])},
		{RackDark, c.rackDark[l.Partition]},
	} {
		if d := coveredDuration(waited, candidate.periods); d > longest {
			cause, longest = candidate.cause, d
		}
	}
	return cause
}
