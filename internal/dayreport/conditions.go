package dayreport

import "time"

// Cause is what a refusal or a late start is put down to.
type Cause string

// The causes.
const (
	StoreAway   Cause = "store away"
	OwnerAway   Cause = "owner away"
	OwnerBehind Cause = "owner behind"
	VMsComing   Cause = "VMs on their way"
	NoConfig    Cause = "no configuration"
	Full        Cause = "no room"
	Other       Cause = "other"
)

// Times of conditions that have no line at one of their ends.
const (
	// behindFor is the interval that a line on an owner that is behind covers.
	behindFor = time.Second
	// comingFor is how long a VM counts as on its way to a pool after its order.
	comingFor = 3 * time.Second
)

// heldShare is the least part of a wait for which a condition must have held to be its
// cause.
const heldShare = 0.25

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

// covered is how much of a span others cover, which are in the order of their begins.
func covered(with span, others []span) time.Duration {
	var sum time.Duration
	for _, s := range others {
		sum += with.overlap(s)
		if s.to.After(with.from) {
			with.from = s.to // what is counted is not counted again
		}
	}
	return sum
}

// conditions are what held when, as the lines tell it.
type conditions struct {
	storeAway   map[string][]span // by node
	ownerAway   map[int][]span    // by partition of jobs
	ownerBehind map[int][]span
	vmsComing   map[string][]span // by pool
}

// ownership follows who owns the partitions of jobs.
type ownership struct {
	owner map[int]string    // the latest to have taken it over
	left  map[int]time.Time // when that one has left it, by its own word
	heard map[string]time.Time
	begun time.Time
}

// conditionsOf goes through lines in the order of their times, and returns the takeovers,
// too.
func conditionsOf(lines []Line) (*conditions, []Takeover) {
	c := &conditions{
		storeAway:   map[string][]span{},
		ownerAway:   map[int][]span{},
		ownerBehind: map[int][]span{},
		vmsComing:   map[string][]span{},
	}
	o := &ownership{owner: map[int]string{}, left: map[int]time.Time{}, heard: map[string]time.Time{}, begun: lines[0].At}
	away := map[string]time.Time{}
	var takeovers []Takeover
	for _, l := range lines {
		if since, ok := away[l.Node]; ok && (l.Message == "store answers again" || l.Message == "started") {
			c.storeAway[l.Node] = append(c.storeAway[l.Node], span{since, l.At})
			delete(away, l.Node)
		}
		switch l.Message {
		case "started":
			o.restarted(l.Node)
		case "store does not answer":
			away[l.Node] = l.At.Add(-time.Duration(l.SinceMS) * time.Millisecond)
		case "owner is behind":
			c.ownerBehind[l.Partition] = append(c.ownerBehind[l.Partition], span{l.At.Add(-behindFor), l.At})
		case "VM ordered":
			if !l.Maintain && l.Outcome == "ok" {
				c.vmsComing[l.Pool] = append(c.vmsComing[l.Pool], span{l.At, l.At.Add(comingFor)})
			}
		case "partition left":
			o.leaves(l)
		case "partition taken over":
			t := o.takenOver(l)
			c.ownerAway[l.Partition] = append(c.ownerAway[l.Partition], span{t.At.Add(-t.Gap), t.At})
			takeovers = append(takeovers, t)
		}
		o.heard[l.Node] = l.At
	}
	last := lines[len(lines)-1].At
	for node, since := range away {
		c.storeAway[node] = append(c.storeAway[node], span{since, last})
	}
	return c, takeovers
}

// restarted takes that a node's process has begun. What the one before owned it has left
// with its last line, if not by its word.
func (o *ownership) restarted(node string) {
	for partition, owner := range o.owner {
		if _, ok := o.left[partition]; owner == node && !ok {
			o.left[partition] = o.heard[node]
		}
	}
}

// leaves takes a node's word that it has left a partition, which may come after the next
// owner's.
func (o *ownership) leaves(l Line) {
	if o.owner[l.Partition] == l.Node {
		o.left[l.Partition] = l.At
	}
}

// takenOver takes that a node owns a partition now. Nobody owned it since the last owner
// left it or, if that one left no word, since its last line.
func (o *ownership) takenOver(l Line) Takeover {
	since := o.begun
	if before, ok := o.owner[l.Partition]; ok {
		since = o.heard[before]
	}
	if at, ok := o.left[l.Partition]; ok {
		since = at
		delete(o.left, l.Partition)
	}
	o.owner[l.Partition] = l.Node
	return Takeover{At: l.At, Partition: l.Partition, Node: l.Node, Gap: l.At.Sub(since), HandedOver: l.Handed}
}

// causeOf returns what a job most likely waited for that has waited until a line of its
// owner: the condition that held longest meanwhile, if for a good part of the wait.
func (c *conditions) causeOf(l Line, service string) Cause {
	waited := span{l.At.Add(-time.Duration(l.AgeMS) * time.Millisecond), l.At}
	cause, most := Full, time.Duration(heldShare*float64(waited.to.Sub(waited.from)))
	for _, held := range []struct {
		cause Cause
		spans []span
	}{
		{StoreAway, c.storeAway[l.Node]},
		{OwnerAway, c.ownerAway[l.Partition]},
		{OwnerBehind, c.ownerBehind[l.Partition]},
		{VMsComing, c.vmsComing[service]},
	} {
		if d := covered(waited, held.spans); d > most {
			cause, most = held.cause, d
		}
	}
	return cause
}
