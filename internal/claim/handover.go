package claim

import (
	"slices"
	"time"
)

// Change is one change of the membership, at one offset of the log. Changes
// are applied one by one and none may be left out: a member that joined and
// was removed between two looks may have granted claims.
type Change struct {
	Offset  uint64
	Joined  []string
	Removed []string
	// Until is when the removed members had stopped granting at the latest, by
	// their own wall clocks: see Watch.
	Until time.Time
}

// Debt is a set of claims that the member has yet to get from Source before it
// may grant the keys that Source owned before the change at Offset.
type Debt struct {
	Offset uint64
	Source string
}

type debt struct {
	Debt
	before []string // members before the change
	// lapses is when a removed source is given up, on the monotonic clock.
	removed bool
	lapses  time.Duration
	floor   time.Time
}

// Floor marks keys whose claims are lost: those that Source owned among
// Members and that were minted up to Until.
type Floor struct {
	Source  string
	Members []string
	Until   time.Time
}

// Join makes the Owner a member: before are the members before the change.
func (o *Owner) Join(now Instant, before []string, c Change) {
	o.members = slices.Clone(before)
	slices.Sort(o.members)
	o.Apply(now, c)
	for _, m := range before {
		if !contains(c.Removed, m) {
			o.debts = append(o.debts, debt{Debt: Debt{Offset: c.Offset, Source: m}, before: sorted(before)})
		}
	}
}

// Apply takes a change of the membership. Keys move from removed members to
// the others and from the others to joined members, never otherwise.
func (o *Owner) Apply(now Instant, c Change) {
	before := o.members
	o.members = without(before, c.Removed)
	for _, m := range c.Joined {
		if !contains(o.members, m) {
			o.members = append(o.members, m)
		}
	}
	slices.Sort(o.members)
	o.offset = c.Offset
	if contains(c.Removed, o.self) {
		o.retired = true
	}
	for _, m := range c.Removed {
		o.loseSource(now, m, c.Until)
		o.debts = append(o.debts, o.lapsing(now, c.Until, debt{Debt: Debt{Offset: c.Offset, Source: m}, before: before}))
	}
	o.loseHolders(c.Removed)
}

// lapsing sets when the debt to a removed source turns into a floor.
//
// The removed member granted only keys minted up to its own clock plus Ahead,
// and only while its lease held by that clock, which was until the given time
// at the latest. This member's clock plays no part. Skew allows for a leave or
// a join, whose time may be another process's.
func (o *Owner) lapsing(now Instant, until time.Time, d debt) debt {
	d.removed = true
	d.lapses = now.Mono + o.cfg.Handover
	d.floor = until.Add(o.cfg.Ahead + o.cfg.Skew)
	return d
}

// loseSource makes the debts to a member lapse that was removed before it
// handed over.
func (o *Owner) loseSource(now Instant, m string, until time.Time) {
	for i, d := range o.debts {
		if d.Source == m && !d.removed {
			o.debts[i] = o.lapsing(now, until, d)
		}
	}
}

// loseHolders marks the claims of removed members. A late report still ends
// them.
func (o *Owner) loseHolders(removed []string) {
	for _, r := range o.table.records {
		if r.State == StateInProgress && contains(removed, r.Attempt.Holder) {
			r.State = StateUnknown
			r.Reason = ReasonHolderLost
		}
	}
}

// Debts returns what the member has yet to pull.
func (o *Owner) Debts() []Debt {
	list := make([]Debt, len(o.debts))
	for i, d := range o.debts {
		list[i] = d.Debt
	}
	return list
}

// Lapse turns debts to removed members that did not hand over in time into
// floors, and drops floors below the claim window.
func (o *Owner) Lapse(now Instant) {
	o.debts = slices.DeleteFunc(o.debts, func(d debt) bool {
		lapsed := d.removed && now.Mono >= d.lapses
		if lapsed {
			o.floors = append(o.floors, Floor{Source: d.Source, Members: d.before, Until: d.floor})
		}
		return lapsed
	})
	o.floors = slices.DeleteFunc(o.floors, func(f Floor) bool {
		return f.Until.Before(o.dropped)
	})
}

// Floors returns the number of floors.
func (o *Owner) Floors() int { return len(o.floors) }

func (o *Owner) indebted(k Key) bool {
	for _, d := range o.debts {
		if ownerOf(d.before, k) == d.Source {
			return true
		}
	}
	return false
}

func (o *Owner) floored(k Key) bool {
	minted := k.Minted()
	for _, f := range o.floors {
		if !minted.After(f.Until) && ownerOf(f.Members, k) == f.Source {
			return true
		}
	}
	return false
}

// PullStatus is an old owner's answer to a pull.
type PullStatus uint8

// Answers to a pull.
const (
	// PullLater: the member has not applied the change yet, or waits for
	// claims of an earlier change itself.
	PullLater PullStatus = iota
	// PullDone: the handover is complete, and the member grants none of its
	// keys any more.
	PullDone
	// PullRefused: the asking member has been removed.
	PullRefused
)

// Handover is what an old owner gives to the new one.
type Handover struct {
	Records []Record
	Floors  []Floor
	// Dropped is the mint time up to which the old owner may have dropped
	// records.
	Dropped time.Time
}

// Pull hands the claims that puller owns since the change at offset over to
// it. After PullDone this member grants none of them: it goes by a membership
// in which they are the puller's, and gets them back only by a pull of its own.
func (o *Owner) Pull(offset uint64, puller string) (Handover, PullStatus) {
	if o.offset < offset {
		return Handover{}, PullLater
	}
	if !contains(o.members, puller) {
		return Handover{}, PullRefused
	}
	for _, d := range o.debts {
		if d.Offset < offset {
			return Handover{}, PullLater
		}
	}
	h := Handover{Floors: slices.Clone(o.floors), Dropped: o.dropped}
	for _, r := range o.table.records {
		if o.owner(r.Key) == puller {
			h.Records = append(h.Records, *r)
		}
	}
	return h, PullDone
}

// Settle takes the handover for a debt.
func (o *Owner) Settle(d Debt, h Handover) {
	i := slices.IndexFunc(o.debts, func(x debt) bool { return x.Debt == d })
	if i < 0 {
		return
	}
	o.debts = slices.Delete(o.debts, i, i+1)
	for _, f := range h.Floors {
		o.addFloor(f)
	}
	o.drop(h.Dropped)
	for i := range h.Records {
		o.merge(&h.Records[i])
	}
}

func (o *Owner) addFloor(f Floor) {
	for _, x := range o.floors {
		if x.Source == f.Source && x.Until.Equal(f.Until) && slices.Equal(x.Members, f.Members) {
			return
		}
	}
	o.floors = append(o.floors, f)
}

// merge takes a record from an old owner. What is here already is either a
// report that came to this member first, or a leftover from an earlier time as
// owner; a report of an attempt's end is final, anything else gives way.
func (o *Owner) merge(in *Record) {
	here := o.table.get(in.Key)
	if here != nil && (here.State == StateRan || here.State == StateUnknown) && in.State != StateRan {
		return
	}
	if here != nil && in.State == StateInProgress && here.releasedBefore(in.Attempt) {
		return
	}
	if in.State == StateInProgress && !contains(o.members, in.Attempt.Holder) {
		in.State = StateUnknown
		in.Reason = ReasonHolderLost
	}
	answer := in.Answer
	in.Answer = nil
	if here != nil {
		in.Answer = here.Answer
	}
	o.table.put(in)
	o.table.keep(in, answer, o.cfg.MaxAnswer, o.cfg.MaxAnswers)
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}

func without(names, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return contains(removed, n) })
}
