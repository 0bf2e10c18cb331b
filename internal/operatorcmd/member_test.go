package operatorcmd

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Most entry VMs were lost at once and the remaining ones cannot evict them, so
// the operator removes one. A member that still answers, or whose VM is not
// declared stopped, must stay: it could grant requests that another member
// grants, too.
func TestRemoveMember(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	member := func(name, address string) record.Subject {
		sub := record.Subject{Kind: record.SubjectMember, Name: name}
		b.propose(sub, record.MemberJoin{Node: name, Zone: "a", Address: address})
		return sub
	}
	member("alive", b.startNode("alive"))
	member("lost", "127.0.0.1:1")
	steps := []struct {
		code int
		word string
		args []string
	}{
		{ExitUsage, "is stopped", []string{"member", "remove", "lost"}},
		{ExitUsage, "one argument", []string{"member", "remove", "--stopped"}},
		{ExitRejected, "answers at", []string{"member", "remove", "--stopped", "alive"}},
		{ExitRejected, "no member", []string{"member", "remove", "--stopped", "other"}},
		{ExitOK, "effective", []string{"member", "remove", "--stopped", "lost"}},
		{ExitRejected, "no member", []string{"member", "remove", "--stopped", "lost"}},
	}
	for _, s := range steps {
		code, out, errOut := b.run(s.args...)
		require.Equal(t, s.code, code, "%v: %s%s", s.args, out, errOut)
		require.Contains(t, out+errOut, s.word, "%v", s.args)
	}
}
