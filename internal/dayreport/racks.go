package dayreport

import (
	"slices"
	"time"
)

// rackTracker holds since when racks are suspect.
type rackTracker map[ownedRack]time.Time

// ownedRack identifies a rack that the owner of a partition watches.
type ownedRack struct {
	partition int
	rack      string
}

// record records the beginning or the end of a suspicion.
func (t rackTracker) record(l Line, c *conditions) {
	rack := ownedRack{l.Partition, l.Rack}
	switch l.Message {
	case "rack-suspect":
		t[rack] = l.At
	case "rack-trusted":
		if since, ok := t[rack]; ok {
			c.rackDark[l.Partition] = append(c.rackDark[l.Partition], period{since, l.At})
			delete(t, rack)
		}
	}
}

// finish ends the suspicions that last until the end of the logs, and sorts all by their start.
func (t rackTracker) finish(c *conditions, last time.Time) {
	for rack, since := range t {
		c.rackDark[rack.partition] = append(c.rackDark[rack.partition], period{since, last})
	}
	for _, periods := range c.rackDark {
		slices.SortFunc(periods, func(a, b period) int { return a.from.Compare(b.from) })
	}
}
