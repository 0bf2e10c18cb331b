package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

var startTime = time.UnixMilli(1_700_000_000_000)

func ids(list []workload.Worker) map[string]bool {
	out := map[string]bool{}
	for _, w := range list {
		out[w.ID] = true
	}
	return out
}

func TestRemovedWorkerIsDroppedImmediately(t *testing.T) {
	v := NewView()
	v.RecordSuccessfulRead(startTime)
	v.Set(workload.Worker{ID: "w-1"})
	v.Set(workload.Worker{ID: "w-2"})
	v.Remove("w-1")
	assert.Equal(t, map[string]bool{"w-2": true}, ids(v.List(startTime)))
}

// Entries of live workers expire during an outage of the store. They must count as
// registered until live workers had time to register again; a worker that has not registered
// by then is gone.
func TestEntriesExpiredDuringOutageAreKeptUntilReregistrationTime(t *testing.T) {
	v := NewView()
	v.RecordSuccessfulRead(startTime)
	v.Set(workload.Worker{ID: "lives"})
	v.Set(workload.Worker{ID: "dead"})
	back := startTime.Add(5 * time.Second)
	v.RecordSuccessfulRead(back)
	v.Replace(nil)
	assert.False(t, v.IsComplete(back))
	assert.Len(t, v.List(back.Add(time.Second)), 2)
	v.Set(workload.Worker{ID: "lives"})
	later := back.Add(3 * time.Second)
	for at := back; at.Before(later); at = at.Add(250 * time.Millisecond) {
		v.RecordSuccessfulRead(at)
	}
	assert.True(t, v.IsComplete(later))
	assert.Equal(t, map[string]bool{"lives": true}, ids(v.List(later)))
}

// Guards against a restart that passes for a new worker: orders to the earlier process may have reached this one. A VM
// that was moved has a new ID.
func TestWorkerHasRestarted(t *testing.T) {
	now := startTime
	v := NewView()
	read := func(pause time.Duration, workers ...workload.Worker) {
		now = now.Add(pause)
		v.RecordSuccessfulRead(now)
		for _, w := range workers {
			v.Set(w)
		}
		v.List(now)
	}
	restarted := func(id string) bool {
		for _, w := range v.List(now) {
			if w.ID == id {
				return w.Restarted
			}
		}
		require.Fail(t, "not listed", id)
		return false
	}
	const pause = 250 * time.Millisecond
	read(pause, workload.Worker{ID: "w-1", Incarnation: 1000})
	assert.False(t, restarted("w-1"))
	read(pause, workload.Worker{ID: "w-1", Incarnation: 1000, Leaving: true})
	assert.False(t, restarted("w-1"), "it is the same process")
	read(pause, workload.Worker{ID: "w-1", Incarnation: 2000}, workload.Worker{ID: "w-2", Incarnation: 2000})
	assert.True(t, restarted("w-1"))
	assert.False(t, restarted("w-2"))

	v.Remove("w-2")
	for range 40 {
		read(pause)
	}
	require.Len(t, v.List(now), 1)
	read(pause, workload.Worker{ID: "w-2", Incarnation: 3000})
	assert.True(t, restarted("w-2"), "its entry was gone for some time")
	v.Remove("w-2")
	for range 80 {
		read(pause)
	}
	read(pause, workload.Worker{ID: "w-2", Incarnation: 4000})
	assert.False(t, restarted("w-2"), "no order to the earlier process has an effect any more")
}
