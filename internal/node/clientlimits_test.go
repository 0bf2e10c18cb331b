package node

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// openAll opens connections that don't give way until a group has no room.
func openAll(g *membudget.Group) (n int) {
	for c := g.Open(func() {}); c != nil; c = g.Open(func() {}) {
		c.Hold()
		n++
	}
	return n
}

// Guards against limits that leave a process no memory or descriptors for itself.
func TestClientsTakeAShareOfTheProcess(t *testing.T) {
	for _, s := range []platform.Settings{
		{MemoryMB: 284, Descriptors: 3900}, {MemoryMB: 96, Descriptors: 300}, {MemoryMB: 4000, Descriptors: 1000}, {MemoryMB: 200},
	} {
		g := newClientGroups(s)
		sockets := 0
		for _, group := range []*membudget.Group{g.callers, g.readiness, g.metrics, g.peers} {
			n := openAll(group)
			assert.GreaterOrEqual(t, n, minConnections)
			sockets += n
		}
		if s.Descriptors > 0 {
			assert.LessOrEqual(t, sockets, s.Descriptors*9/10)
		}
		usage := g.budget.Usage()
		assert.LessOrEqual(t, usage.Limit, s.MemoryMB<<20/5*2)
		assert.Less(t, usage.Reserved, usage.Limit)
	}
}

// Guards against a node that admits jobs without an end, and against one that refuses all after a peak is over.
func TestJobsAreAdmittedWithinTheMemory(t *testing.T) {
	room := newJobRoom(512, membudget.New(), prometheus.NewRegistry())
	job := func(steps int) workload.Record {
		return workload.Record{Submission: &workload.Submission{Spec: workload.Spec{Steps: make([]workload.Step, steps)}}}
	}
	require.NoError(t, room.admit(job(10)))
	room.kept = 400 << 20 // of a collection at a peak
	require.NoError(t, room.admit(job(10)), "it is measured again")
	assert.ErrorIs(t, room.admit(job(400_000)), membudget.ErrNoRoom)
	assert.NoError(t, room.admit(workload.Record{Cancel: true}))
}
