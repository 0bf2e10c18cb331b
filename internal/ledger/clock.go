package ledger

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// MaxSkew is the maximum difference between the clocks of two healthy authors.
const MaxSkew = 10 * time.Minute

// maxDistrusted limits the list of authors whose clocks were found wrong.
const maxDistrusted = 16

// ClockReading is a time stated by an author's record.
type ClockReading struct {
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
}

// Clock derives the ledger's time from the times on the authors' records: the
// highest reading is the current time.
//
// An author whose clock is years ahead would charge every unavailable VM with
// those years, move all charges out of the budget windows and then stop the
// ledger's time until the other clocks have caught up. A reading that jumps ahead
// by more than MaxSkew can therefore be reverted: once two other authors, who
// had folded the jump before they wrote, state times behind it, the author is
// distrusted, the ledger's time goes back to the highest other reading and
// charges are truncated there. A correct jump, such as the first record after a
// quiet night, is never contradicted in this way, because whoever writes after
// folding it has a clock at least near it. While a jump is neither confirmed
// nor contradicted, budgets are checked as of both times.
type Clock struct {
	// Top is the highest reading, Other the highest reading of any other author.
	Top   ClockReading `json:"top"`
	Other ClockReading `json:"other"`
	// JumpFrom and JumpTo are the times before and after the latest jump of
	// Top, JumpAt its offset.
	JumpFrom time.Time `json:"jump_from"`
	JumpTo   time.Time `json:"jump_to"`
	JumpAt   uint64    `json:"jump_at"`
	// Contradictions holds the readings that contradict the jump, one per author.
	Contradictions []ClockReading `json:"against,omitempty"`
	Distrusted     []string       `json:"distrusted,omitempty"`
}

// observe processes the time of one record and reports whether the ledger's
// time must go back to c.Top.
func (c *Clock) observe(offset uint64, rec record.Record) bool {
	reading := ClockReading{Author: rec.Author, Time: rec.Time.UTC().Truncate(time.Millisecond)}
	if reading.Time.IsZero() || c.rejects(reading) {
		return false
	}
	switch {
	case reading.Time.After(c.Top.Time):
		c.advanceTop(offset, reading)
	case reading.Author == c.Top.Author:
		return false
	case reading.Time.After(c.Other.Time):
		c.Other = reading
	}
	if c.confirmed() {
		c.Contradictions = nil
		return false
	}
	return c.recordContradiction(offset, reading, rec.Seen)
}

func (c *Clock) advanceTop(offset uint64, reading ClockReading) {
	if reading.Time.After(c.Top.Time.Add(MaxSkew)) {
		c.JumpFrom, c.JumpTo, c.JumpAt = c.Top.Time, reading.Time, offset
	}
	if reading.Author != c.Top.Author {
		c.Other = c.Top
	}
	c.Top = reading
}

// confirmed reports whether a second author's clock has reached the jump.
func (c *Clock) confirmed() bool {
	return !c.Other.Time.Before(c.JumpTo.Add(-MaxSkew))
}

// unconfirmedJump returns the time before the latest jump while the jump is
// neither confirmed nor followed by MaxSkew of normal progress.
func (c *Clock) unconfirmedJump() (time.Time, bool) {
	if c.JumpFrom.IsZero() || c.confirmed() || !c.Top.Time.Before(c.JumpTo.Add(MaxSkew)) {
		return time.Time{}, false
	}
	return c.JumpFrom, true
}

// recordContradiction records the reading if it contradicts the latest jump, and reports
// whether it reverted the jump. seen must be at or after the jump: the author
// then read its clock after folding the jump. Without that condition a record
// that was delayed for hours would look like a clock that is hours behind.
func (c *Clock) recordContradiction(offset uint64, reading ClockReading, seen uint64) bool {
	behind := reading.Time.Before(c.JumpTo.Add(-MaxSkew))
	if seen < c.JumpAt || seen >= offset || !behind || reading.Author == c.Top.Author {
		return false
	}
	c.Contradictions = slices.DeleteFunc(c.Contradictions, func(a ClockReading) bool { return a.Author == reading.Author })
	c.Contradictions = append(c.Contradictions, reading)
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
	readings := slices.DeleteFunc(append(c.Contradictions, c.Other), func(a ClockReading) bool { return a.Author == c.Top.Author })
	slices.SortStableFunc(readings, func(a, b ClockReading) int { return b.Time.Compare(a.Time) })
	c.Top = readings[0]
	c.Other = ClockReading{}
	for _, reading := range readings {
		if reading.Author != c.Top.Author {
			c.Other = reading
			break
		}
	}
	c.JumpFrom, c.JumpTo, c.JumpAt = time.Time{}, c.Top.Time, offset
	c.Contradictions = nil
}

// rejects reports whether the reading must be ignored. An author whose clock
// agrees with the others again is removed from Distrusted.
func (c *Clock) rejects(reading ClockReading) bool {
	i := slices.Index(c.Distrusted, reading.Author)
	if i < 0 {
		return false
	}
	if reading.Time.After(c.Top.Time.Add(MaxSkew)) {
		return true
	}
	c.Distrusted = slices.Delete(c.Distrusted, i, i+1)
	return false
}

// ClockAhead returns the offset of the record that put the ledger's time or
// MembersEnd too far ahead of now, the node's own clock, or 0 if neither is.
// The node then writes a record.ClockWitness, so that a wrong clock is reverted
// even when there is nothing else to write.
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

// advanceClock updates the ledger's time from one record.
func (s *State) advanceClock(rec record.Record) {
	back := s.Clock.observe(s.Offset, rec)
	s.Now = s.Clock.Top.Time
	if back {
		s.clampTimes()
	}
}

// clampTimes lowers to s.Now all times that came from a reverted clock.
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
