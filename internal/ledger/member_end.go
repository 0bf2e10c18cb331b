package ledger

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// maxLead limits how far the end of a lease may lie ahead of the clock of the
// record that states it. The settings allow no longer lease.
const maxLead = time.Hour

// MembersEnd guards the times from members' clocks that the ledger passes to
// the owners of claims: MembersUntil and Member.ElectedAt.
//
// A member whose clock is years ahead sets such a time when it joins at another
// member's address, refreshes or leaves. For those years all keys of members
// that are removed later would be answered "unknown". The ledger cannot tell
// such a time from a correct one after a quiet night, so it accepts the time at
// once and lowers it once two authors who had folded it before they read their
// clocks state times more than MaxSkew behind it, while the ledger's own time
// is behind it as well. Every removed member had stopped granting before those
// clocks were read, or stops at most Lead later, so no claim granted by a clock
// close to theirs ends after the lowered time.
type MembersEnd struct {
	// Time is the latest of those times, At the offset of the record that last
	// set one.
	Time time.Time `json:"time"`
	At   uint64    `json:"at"`
	// Lead is the most by which such a time lay ahead of its record's clock.
	Lead time.Duration `json:"lead"`
	// Contradictions holds the readings that contradict Time, one per author.
	Contradictions []ClockReading `json:"against,omitempty"`
}

// recordMembersEnd records a time that the record being applied states.
func (s *State) recordMembersEnd(end time.Time) {
	e := &s.MembersEnd
	if end.After(e.Time) {
		e.Time = end
	}
	e.At = s.Offset
	e.Lead = max(e.Lead, min(end.Sub(s.recordTime), maxLead))
	e.Contradictions = nil
}

// checkMembersEnd counts a record's clock as a contradiction of MembersEnd.Time
// if it is too far behind it.
func (s *State) checkMembersEnd(rec record.Record) {
	e := &s.MembersEnd
	reading := ClockReading{Author: rec.Author, Time: rec.Time.UTC().Truncate(time.Millisecond)}
	behind := reading.Time.Before(e.Time.Add(-MaxSkew-e.Lead)) && e.Time.After(s.Now.Add(MaxSkew+e.Lead))
	if !behind || reading.Time.IsZero() || rec.Seen < e.At || rec.Seen >= s.Offset {
		return
	}
	e.Contradictions = slices.DeleteFunc(e.Contradictions, func(a ClockReading) bool { return a.Author == reading.Author })
	e.Contradictions = append(e.Contradictions, reading)
	if len(e.Contradictions) < 2 {
		return
	}
	end := s.Now
	for _, a := range e.Contradictions {
		if a.Time.After(end) {
			end = a.Time
		}
	}
	s.lowerMembersEnd(end.Add(MaxSkew + e.Lead))
}

func (s *State) lowerMembersEnd(end time.Time) {
	lower := func(t *time.Time) {
		if t.After(end) {
			*t = end
		}
	}
	lower(&s.MembersUntil)
	for i := range s.MemberChanges {
		lower(&s.MemberChanges[i].Until)
	}
	for _, m := range s.Members {
		lower(&m.ElectedAt)
	}
	s.MembersEnd = MembersEnd{Time: end, At: s.Offset, Lead: s.MembersEnd.Lead}
}
