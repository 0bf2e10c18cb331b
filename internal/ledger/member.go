package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Member is one incarnation of an entry process.
type Member struct {
	Head
	Name     string    `json:"name"`
	Node     string    `json:"node"`
	Zone     string    `json:"zone"`
	Address  string    `json:"address"`
	JoinedAt uint64    `json:"joined_at"` // offset
	Joined   time.Time `json:"joined"`
	// Electorate lists the members that may evict this one, including itself,
	// sorted. Only the member's own join and refresh records set it, and
	// removeElector removes members that left: a member that is cut off from
	// the log then still knows whose acknowledgements keep it safe, although
	// others have joined meanwhile.
	Electorate []string `json:"electorate"`
	// ElectedAt is when the member requested Electorate, by its own wall clock.
	// Until then it granted claims on the acknowledgements of an earlier
	// electorate, which the votes of the current one do not cover.
	ElectedAt time.Time `json:"elected_at"`
	// Votes holds the latest vote of each other member about this one, by
	// voter.
	Votes map[string]Vote `json:"votes,omitempty"`
}

// Vote is a member's latest vote about another.
type Vote struct {
	Seq     uint64    `json:"seq"`
	Suspect bool      `json:"suspect"`
	Until   time.Time `json:"until"` // see record.MemberSuspect
}

// MemberRef is a member's name and its address for other entry VMs.
type MemberRef struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// MemberChange is the membership change made by the record at Offset.
type MemberChange struct {
	Offset  uint64      `json:"offset"`
	Joined  []MemberRef `json:"joined,omitempty"`
	Removed []MemberRef `json:"removed,omitempty"`
	// Until is the latest time at which a member removed up to this change may
	// have granted claims, by the members' own wall clocks or, for a join or
	// leave, by its author's.
	Until time.Time `json:"until"`
}

// maxMemberChanges limits State.MemberChanges. A node that is further behind
// joins again.
const maxMemberChanges = 64

// currentMemberChange returns the change of the record being applied and
// creates it if needed.
func (s *State) currentMemberChange(until time.Time) *MemberChange {
	n := len(s.MemberChanges)
	if n == 0 || s.MemberChanges[n-1].Offset != s.Offset {
		s.MemberChanges = append(s.MemberChanges, MemberChange{Offset: s.Offset})
		if n == maxMemberChanges {
			s.MemberChanges = slices.Delete(s.MemberChanges, 0, 1)
		}
	}
	s.extendMembersUntil(until)
	c := &s.MemberChanges[len(s.MemberChanges)-1]
	c.Until = s.MembersUntil
	return c
}

func (s *State) extendMembersUntil(until time.Time) {
	until = until.UTC().Round(0)
	if until.After(s.MembersUntil) {
		s.MembersUntil = until
	}
	s.recordMembersEnd(until)
}

func (s *State) joinMember(rec record.Record, b record.MemberJoin) refusal {
	if _, ok := s.Members[rec.Subject.Name]; ok {
		return refusef("member %s has joined already", rec.Subject.Name)
	}
	if b.Node == "" || b.Address == "" {
		return refusef("a member needs node and address")
	}
	if !b.AcksUntil.IsZero() && !record.ValidTime(b.AcksUntil) {
		return refusef("the time %s is out of range", b.AcksUntil)
	}
	for _, name := range s.MemberNames() {
		m, ok := s.Members[name]
		if !ok || m.Address != b.Address {
			continue
		}
		// A delayed join may come from a process that has ended and would
		// remove the member that now runs at the address.
		if rec.Seen < m.JoinedAt {
			return refusef("%s joined at %s after this record was written", name, b.Address)
		}
		s.removeMember(name, rec.Time)
		s.removeElector(name, b.AcksUntil)
	}
	m := &Member{
		Head:     Head{Revision: record.Revision(s.Offset), LastID: rec.ID},
		Name:     rec.Subject.Name,
		Node:     b.Node,
		Zone:     b.Zone,
		Address:  b.Address,
		JoinedAt: s.Offset,
		Joined:   s.Now,
	}
	s.Members[m.Name] = m
	m.Electorate = s.MemberNames()
	c := s.currentMemberChange(rec.Time)
	c.Joined = append(c.Joined, MemberRef{Name: m.Name, Address: m.Address})
	return allowed
}

