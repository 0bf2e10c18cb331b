package ledger

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// MaxSkew is how far the clocks of two healthy authors may lie apart.
const MaxSkew = 10 * time.Minute

// maxDistrusted bounds the list of authors whose clocks were proved wrong.
const maxDistrusted = 16

// Claim is a time that an author's record carried.
type Claim struct {
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
}

// Clock dates the fold by the times that authors put on their records. The
// highest claim is the fold's time.
//
// One author whose clock is years ahead would charge every VM that is out with
// those years, move all charges out of the budgets' windows and then stand
// still until the others have caught up. So a claim that jumps ahead by more
// than MaxSkew can be overthrown: once two other authors, who had folded the
// jump before they wrote, say that their clocks were behind it, the author is
// distrusted, the fold goes back to the highest other claim, and charges are
// cut off there. A claim that jumps ahead honestly, as the first record after a
// quiet night, is never contradicted in this way, because those who write
// after having seen it have clocks that are at least near it. While a jump is
// neither confirmed nor contradicted, a budget is checked as of both times.
type Clock struct {
	// Top is the highest claim, Other the highest of any other author.
	Top   Claim `json:"top"`
	Other Claim `json:"other"`
	// JumpFrom, JumpTo and JumpAt describe the latest jump of Top: the times
	// before and after it and its offset.
	JumpFrom time.Time `json:"jump_from"`
	JumpTo   time.Time `json:"jump_to"`
	JumpAt   uint64    `json:"jump_at"`
	// Contradictions holds what clocks said that contradict the jump, one per author.
	Contradictions []Claim  `json:"against,omitempty"`
	Distrusted     []string `json:"distrusted,omitempty"`
}

// observe takes the time of one record and reports whether the fold's time must go
// back to c.Top.
func (c *Clock) observe(offset uint64, rec record.Record) bool {
	claim := Claim{Author: rec.Author, Time: rec.Time.UTC().Truncate(time.Millisecond)}
	if claim.Time.IsZero() || c.rejects(claim) {
		return false
	}
	switch {
	case claim.Time.After(c.Top.Time):
		c.advanceTop(offset, claim)
	case claim.Author == c.Top.Author:
		return false
	case claim.Time.After(c.Other.Time):
		c.Other = claim
	}
	if c.confirmed() {
		c.Contradictions = nil
		return false
	}
	return c.recordContradiction(offset, claim, rec.Seen)
}

func (c *Clock) advanceTop(offset uint64, claim Claim) {
	if claim.Time.After(c.Top.Time.Add(MaxSkew)) {
		c.JumpFrom, c.JumpTo, c.JumpAt = c.Top.Time, claim.Time, offset
	}
	if claim.Author != c.Top.Author {
		c.Other = c.Top
	}
	c.Top = claim
}

// confirmed reports whether a second author's clock has reached the jump.
func (c *Clock) confirmed() bool {
	return !c.Other.Time.Before(c.JumpTo.Add(-MaxSkew))
}

// unconfirmedJump returns the time before the latest jump while that is neither
// confirmed nor followed by MaxSkew of ordinary progress.
func (c *Clock) unconfirmedJump() (time.Time, bool) {
	if c.JumpFrom.IsZero() || c.confirmed() || !c.Top.Time.Before(c.JumpTo.Add(MaxSkew)) {
		return time.Time{}, false
	}
	return c.JumpFrom, true
}

// recordContradiction counts a claim against the latest jump. seen tells that its author
// read its clock after it had folded the jump; without that, a record that was
// on its way for hours would look like a clock that is hours behind.
func (c *Clock) recordContradiction(offset uint64, claim Claim, seen uint64) bool {
	behind := claim.Time.Before(c.JumpTo.Add(-MaxSkew))
	if seen < c.JumpAt || seen >= offset || !behind || claim.Author == c.Top.Author {
		return false
	}
	c.Contradictions = slices.DeleteFunc(c.Contradictions, func(a Claim) bool { return a.Author == claim.Author })
	c.Contradictions = append(c.Contradictions, claim)
	if len(c.Contradictions) < 2 {
		return false
	}
	c.revertJump(offset)
	return true
}

func (c *Clock) revertJump(offset uint64) {
	c.Distrusted = append(c.Distrusted, c.Top.Author)
	if len(c.Distrusted) > maxDistrusted {
		c.Distrusted = c.Distrusted[1:]
	}
	claims := slices.DeleteFunc(append(c.Contradictions, c.Other), func(a Claim) bool { return a.Author == c.Top.Author })
	slices.SortStableFunc(claims, func(a, b Claim) int { return b.Time.Compare(a.Time) })
	c.Top = claims[0]
	c.Other = Claim{}
	for _, claim := range claims {
		if claim.Author != c.Top.Author {
			c.Other = claim
			break
		}
	}
	c.JumpFrom, c.JumpTo, c.JumpAt = time.Time{}, c.Top.Time, offset
	c.Contradictions = nil
}

// rejects reports whether the claim is to be passed over. An author whose
// clock is back among the others' is trusted again.
func (c *Clock) rejects(claim Claim) bool {
	i := slices.Index(c.Distrusted, claim.Author)
	if i < 0 {
		return false
	}
	if claim.Time.After(c.Top.Time.Add(MaxSkew)) {
		return true
	}
	c.Distrusted = slices.Delete(c.Distrusted, i, i+1)
	return false
}

// ClockAhead returns the offset of what is too far ahead of now, a node's own
// clock: the fold's time or MembersEnd; 0 when neither is. The node then writes
// a record.ClockWitness, so that a wrong clock is overthrown also when nothing
// else is to be written.
func (s *State) ClockAhead(now time.Time) uint64 {
	at := uint64(0)
	if s.Now.After(now.Add(MaxSkew)) {
		at = s.Clock.JumpAt
	}
	if s.MembersEnd.Time.After(now.Add(MaxSkew + s.MembersEnd.Lead)) {
		at = max(at, s.MembersEnd.At, s.Clock.JumpAt)
	}
	return at
}

// advanceClock moves the fold's time by one record.
func (s *State) advanceClock(rec record.Record) {
	back := s.Clock.observe(s.Offset, rec)
	s.Now = s.Clock.Top.Time
	if back {
		s.clampTimes()
	}
}

// clampTimes cuts off at s.Now all that was dated by a clock that was overthrown.
func (s *State) clampTimes() {
	for _, svc := range s.Services {
		svc.Account.truncateAt(s.Now)
		s.clampToNow(&svc.PublishedAt)
	}
	s.Reserve.truncateAt(s.Now)
	for _, vm := range s.VMs {
		s.clampToNow(&vm.PhaseSince, &vm.HealthSince, &vm.MaintainedAt, &vm.QuarantineChanged)
		if vm.Drain != nil {
			s.clampToNow(&vm.Drain.Since)
		}
	}
	for _, w := range s.Waves {
		s.clampToNow(&w.StartedAt, &w.FinishedAt)
	}
	for _, m := range s.Members {
		s.clampToNow(&m.Joined)
	}
	for _, j := range s.Jobs {
		s.clampToNow(&j.SubmittedAt, &j.QueuedAt, &j.StartedAt, &j.EndedAt)
		for i := range j.Failures {
			s.clampToNow(&j.Failures[i].Started, &j.Failures[i].Ended)
		}
	}
}

func (s *State) clampToNow(times ...*time.Time) {
	for _, t := range times {
		if t.After(s.Now) {
			*t = s.Now
		}
	}
}
