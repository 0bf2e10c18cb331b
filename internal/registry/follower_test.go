package registry

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/platform"
)

// fakeSource answers full reads with newest and other reads with next.
type fakeSource struct {
	newest, next platform.Batch
}

func (s *fakeSource) NewestWorkers(context.Context) (platform.Batch, platform.StoreStatus, error) {
	return s.newest, platform.StoreOK, nil
}

func (s *fakeSource) ReadWorkers(context.Context, int64) (platform.Batch, platform.StoreStatus, error) {
	return s.next, platform.StoreOK, nil
}

const goodEntry = `{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","sequence":4,"capacity":{"cpu":16000,"mem_mb":65536},"labels":["a"]}`

func entry(key, value string) platform.KeyedRecord {
	return platform.KeyedRecord{Key: key, Value: []byte(value)}
}

// Another writer puts unusable entries beside the workers' entries, or in place of one. Tasks
// started on such a worker would never begin, and a takeover would wait for its answer.
// Unusable entries must be skipped and must not affect the others.
func TestUnusableEntriesAreNotListed(t *testing.T) {
	for name, bad := range map[string]string{
		"no JSON":            "\x00\xff{",
		"a list":             `[1,2]`,
		"service missing":    `{"address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}}`,
		"address missing":    `{"service":"s","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}}`,
		"address of no host": `{"service":"s","address":"nowhere","zone":"z","state":"ready","capacity":{"cpu":1,"mem_mb":1}}`,
		"zone missing":       `{"service":"s","address":"10.0.0.9:80","state":"ready","capacity":{"cpu":1,"mem_mb":1}}`,
		"state missing":      `{"service":"s","address":"10.0.0.9:80","zone":"z","capacity":{"cpu":1,"mem_mb":1}}`,
		"state not known":    `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"resting","capacity":{"cpu":1,"mem_mb":1}}`,
		"capacity missing":   `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready"}`,
		"capacity in part":   `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1}}`,
		"capacity below 0":   `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":-1,"mem_mb":1}}`,
		"capacity a number":  `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":16}`,
		"slots a text":       `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","slots":"8","capacity":{"cpu":1,"mem_mb":1}}`,
		"labels a text":      `{"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","labels":"a","capacity":{"cpu":1,"mem_mb":1}}`,
	} {
		source := &fakeSource{
			newest: platform.Batch{Records: []platform.KeyedRecord{entry("w-1", goodEntry), entry("other", bad), entry("w-2", goodEntry)}},
			next:   platform.Batch{Records: []platform.KeyedRecord{entry("other", bad), entry("w-1", bad), entry("w-3", goodEntry)}, Unreadable: 1},
		}
		f := New(source, hclog.NewNullLogger())
		f.read(t.Context())
		assert.Equal(t, map[string]bool{"w-1": true, "w-2": true}, ids(f.Snapshot(f.lastReadAnsweredAt).Workers), name)
		f.read(t.Context())
		assert.Equal(t, map[string]bool{"w-2": true, "w-3": true}, ids(f.Snapshot(f.lastReadAnsweredAt).Workers), name)
		source.next = platform.Batch{Records: []platform.KeyedRecord{entry("w-1", goodEntry)}}
		f.read(t.Context())
		assert.Len(t, f.Snapshot(f.lastReadAnsweredAt).Workers, 3, name)
	}
}

// A worker's free capacity is zero for a while. The worker must stay on the list: an owner
// that doesn't see it would not poll it, and would start its running tasks again.
func TestWorkerWithoutCapacityStaysListed(t *testing.T) {
	full := `{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","sequence":5,"capacity":{"cpu":0,"mem_mb":0},"labels":["a"]}`
	source := &fakeSource{
		newest: platform.Batch{Records: []platform.KeyedRecord{entry("w-1", goodEntry)}},
		next:   platform.Batch{Records: []platform.KeyedRecord{entry("w-1", full)}},
	}
	f := New(source, hclog.NewNullLogger())
	f.read(t.Context())
	f.read(t.Context())
	list := f.Snapshot(f.lastReadAnsweredAt).Workers
	require.Len(t, list, 1)
	assert.Zero(t, list[0].Capacity)
}

// Guards against a log that another writer fills: an unusable entry is repeated each second, and may be long.
func TestUnusableEntryIsLoggedOnceAndBriefly(t *testing.T) {
	var out bytes.Buffer
	bad := strings.Replace(goodEntry, `"ready"`, `"`+strings.Repeat("x", 200_000)+`"`, 1)
	source := &fakeSource{
		newest: platform.Batch{Records: []platform.KeyedRecord{entry("w-1", goodEntry), entry("other", bad)}},
		next:   platform.Batch{Records: []platform.KeyedRecord{entry("other", bad)}},
	}
	f := New(source, hclog.New(&hclog.LoggerOptions{Output: &out}))
	for range 100 {
		f.read(t.Context())
	}
	assert.Equal(t, 1, strings.Count(out.String(), "\n"))
	assert.Less(t, out.Len(), 1000)
}