func (s *State) leaveMember(rec record.Record, b record.MemberLeave) refusal {
	if _, ok := s.Members[rec.Subject.Name]; !ok {
		return refusef("%s is no member", rec.Subject.Name)
	}
	if !b.AcksUntil.IsZero() && !record.ValidTime(b.AcksUntil) {
		return refusef("the time %s is out of range", b.AcksUntil)
	}
	s.removeMember(rec.Subject.Name, rec.Time)
	s.removeElector(rec.Subject.Name, b.AcksUntil)
	return allowed
}

// removeElector removes a member that acknowledges no more leases from all
// electorates. Otherwise a rolling restart would leave electorates half of
// which have left, and a member that failed then could never be evicted. Leases
// that rest on its last acknowledgements run until the given time, so any
// member that is evicted later may have granted claims until then. Evicted
// members stay in the electorates: they may not know of their eviction and may
// still acknowledge leases.
func (s *State) removeElector(name string, until time.Time) {
	if until.IsZero() {
		return
	}
	s.extendMembersUntil(until)
	for _, other := range s.MemberNames() {
		m := s.Members[other]
		i := slices.Index(m.Electorate, name)
		if i < 0 {
			continue
		}
		m.Electorate = slices.Delete(slices.Clone(m.Electorate), i, i+1)
		s.evictIfSuspected(m)
	}
}

// refreshMember sets the electorate that the member names. Names of removed
// members are harmless: their votes do not count.
func (s *State) refreshMember(rec record.Record, b record.MemberRefresh) refusal {
	m, ok := s.Members[rec.Subject.Name]
	if !ok {
		return refusef("%s is no member", rec.Subject.Name)
	}
	if !slices.Contains(b.Electorate, m.Name) {
		return refusef("the electorate of %s lacks the member itself", m.Name)
	}
	m.Electorate = slices.Compact(slices.Sorted(slices.Values(b.Electorate)))
	m.ElectedAt = rec.Time.UTC().Round(0)
	s.recordMembersEnd(m.ElectedAt)
	s.evictIfSuspected(m)
	return allowed
}

func (s *State) suspectMember(rec record.Record, b record.MemberSuspect) refusal {
	if !record.ValidTime(b.Until) {
		return refusef("the time %s is out of range", b.Until)
	}
	return s.recordVote(rec, b.By, Vote{Seq: b.Seq, Suspect: true, Until: b.Until.UTC()})
}

func (s *State) trustMember(rec record.Record, b record.MemberTrust) refusal {
	return s.recordVote(rec, b.By, Vote{Seq: b.Seq})
}

// recordVote records by's vote about a member. A copy of an older vote is
// refused: otherwise a suspicion that by has taken back could count towards an
// eviction while by still tells the member that it is safe.
func (s *State) recordVote(rec record.Record, by string, v Vote) refusal {
	name := rec.Subject.Name
	m, ok := s.Members[name]
	if !ok {
		return refusef("%s is no member", name)
	}
	if rec.Seen < m.JoinedAt {
		return refusef("%s joined at offset %d, after this word on it was written", name, m.JoinedAt)
	}
	if _, ok := s.Members[by]; !ok || by == name {
		return refusef("%s has no vote on %s", by, name)
	}
	if last, ok := m.Votes[by]; ok && v.Seq <= last.Seq {
		return refusef("%s has voted on %s since (%d after %d)", by, name, last.Seq, v.Seq)
	}
	if m.Votes == nil {
		m.Votes = map[string]Vote{}
	}
	m.Votes[by] = v
	s.evictIfSuspected(m)
	return allowed
}

// evictIfSuspected removes m once a strict majority of its electorate suspects
// it. A member that hears from half of its electorate, including itself, cannot
// have been evicted; docs/adr has the argument.
func (s *State) evictIfSuspected(m *Member) {
	votes := 0
	until := m.ElectedAt
	for by, v := range m.Votes {
		_, present := s.Members[by]
		if v.Suspect && present && slices.Contains(m.Electorate, by) {
			votes++
			if v.Until.After(until) {
				until = v.Until
			}
		}
	}
	if 2*votes > len(m.Electorate) {
		s.removeMember(m.Name, until)
	}
}

func (s *State) removeMember(name string, until time.Time) {
	m := s.Members[name]
	delete(s.Members, name)
	c := s.currentMemberChange(until)
	c.Removed = append(c.Removed, MemberRef{Name: m.Name, Address: m.Address})
	sub := record.Subject{Kind: record.SubjectMember, Name: name}
	s.retire(sub, Head{Revision: record.Revision(s.Offset), LastID: m.LastID})
}

// MemberNames returns the members' names, sorted.
func (s *State) MemberNames() []string { return slices.Sorted(maps.Keys(s.Members)) }
