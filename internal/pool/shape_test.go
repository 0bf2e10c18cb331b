package pool

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// A pool that needs small VMs is published first, while small and large VMs are
// free, the large ones in more zones. If it took the large VMs for their spread,
// the next pool, which needs large VMs, would stay short while small VMs are free.
func TestPoolsTakeTheSmallestVMThatFits(t *testing.T) {
	s := ledger.New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	apply := func(sub record.Subject, body record.Body) {
		rec := record.Record{ID: fmt.Sprint(s.Offset), Subject: sub, Base: s.Revision(sub), Seen: s.Offset, Author: "test", Time: now, Body: body}
		out := s.Apply(s.Offset+1, rec)
		require.Equal(t, ledger.Effective, out.Status, out.Reason)
	}
	const each = 4
	for i := range each {
		for prefix, cores := range map[string]int{"a-large": 64, "b-small": 32} {
			vm := record.Subject{Kind: record.SubjectVM, Name: fmt.Sprintf("%s-%d", prefix, i)}
			zone := "z"
			if cores == 64 {
				zone = fmt.Sprint("z", i)
			}
			apply(vm, record.VMRegister{Zone: zone, Rack: zone, Address: "127.0.0.1:1", Cores: cores, MemoryMB: 1024 * cores})
		}
	}
	publish := func(service string, cores int) {
		text := fmt.Sprintf("service=%q\nteam=\"t\"\n[pool]\nsize=%d\nmin_cores=%d\n[budget]\nwindow=\"1h\"\nallowed=0.1\nmax_unavailable=1\n[[route]]\nprefix=\"/\"\n", service, each, cores)
		apply(record.Subject{Kind: record.SubjectService, Name: service}, record.DocumentPublish{Text: text})
	}
	fill := func() []Proposal {
		r := NewRound(NewView(s, now), DefaultPolicy())
		Fill(r)
		return r.Proposals
	}
	publish("modest", 32)
	joins := fill()
	require.Len(t, joins, each)
	for _, p := range joins {
		require.True(t, strings.HasPrefix(p.Subject.Name, "b-small"), p.Subject.Name)
		apply(p.Subject, p.Body)
	}
	publish("hungry", 64)
	require.Len(t, fill(), each)
}
