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

func (r keyRange) covers(k Key) bool { return ownerOf(r.Members, k) == r.Owner }

// Floor marks keys whose claims are lost: those of its range that were minted
// up to Until.
type Floor struct {
	Owner   string
	Members []string
	Until   time.Time
}

func (f Floor) covers(k Key) bool {
	return !k.Minted().After(f.Until) && keyRange{f.Owner, f.Members}.covers(k)
}

// PendingHandover names claims that the member has yet to get from Source before it may
// grant the keys concerned.
type PendingHandover struct {
	// Offset is the change that gave the member the keys.
	Offset uint64
	Source string
	// Lost is the owner that was lost with its claims, when Source is asked for
	// what it may hold from an earlier time; empty when Source was the owner.
	Lost string
}

type pendingHandover struct {
	PendingHandover
	blockedKeys keyRange // that cannot be granted meanwhile
	request     PullRequest
	// sourceRemoved is set once Source is no member; it is given up at lapses, on the
	// monotonic clock, and floor then bounds what it granted.
	sourceRemoved bool
	abandonAt     time.Duration
	floorUntil    time.Time
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
	// RequireComplete asks Source to answer only once it has got everything that it is
	// owed from changes before Offset.
	RequireComplete bool
}

// Join makes the Owner a member: before are the members before the change. With
// none before, whatever earlier members granted is forgotten, and all keys
// minted until now get a floor.
func (o *Owner) Join(now Instant, before []string, c Change) {
	o.members = sorted(before)
	o.Apply(now, c)
	for _, m := range before {
		if !contains(c.Removed, m) {
			o.expectHandover(c.Offset, m, keyRange{m, sorted(before)})
		}
	}
	if len(before) == 0 {
		o.floors = append(o.floors, Floor{Until: o.floorTime(c.Until)})
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
		o.expectHandover(c.Offset, m, keyRange{m, before})
	}
	for i := range o.pending {
		if d := &o.pending[i]; contains(c.Removed, d.Source) && !d.sourceRemoved {
			d.sourceRemoved = true
			d.abandonAt = now.Mono + o.cfg.Handover
			d.floorUntil = o.floorTime(c.Until)
		}
	}
	o.markHoldersLost(c.Removed)
}

// expectHandover notes that source owned the keys before the change at offset.
func (o *Owner) expectHandover(offset uint64, source string, keys keyRange) {
	o.pending = append(o.pending, pendingHandover{
		PendingHandover: PendingHandover{Offset: offset, Source: source},
		blockedKeys:     keys,
		request: PullRequest{
			Source:          source,
			Puller:          o.self,
			Offset:          offset,
			Owner:           o.self,
			Members:         o.members,
			RequireComplete: true,
		},
	})
}

// floorTime returns the mint time up to which a removed member may have granted
// keys. It granted only what was minted up to its own clock plus Ahead, and only
// while its lease held by that clock, which was until the given time. This
// member's clock plays no part. Skew allows for a leave or a join, whose time
// may be another process's.
func (o *Owner) floorTime(until time.Time) time.Time {
	return until.Add(o.cfg.Ahead + o.cfg.Skew)
}

// markHoldersLost marks the claims of removed members. A late report still ends
// them.
func (o *Owner) markHoldersLost(removed []string) {
	for _, r := range o.table.records {
		if r.State == StateInProgress && contains(removed, r.Attempt.Holder) {
			r.State = StateUnknown
			r.Reason = ReasonHolderLost
		}
	}
}

// PendingHandovers returns what the member has yet to pull.
func (o *Owner) PendingHandovers() []PendingHandover {
	list := make([]PendingHandover, len(o.pending))
	for i, d := range o.pending {
		list[i] = d.PendingHandover
	}
	return list
}

// PullRequestFor returns the request that settles a debt, false when it is settled.
func (o *Owner) PullRequestFor(d PendingHandover) (PullRequest, bool) {
	for _, x := range o.pending {
		if x.PendingHandover == d {
			return x.request, true
		}
	}
	return PullRequest{}, false
}

