package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// membership folds membership records at increasing offsets.
type membership struct {
	t           *testing.T
	state       *State
	recordCount int
}

func (m *membership) apply(name string, body record.Body) Status {
	m.recordCount++
	sub := record.Subject{Kind: record.SubjectMember, Name: name}
	return m.state.Apply(m.state.Offset+1, record.Record{
		ID:      fmt.Sprintf("id-%d", m.recordCount),
		Subject: sub,
		Base:    m.state.Revision(sub),
		Seen:    m.state.Offset,
		Body:    body,
	}).Status
}

func (m *membership) join(name, address string) {
	require.Equal(m.t, Effective, m.apply(name, record.MemberJoin{Node: name, Address: address}))
}

// A VM is replaced and its new entry process uses the old one's address. The
// same change must remove the old member and add the new one: an owner that saw
// only the join would not know whose claims are lost.
func TestJoinAtTheSameAddressReplaces(t *testing.T) {
	m := &membership{t: t, state: New()}
	m.join("a1", "10.0.0.1:7000")
	m.join("b1", "10.0.0.2:7000")
	m.join("a2", "10.0.0.1:7000")
	require.Equal(t, []string{"a2", "b1"}, m.state.MemberNames())
	require.Equal(t, MemberChange{
		Offset:  3,
		Joined:  []MemberRef{{Name: "a2", Address: "10.0.0.1:7000"}},
		Removed: []MemberRef{{Name: "a1", Address: "10.0.0.1:7000"}},
	}, m.state.MemberChanges[2])
}

// Three of five members suspect a fourth, which has reduced its electorate to
// itself and two of them. Only a strict majority of that electorate evicts it;
// votes from outside and withdrawn votes do not count.
func TestEvictionCountsTheMembersOwnElectorate(t *testing.T) {
	m := &membership{t: t, state: New()}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		m.join(name, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	require.Equal(t, Refused, m.apply("a", record.MemberRefresh{Electorate: []string{"b", "c"}}))
	require.Equal(t, Effective, m.apply("a", record.MemberRefresh{Electorate: []string{"c", "a", "b", "b"}}))
	m.apply("a", record.MemberSuspect{By: "d", Seq: 1})
	m.apply("a", record.MemberSuspect{By: "b", Seq: 1})
	m.apply("a", record.MemberTrust{By: "b", Seq: 2})
	require.Equal(t, Refused, m.apply("a", record.MemberSuspect{By: "b", Seq: 1}))
	m.apply("a", record.MemberSuspect{By: "c", Seq: 1})
	require.Contains(t, m.state.Members, "a")
	m.apply("a", record.MemberSuspect{By: "b", Seq: 3})
	require.NotContains(t, m.state.Members, "a")
	last := m.state.MemberChanges[len(m.state.MemberChanges)-1]
	require.Equal(t, []MemberRef{{Name: "a", Address: "10.0.0.0:7000"}}, last.Removed)
}

func TestMemberChangesAreBounded(t *testing.T) {
	m := &membership{t: t, state: New()}
	for i := range 2 * maxMemberChanges {
		m.join(fmt.Sprintf("a%d", i), "10.0.0.1:7000")
	}
	require.Len(t, m.state.MemberChanges, maxMemberChanges)
	require.Equal(t, m.state.Offset, m.state.MemberChanges[maxMemberChanges-1].Offset)
}

// Members are restarted one after the other, and one fails right after the
// third restart, before its electorate was refreshed. Members that left and
// stated until when their acknowledgements hold must no longer count in it, so
// that the remaining ones are a majority, and the change's Until covers the
// last of those acknowledgements. A member that left without stating it stays
// in the electorates, since it may still acknowledge leases.
func TestDepartedMembersLeaveTheElectorates(t *testing.T) {
	m := &membership{t: t, state: New()}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		m.join(name, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	all := []string{"a", "b", "c", "d", "e"}
	for _, name := range all {
		require.Equal(t, Effective, m.apply(name, record.MemberRefresh{Electorate: all}))
	}
	acks := time.UnixMilli(1_733_000_000_000).UTC()
	require.Equal(t, Effective, m.apply("a", record.MemberLeave{AcksUntil: acks}))
	require.Equal(t, Effective, m.apply("b", record.MemberLeave{}))
	require.Equal(t, Effective, m.apply("b2", record.MemberJoin{Node: "b2", Address: "10.0.0.2:7000", AcksUntil: acks.Add(time.Second)}))
	require.NotContains(t, m.state.Members, "c")
	require.Equal(t, []string{"b", "d", "e"}, m.state.Members["d"].Electorate)

	m.apply("d", record.MemberSuspect{By: "e", Seq: 1})
	require.Contains(t, m.state.Members, "d")
	m.apply("d", record.MemberSuspect{By: "b2", Seq: 1})
	require.Contains(t, m.state.Members, "d", "b2 is not in its electorate")
	require.Equal(t, Effective, m.apply("d", record.MemberRefresh{Electorate: []string{"b2", "d", "e"}}))
	require.NotContains(t, m.state.Members, "d")
	last := m.state.MemberChanges[len(m.state.MemberChanges)-1]
	require.Equal(t, acks.Add(time.Second), last.Until)
}
