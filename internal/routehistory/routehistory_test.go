package routehistory

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

var observedAt = time.UnixMilli(1_700_000_000_000)

// leadingTo returns a configuration whose path /jobs/ leads to a service.
func leadingTo(version int64, service string) *workload.Config {
	return &workload.Config{Version: version, Queues: []workload.Queue{{Name: "queue", Host: "h", PathPrefix: "/jobs/", Service: service}}}
}

// Guards against jobs that are not found after their path has led away and back, or was removed meanwhile.
func TestAPathKeepsAllItsServices(t *testing.T) {
	table, p := Table{}, Path{"h", "/jobs/"}
	assert.Len(t, table.Observe(leadingTo(1, "a").Queues, observedAt), 1)
	assert.Zero(t, table[p].ChangedAtMS)
	assert.Empty(t, table.Observe(nil, observedAt), "the path was removed")
	assert.Empty(t, table.Observe(leadingTo(3, "a").Queues, observedAt), "and came back")
	assert.Len(t, table.Observe(leadingTo(4, "b").Queues, observedAt.Add(time.Second)), 1)
	assert.Len(t, table.Observe(leadingTo(5, "a").Queues, observedAt.Add(2*time.Second)), 1)
	assert.Equal(t, []string{"a", "b"}, table[p].Services)
	assert.Equal(t, observedAt.Add(2*time.Second).UnixMilli(), table[p].ChangedAtMS)
}

// Guards against an entry that the store can't keep or that is read as another one.
func TestEntriesSurviveTheStore(t *testing.T) {
	e := Entry{Host: "h", Prefix: "/" + strings.Repeat("long/", 200), Services: []string{"a", "b"}, Current: "b", ChangedAtMS: 5}
	key, value, err := e.Encode()
	require.NoError(t, err)
	assert.LessOrEqual(t, len(key), 255)
	decoded, err := Decode(value)
	require.NoError(t, err)
	assert.Equal(t, e, decoded)
	for _, bad := range []string{"", "[]", `{"host":"h"}`} {
		_, err := Decode([]byte(bad))
		assert.Error(t, err, bad)
	}
}

// storedEntries is a source and the configuration in force.
type storedEntries struct {
	entries []Entry
	status  platform.StoreStatus
	config  *workload.Config
	changed chan struct{}
	reads   int
}

func (s *storedEntries) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	s.reads++
	var batch platform.Batch
	for _, e := range s.entries {
		key, value, err := e.Encode()
		if err != nil {
			return batch, platform.StoreInvalid, err
		}
		batch.Records = append(batch.Records, platform.KeyedRecord{Key: key, Value: value})
	}
	return batch, s.status, nil
}

func (s *storedEntries) Config() *workload.Config { return s.config }
func (s *storedEntries) Changed() <-chan struct{} { return s.changed }

// Guards against a node that has restarted and knows only the newest configuration, and against one that takes its
// own memory for the whole history before it could read the store.
func TestANodeReadsWhatItHasNotSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &storedEntries{status: platform.StoreRefused, config: leadingTo(7, "b"), changed: make(chan struct{})}
		source.entries = []Entry{{Host: "h", Prefix: "/jobs/", Services: []string{"a", "b"}, Current: "b", ChangedAtMS: observedAt.UnixMilli()}}
		f := New(source, source, hclog.NewNullLogger())
		go func() { assert.ErrorIs(t, f.Run(ctx), context.Canceled) }()
		queue := &source.config.Queues[0]
		time.Sleep(time.Second)
		assert.Equal(t, Former{}, f.Former(source.config, queue), "the store has not answered")
		source.status = platform.StoreOK
		time.Sleep(time.Second)
		assert.Equal(t, Former{Services: []string{"a"}, ChangedAt: observedAt, IsComplete: true}, f.Former(source.config, queue))

		reads := source.reads
		later := leadingTo(9, "c")
		former := f.Former(later, &later.Queues[0])
		assert.ElementsMatch(t, []string{"a", "b"}, former.Services)
		assert.False(t, former.IsComplete)
		source.config = later
		close(source.changed)
		source.changed = make(chan struct{})
		time.Sleep(time.Second)
		assert.True(t, f.Former(later, &later.Queues[0]).IsComplete)
		assert.Equal(t, reads+1, source.reads, "a configuration costs a read only if it has a new route")
		cancel()
		synctest.Wait()
	})
}
