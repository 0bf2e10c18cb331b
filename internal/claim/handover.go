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
	// Until is when the members removed up to this change had stopped granting
	// at the latest, by their own wall clocks: see Watch.
	Until time.Time
}

// keyRange is the keys that Owner owns among Members. The zero keyRange is all
// keys.
type keyRange struct {
	Owner   string
	Members []string
}

func (r keyRange) has(k Key) bool { return ownerOf(r.Members, k) == r.Owner }

// Floor marks keys whose claims are lost: those of its range that were minted
// up to Until.
type Floor struct {
	Owner   string
	Members []string
	Until   time.Time
}

func (f Floor) has(k Key) bool {
	return !k.Minted().After(f.Until) && keyRange{f.Owner, f.Members}.has(k)
}

// Debt names claims that the member has yet to get from Source before it may
// grant the keys concerned.
type Debt struct {
	// Offset is the change that gave the member the keys.
	Offset uint64
	Source string
	// Lost is the owner that was lost with its claims, when Source is asked for
	// what it may hold from an earlier time; empty when Source was the owner.
	Lost string
}

type debt struct {
	Debt
	keys keyRange // that cannot be granted meanwhile
	pull PullRequest
	// removed is set once Source is no member; it is given up at lapses, on the
	// monotonic clock, and floor then bounds what it granted.
	removed bool
	lapses  time.Duration
	floor   time.Time
}

// PullRequest asks Source for its records of the keys that Owner owns among
// Members.
type PullRequest struct {
	Source string
	Puller string
	// Offset is the change that Source must have applied.
	Offset  uint64
	Owner   string
	Members []string
	// Whole asks Source to answer only once it has got everything that it is
	// owed from changes before Offset.
	Whole bool
}

// Join makes the Owner a member: before are the members before the change. With
// none before, whatever earlier members granted is forgotten, and all keys
// minted until now get a floor.
func (o *Owner) Join(now Instant, before []string, c Change) {
	o.members = sorted(before)
	o.Apply(now, c)
	for _, m := range before {
		if !contains(c.Removed, m) {
			o.owe(c.Offset, m, keyRange{m, sorted(before)})
		}
	}
	if len(before) == 0 {
		o.floors = append(o.floors, Floor{Until: o.floorOf(c.Until)})
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
		o.owe(c.Offset, m, keyRange{m, before})
	}
	for i := range o.debts {
		if d := &o.debts[i]; contains(c.Removed, d.Source) && !d.removed {
			d.removed = true
			d.lapses = now.Mono + o.cfg.Handover
			d.floor = o.floorOf(c.Until)
		}
	}
	o.loseHolders(c.Removed)
}

// owe notes that source owned the keys before the change at offset.
func (o *Owner) owe(offset uint64, source string, keys keyRange) {
	o.debts = append(o.debts, debt{
		Debt: Debt{Offset: offset, Source: source},
		keys: keys,
		pull: PullRequest{
			Source:  source,
			Puller:  o.self,
			Offset:  offset,
			Owner:   o.self,
			Members: o.members,
			Whole:   true,
		},
	})
}

