package dayreport

import "time"

// Cause is what a refusal or a late start is put down to.
type Cause string

// The causes.
const (
	StoreUnavailable Cause = "store away"
	OwnerUnavailable Cause = "owner away"
	OwnerOverloaded  Cause = "owner behind"
	VMsInTransit     Cause = "VMs on their way"
	NoConfiguration  Cause = "no configuration"
	NoFreeCapacity   Cause = "no room"
	OtherCause       Cause = "other"
)

// Times of conditions that have no line at one of their ends.
const (
	// overloadLineInterval is the interval that a line on an owner that is behind covers.
	overloadLineInterval = time.Second
	// vmTransitTime is how long a VM counts as on its way to a pool after its order.
	vmTransitTime = 3 * time.Second
)

// minCauseShare is the least part of a wait for which a condition must have held to be its
// cause.
const minCauseShare = 0.25

// span is a time in which a condition held.
type span struct{ from, to time.Time }

// overlap is how long two spans have in common.
func (s span) overlap(o span) time.Duration {
	from, to := s.from, s.to
	if o.from.After(from) {
		from = o.from
	}
	if o.to.Before(to) {
		to = o.to
	}
	return max(0, to.Sub(from))
}

// coveredDuration is how much of a span others cover, which are in the order of their begins.
func coveredDuration(window span, others []span) time.Duration {
	var sum time.Duration
	for _, s := range others {
		sum += window.overlap(s)
		if s.to.After(window.from) {
			window.from = s.to // what is counted is not counted again
		}
	}
	return sum
}

// conditions are what held when, as the lines tell it.
type conditions struct {
	storeUnavailable map[string][]span // by node
	ownerUnavailable map[int][]span    // by partition of jobs
	ownerOverloaded  map[int][]span
	vmsInTransit     map[string][]span // by pool
}

// ownership follows who owns the partitions of jobs.
type ownership struct {
	owner       map[int]string    // the latest to have taken it over
	leftAt      map[int]time.Time // when that one has left it, by its own word
	lastLineAt  map[string]time.Time
	firstLineAt time.Time
}

// collectConditions goes through lines in the order of their times, and returns the takeovers,
// too.
func collectConditions(lines []Line) (*conditions, []Takeover) {
	c := &conditions{
		storeUnavailable: map[string][]span{},
		ownerUnavailable: map[int][]span{},
		ownerOverloaded:  map[int][]span{},
		vmsInTransit:     map[string][]span{},
	}
	o := &ownership{owner: map[int]string{}, leftAt: map[int]time.Time{}, lastLineAt: map[string]time.Time{}, firstLineAt: lines[0].At}
	storeLostAt := map[string]time.Time{}
	var takeovers []Takeover
	for _, l := range lines {
		if since, ok := storeLostAt[l.Node]; ok && (l.Message == "store answers again" || l.Message == "started") {
			c.storeUnavailable[l.Node] = append(c.storeUnavailable[l.Node], span{since, l.At})
			delete(storeLostAt, l.Node)
		}
		switch l.Message {
		case "started":
			o.nodeRestarted(l.Node)
		case "store does not answer":
			storeLostAt[l.Node] = l.At.Add(-time.Duration(l.SinceMS) * time.Millisecond)
		case "owner is behind":
			c.ownerOverloaded[l.Partition] = append(c.ownerOverloaded[l.Partition], span{l.At.Add(-overloadLineInterval), l.At})
		case "VM ordered":
			if !l.Maintenance && l.Outcome == "ok" {
				c.vmsInTransit[l.Pool] = append(c.vmsInTransit[l.Pool], span{l.At, l.At.Add(vmTransitTime)})
			}
		case "partition left":
			o.partitionLeft(l)
		case "partition taken over":
			t := o.takenOverBy(l)
			c.ownerUnavailable[l.Partition] = append(c.ownerUnavailable[l.Partition], span{t.At.Add(-t.Gap), t.At})
			takeovers = append(takeovers, t)
		}
		o.lastLineAt[l.Node] = l.At
	}
	last := lines[len(lines)-1].At
	for node, since := range storeLostAt {
		c.storeUnavailable[node] = append(c.storeUnavailable[node], span{since, last})
	}
	return c, takeovers
}

// nodeRestarted takes that a node's process has begun. What the one before owned it has left
// with its last line, if not by its word.
func (o *ownership) nodeRestarted(node string) {
	for partition, owner := range o.owner {
		if _, ok := o.leftAt[partition]; owner == node && !ok {
			o.leftAt[partition] = o.lastLineAt[node]
		}
	}
}

// partitionLeft takes a node's word that it has left a partition, which may come after the next
// owner's.
func (o *ownership) partitionLeft(l Line) {
	if o.owner[l.Partition] == l.Node {
		o.leftAt[l.Partition] = l.At
	}
}

// takenOverBy takes that a node owns a partition now. Nobody owned it since the last owner
// left it or, if that one left no word, since its last line.
func (o *ownership) takenOverBy(l Line) Takeover {
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

// startDelayCause returns what a job most likely waited for that has waited until a line of its
// owner: the condition that held longest meanwhile, if for a good part of the wait.
func (c *conditions) startDelayCause(l Line, service string) Cause {
	waited := span{l.At.Add(-time.Duration(l.AgeMS) * time.Millisecond), l.At}
	cause, longest := NoFreeCapacity, time.Duration(minCauseShare*float64(waited.to.Sub(waited.from)))
	for _, candidate := range []struct {
		cause Cause
		spans []span
	}{
		{StoreUnavailable, c.storeUnavailable[l.Node]},
		{OwnerUnavailable, c.ownerUnavailable[l.Partition]},
		{OwnerOverloaded, c.ownerOverloaded[l.Partition]},
		{VMsInTransit, c.vmsInTransit[service]},
	} {
		if d := coveredDuration(waited, candidate.spans); d > longest {
			cause, longest = candidate.cause, d
		}
	}
	return cause
}
