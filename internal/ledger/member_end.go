package ledger

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// maxLead bounds how far the end of a lease may lie ahead of the clock of the
// record that tells it: the settings allow no longer lease.
const maxLead = time.Hour

// MembersEnd watches over the times of members' clocks that the fold hands on to
// the owners of claims: MembersUntil and Member.ElectedAt.
//
// One member whose clock is years ahead would put such a time there when it
// joins at an earlier one's address, refreshes or leaves. All keys of members
// that are removed later would be answered "unknown" for those years. The fold
// cannot tell such a time from an honest one after a quiet night, so it takes it
// at once, and cuts it once two authors who had folded it before they read their
// clocks show times that are behind it by more than MaxSkew, while the fold's
// own time is behind it as well. All that was removed had stopped granting
// before those clocks were read, or stops at most Lead after, so nothing that was
// granted by a clock near theirs lies behind the cut.
type MembersEnd struct {
	// Time is the latest of those times, At the offset that last gave one.
	Time time.Time `json:"time"`
	At   uint64    `json:"at"`
	// Lead is the most by which one lay ahead of its record's clock.
	Lead time.Duration `json:"lead"`
	// Contradictions holds what clocks said that contradict Time, one per author.
	Contradictions []Claim `json:"against,omitempty"`
}

// recordMembersEnd takes a time that the record being applied hands on.
func (s *State) recordMembersEnd(end time.Time) {
	e := &s.MembersEnd
	if end.After(e.Time) {
		e.Time = end
	}
	e.At = s.Offset
	e.Lead = max(e.Lead, min(end.Sub(s.recordTime), maxLead))
	e.Contradictions = nil
}

// checkMembersEnd counts a record's clock against MembersEnd.Time.
func (s *State) checkMembersEnd(rec record.Record) {
	e := &s.MembersEnd
	claim := Claim{Author: rec.Author, Time: rec.Time.UTC().Truncate(time.Millisecond)}
	behind := claim.Time.Before(e.Time.Add(-MaxSkew-e.Lead)) && e.Time.After(s.Now.Add(MaxSkew+e.Lead))
	if !behind || claim.Time.IsZero() || rec.Seen < e.At || rec.Seen >= s.Offset {
		return
	}
	e.Contradictions = slices.DeleteFunc(e.Contradictions, func(a Claim) bool { return a.Author == claim.Author })
	e.Contradictions = append(e.Contradictions, claim)
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
