package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/registry"
)

// A worker registers while another node takes the partition over and the replaced owner does
// not know it yet. The replaced owner must not send orders to that worker, which its
// successor may not have polled: a list counts only after a join sent after its read has
// confirmed the ownership, and that join never succeeds.
func TestWorkerListIsDeliveredOnlyAfterALaterConfirmation(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	snap := registry.Snapshot{Version: 1, ReadAnsweredAt: start, Workers: workersWithIDs("w-1")}
	read := func() registry.Snapshot { return snap }
	var l confirmedWorkers
	_, ok := l.next(read, start.Add(-time.Millisecond))
	assert.False(t, ok, "the join was sent before the list was read")
	list, ok := l.next(read, start)
	require.True(t, ok)
	assert.Len(t, list, 1)

	_, ok = l.next(read, start.Add(time.Second))
	assert.False(t, ok, "the list was delivered already")

	snap = registry.Snapshot{Version: 2, ReadAnsweredAt: start.Add(2 * time.Second), Workers: workersWithIDs("w-1", "w-2")}
	for age := time.Second; age < 2*time.Second; age += 100 * time.Millisecond {
		_, ok = l.next(read, start.Add(age))
		require.False(t, ok)
	}
	list, ok = l.next(read, start.Add(2*time.Second))
	require.True(t, ok)
	assert.Len(t, list, 2)
}

// The list changes faster than joins confirm it. A pending list is delivered once it is
// confirmed; newer lists must not postpone it.
func TestFrequentlyChangingWorkerListIsDelivered(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	version := int64(0)
	var now time.Time
	read := func() registry.Snapshot {
		version++
		return registry.Snapshot{Version: version, ReadAnsweredAt: now}
	}
	var l confirmedWorkers
	delivered := 0
	for at := time.Duration(0); at < 2*time.Second; at += 50 * time.Millisecond {
		now = start.Add(at)
		if _, ok := l.next(read, start.Add(at.Truncate(200*time.Millisecond))); ok {
			delivered++
		}
	}
	assert.GreaterOrEqual(t, delivered, 8)
}

// A node that owned a service long ago has not read the list of workers since; one of them
// is leaving meanwhile. After a handover the node may start tasks immediately, so with the
// old list a task would start on that worker seconds after it must get none.
func TestWorkerListReadBeforeTakeoverIsNotDelivered(t *testing.T) {
	begin := time.UnixMilli(1_700_000_000_000)
	takenOverAt := begin.Add(10 * time.Second)
	l := confirmedWorkers{ownedSince: takenOverAt}
	snap := registry.Snapshot{Version: 3, ReadSentAt: begin, ReadAnsweredAt: begin.Add(4 * time.Millisecond), Workers: workersWithIDs("leaves")}
	read := func() registry.Snapshot { return snap }
	_, ok := l.next(read, takenOverAt.Add(time.Millisecond))
	assert.False(t, ok)
	snap = registry.Snapshot{Version: 4, ReadSentAt: takenOverAt.Add(20 * time.Millisecond), ReadAnsweredAt: takenOverAt.Add(24 * time.Millisecond)}
	_, ok = l.next(read, takenOverAt.Add(21*time.Millisecond))
	assert.False(t, ok, "no join was sent since the list was read")
	list, ok := l.next(read, takenOverAt.Add(200*time.Millisecond))
	assert.True(t, ok)
	assert.Empty(t, list)
}
