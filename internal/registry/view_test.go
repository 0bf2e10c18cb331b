package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