// AbandonOverdueHandovers gives up removed members that did not hand over in time, and drops
// floors below the claim window.
func (o *Owner) AbandonOverdueHandovers(now Instant) {
	var overdue []pendingHandover
	o.pending = slices.DeleteFunc(o.pending, func(d pendingHandover) bool {
		if !d.sourceRemoved || now.Mono < d.abandonAt {
			return false
		}
		overdue = append(overdue, d)
		return true
	})
	for _, d := range overdue {
		o.floors = append(o.floors, Floor{Owner: d.blockedKeys.Owner, Members: d.blockedKeys.Members, Until: d.floorUntil})
		if d.Lost == "" {
			o.expectHandoverFromAll(d)
		}
	}
	o.floors = slices.DeleteFunc(o.floors, func(f Floor) bool { return f.Until.Before(o.droppedUntil) })
}

// expectHandoverFromAll makes every member owe what it holds of a lost owner's keys. The lost
// one may have been owed claims itself: its predecessor may still be a member
// that has not heard of it, and grants its keys. Those that were removed are
// below the floor; the others must say that they know better, and what they
// granted. They need not wait for what they are owed themselves, since all who
// could owe it are asked.
func (o *Owner) expectHandoverFromAll(lost pendingHandover) {
	for _, m := range o.members {
		if m == o.self {
			continue
		}
		o.pending = append(o.pending, pendingHandover{
			PendingHandover: PendingHandover{Offset: lost.Offset, Source: m, Lost: lost.Source},
			blockedKeys:     lost.blockedKeys,
			request: PullRequest{
				Source:  m,
				Puller:  o.self,
				Offset:  o.offset,
				Owner:   lost.blockedKeys.Owner,
				Members: lost.blockedKeys.Members,
			},
		})
	}
}

// RefusesFreshKeys reports whether a floor covers every key that is minted now, as after
// the first join: each not-repeatable request would be answered "unknown".
func (o *Owner) RefusesFreshKeys(now Instant) bool {
	return slices.ContainsFunc(o.floors, func(f Floor) bool {
		return f.Owner == "" && f.Until.After(now.Wall)
	})
}

// Floors returns the number of floors.
func (o *Owner) Floors() int { return len(o.floors) }

func (o *Owner) awaitsHandover(k Key) bool {
	return slices.ContainsFunc(o.pending, func(d pendingHandover) bool { return d.blockedKeys.covers(k) })
}

func (o *Owner) belowFloor(k Key) bool {
	return slices.ContainsFunc(o.floors, func(f Floor) bool { return f.covers(k) })
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
	// DroppedUntil is the mint time up to which the old owner may have dropped
	// records.
	DroppedUntil time.Time
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
	if req.RequireComplete && slices.ContainsFunc(o.pending, func(d pendingHandover) bool { return d.Offset < req.Offset }) {
		return Handover{}, PullLater
	}
	h := Handover{Floors: slices.Clone(o.floors), DroppedUntil: o.droppedUntil}
	keys := keyRange{req.Owner, req.Members}
	for _, r := range o.table.records {
		if keys.covers(r.Key) {
			h.Records = append(h.Records, *r)
			r.handedOver = o.owner(r.Key) != o.self
		}
	}
	return h, PullDone
}

// ApplyHandover takes the handover for a debt.
func (o *Owner) ApplyHandover(d PendingHandover, h Handover) {
	i := slices.IndexFunc(o.pending, func(x pendingHandover) bool { return x.PendingHandover == d })
	if i < 0 {
		return
	}
	o.pending = slices.Delete(o.pending, i, i+1)
	for _, f := range h.Floors {
		o.addFloor(f)
	}
	o.advanceDropped(h.DroppedUntil)
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
func (o *Owner) merge(incoming *Record) {
	incoming.handedOver = false
	if incoming.State == StateInProgress && !contains(o.members, incoming.Attempt.Holder) {
		incoming.State = StateUnknown
		incoming.Reason = ReasonHolderLost
	}
	existing := o.table.get(incoming.Key)
	if existing != nil {
		incoming.releaseIfReleasedIn(existing)
		existing.releaseIfReleasedIn(incoming)
		if !existing.handedOver && existing.State > incoming.State {
			return
		}
		if existing.State == StateRan && incoming.State != StateRan {
			return
		}
	}
	answer := incoming.Answer
	incoming.Answer = nil
	if existing != nil {
		incoming.Answer = existing.Answer
	}
	o.table.put(incoming)
	o.table.keepAnswer(incoming, answer, o.cfg.MaxAnswer, o.cfg.MaxAnswers)
}

// releaseIfReleasedIn releases the record's attempt when the other record knows that it ended
// without a run.
func (r *Record) releaseIfReleasedIn(other *Record) {
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