// floorOf returns the mint time up to which a removed member may have granted
// keys. It granted only what was minted up to its own clock plus Ahead, and only
// while its lease held by that clock, which was until the given time. This
// member's clock plays no part. Skew allows for a leave or a join, whose time
// may be another process's.
func (o *Owner) floorOf(until time.Time) time.Time {
	return until.Add(o.cfg.Ahead + o.cfg.Skew)
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

// PullFor returns the request that settles a debt, false when it is settled.
func (o *Owner) PullFor(d Debt) (PullRequest, bool) {
	for _, x := range o.debts {
		if x.Debt == d {
			return x.pull, true
		}
	}
	return PullRequest{}, false
}

// Lapse gives up removed members that did not hand over in time, and drops
// floors below the claim window.
func (o *Owner) Lapse(now Instant) {
	var lapsed []debt
	o.debts = slices.DeleteFunc(o.debts, func(d debt) bool {
		if !d.removed || now.Mono < d.lapses {
			return false
		}
		lapsed = append(lapsed, d)
		return true
	})
	for _, d := range lapsed {
		o.floors = append(o.floors, Floor{Owner: d.keys.Owner, Members: d.keys.Members, Until: d.floor})
		if d.Lost == "" {
			o.askAll(d)
		}
	}
	o.floors = slices.DeleteFunc(o.floors, func(f Floor) bool { return f.Until.Before(o.dropped) })
}

// askAll makes every member owe what it holds of a lost owner's keys. The lost
// one may have been owed claims itself: its predecessor may still be a member
// that has not heard of it, and grants its keys. Those that were removed are
// below the floor; the others must say that they know better, and what they
// granted. They need not wait for what they are owed themselves, since all who
// could owe it are asked.
func (o *Owner) askAll(lost debt) {
	for _, m := range o.members {
		if m == o.self {
			continue
		}
		o.debts = append(o.debts, debt{
			Debt: Debt{Offset: lost.Offset, Source: m, Lost: lost.Source},
			keys: lost.keys,
			pull: PullRequest{
				Source:  m,
				Puller:  o.self,
				Offset:  o.offset,
				Owner:   lost.keys.Owner,
				Members: lost.keys.Members,
			},
		})
	}
}

// Blind reports whether a floor covers every key that is minted now, as after
// the first join: each not-repeatable request would be answered "unknown".
func (o *Owner) Blind(now Instant) bool {
	return slices.ContainsFunc(o.floors, func(f Floor) bool {
		return f.Owner == "" && f.Until.After(now.Wall)
	})
}

// Floors returns the number of floors.
func (o *Owner) Floors() int { return len(o.floors) }

func (o *Owner) indebted(k Key) bool {
	return slices.ContainsFunc(o.debts, func(d debt) bool { return d.keys.has(k) })
}

func (o *Owner) floored(k Key) bool {
	return slices.ContainsFunc(o.floors, func(f Floor) bool { return f.has(k) })
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

// Pull hands over what is asked for. After PullDone this member grants none of
// those keys: it goes by a membership in which they are the puller's or a later
// owner's, and gets them back only by a pull of its own.
//
// The keys are computed from the members that the puller names, not from the
// present ones: when a later change moved a key on, its new owner pulls it from
// the puller, who must have got it.
func (o *Owner) Pull(req PullRequest) (Handover, PullStatus) {
	if o.offset < req.Offset {
		return Handover{}, PullLater
	}
	if !contains(o.members, req.Puller) {
		return Handover{}, PullRefused
	}
	if req.Whole && slices.ContainsFunc(o.debts, func(d debt) bool { return d.Offset < req.Offset }) {
		return Handover{}, PullLater
	}
	h := Handover{Floors: slices.Clone(o.floors), Dropped: o.dropped}
	keys := keyRange{req.Owner, req.Members}
	for _, r := range o.table.records {
		if keys.has(r.Key) {
			h.Records = append(h.Records, *r)
			r.handed = o.owner(r.Key) != o.self
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
		if x.Owner == f.Owner && x.Until.Equal(f.Until) && slices.Equal(x.Members, f.Members) {
			return
		}
	}
	o.floors = append(o.floors, f)
}

// merge takes a record from an old owner. A record that is here already and was
// handed over since gives way; otherwise the one that says more of a run wins.
func (o *Owner) merge(in *Record) {
	in.handed = false
	if in.State == StateInProgress && !contains(o.members, in.Attempt.Holder) {
		in.State = StateUnknown
		in.Reason = ReasonHolderLost
	}
	here := o.table.get(in.Key)
	if here != nil {
		in.endIf(here)
		here.endIf(in)
		if !here.handed && here.State > in.State {
			return
		}
		if here.State == StateRan && in.State != StateRan {
			return
		}
	}
	answer := in.Answer
	in.Answer = nil
	if here != nil {
		in.Answer = here.Answer
	}
	o.table.put(in)
	o.table.keep(in, answer, o.cfg.MaxAnswer, o.cfg.MaxAnswers)
}

// endIf releases the record's attempt when the other record knows that it ended
// without a run.
func (r *Record) endIf(other *Record) {
	if r.State == StateInProgress && other.releasedBefore(r.Attempt) {
		r.release(r.Attempt)
	}
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}

func without(names, removed []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return contains(removed, n) })
}
