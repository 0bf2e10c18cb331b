package claim

import (
	"slices"
	"time"
)

// Change is one change of the membership at one offset of the log. Each change
// must be applied by itself and none may be skipped: a member that joined and
// was removed in between may have granted claims.
type Change struct {
	Offset  uint64
	Joined  []string
	Removed []string
	// Until is the latest time at which the members removed up to this change
	// could grant, by their own wall clocks (see PeerMonitor).
	Until time.Time
}

// keyRange is the set of keys that Owner owns among Members. The zero keyRange
// holds all keys.
type keyRange struct {
	Owner   string
	Members []string
}

func (r keyRange) covers(k Key) bool { return ownerOf(r.Members, k) == r.Owner }

// Floor marks keys whose records are lost: those of its range minted up to
// Until.
type Floor struct {
	Owner   string
	Members []string
	Until   time.Time
}

func (f Floor) covers(k Key) bool {
	return !k.Minted().After(f.Until) && keyRange{f.Owner, f.Members}.covers(k)
}

// PendingHandover identifies records that this member must get from Source
// before it may grant the keys concerned.
type PendingHandover struct {
	// Offset is the change that gave the keys to this member.
	Offset uint64
	Source string
	// Lost is the owner whose records were lost, if Source is asked for records
	// that it may hold from an earlier time. Empty if Source was the owner.
	Lost string
}

type pendingHandover struct {
	PendingHandover
	blockedKeys keyRange // not granted until the handover
	request     PullRequest
	// sourceRemoved is set once Source is not a member. The handover is abandoned
	// at abandonAt of the monotonic clock; floorUntil then covers what Source
	// granted.
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
	// RequireComplete asks Source to answer only after it has received all records
	// that it awaits itself for changes before Offset.
	RequireComplete bool
}

// Join makes self a member by a change. before are the members before the
// change. If there are none, no member knows what earlier members granted, and
// all keys minted until now are below a floor.
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

// Apply applies a change of the membership. Keys move only from removed members
// to the others, and from the others to joined members.
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

// expectHandover records that source owned the keys before the change at offset
// and must hand them over.
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
// keys. The member granted only keys minted up to its own clock plus Ahead, and
// only while its lease was valid by that clock, which was until the given time;
// this member's clock does not matter. Skew is added for a leave or a join,
// whose time may come from another process.
func (o *Owner) floorTime(until time.Time) time.Time {
	return until.Add(o.cfg.Ahead + o.cfg.Skew)
}

// markHoldersLost marks the claims held by removed members as unknown. A late
// report still ends them.
func (o *Owner) markHoldersLost(removed []string) {
	for _, r := range o.table.records {
		if r.State == StateInProgress && contains(removed, r.Attempt.Holder) {
			r.State = StateUnknown
			r.Reason = ReasonHolderLost
		}
	}
}

// PendingHandovers returns the handovers that this member awaits.
func (o *Owner) PendingHandovers() []PendingHandover {
	list := make([]PendingHandover, len(o.pending))
	for i, d := range o.pending {
		list[i] = d.PendingHandover
	}
	return list
}

// PullRequestFor returns the pull request for a handover, or false if it is no
// longer pending.
func (o *Owner) PullRequestFor(d PendingHandover) (PullRequest, bool) {
	for _, x := range o.pending {
		if x.PendingHandover == d {
			return x.request, true
		}
	}
	return PullRequest{}, false
}

// AbandonOverdueHandovers replaces each handover that a removed member did not
// complete in time by a floor, and awaits what the other members hold of the
// lost owner's keys. It also drops floors that lie before the claim window.
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

// expectHandoverFromAll awaits what every member holds of a lost owner's keys.
// The lost owner may itself have awaited records: its predecessor may still be
// a member that has not applied the change and still grants the keys. What
// removed predecessors granted is below the floor. The other members must apply
// the change, after which they no longer grant the keys, and then hand over
// what they granted. They need not await their own handovers first, since every
// member that could owe them records is asked, too.
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

// RefusesFreshKeys reports whether a floor covers every key minted now, as it
// does after the first join. Every request that must not be repeated would then
// get the verdict Unknown.
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

// PullStatus is the outcome of a pull. Nodes exchange it as a number.
type PullStatus uint8

// Outcomes of a pull.
const (
	// PullLater: Source has not applied the change yet or awaits records of an
	// earlier change itself.
	PullLater PullStatus = iota
	// PullDone: the handover is complete. Source no longer grants the keys handed
	// over.
	PullDone
	// PullRefused: the puller is not a member any more.
	PullRefused
)

// Handover is the state that an old owner hands over to a new one.
type Handover struct {
	Records []Record
	Floors  []Floor
	// DroppedUntil is the mint time up to which the old owner may have dropped
	// records.
	DroppedUntil time.Time
}

// Pull returns the requested handover. After PullDone this member grants none
// of the keys handed over: in the membership that it uses, they belong to the puller or a
// later owner, and it gets them back only by a pull of its own.
//
// The keys are computed from the members in the request, not from the current
// ones. If a later change moved a key on, its new owner pulls it from the
// puller, which must therefore have received it.
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

// ApplyHandover takes over the state that was pulled for a pending handover.
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

// merge takes over a record from an old owner. An existing record that was
// handed over in the meantime is replaced, unless it alone states a run.
// Otherwise the higher state wins, and the incoming record if both are equal.
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

// releaseIfReleasedIn releases the record's attempt if the other record states
// that it ended without a run.
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
