package assignments

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/platform"
)

// droppingSource has the same records at each full read, and none before or after any offset.
type droppingSource struct {
	reads   int
	records []platform.KeyedRecord
}

func (s *droppingSource) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	s.reads++
	return platform.Batch{Next: 5, Records: s.records}, platform.StoreOK, nil
}

func (s *droppingSource) Read(context.Context, platform.Partition, int64, time.Duration) (platform.Batch, platform.StoreStatus, error) {
	s.reads++
	return platform.Batch{}, platform.StoreDropped, nil
}

// services is a configuration that doesn't change.
type services []string

func (s services) Services() []string { return s }

func (services) Changed() <-chan struct{} { return nil }

// Guards against a node that uses up its processor, the store's reads and its log: one service has no partition, an
// entry is odd, and the store answers at once that the records it has just named are gone.
func TestReadsOfDroppedEntriesArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &droppingSource{records: []platform.KeyedRecord{
			{Key: "service/a", Value: []byte(`{"partition":3}`)}, {Key: "service/b", Value: []byte(`{"partition":1e300}`)},
		}}
		var log strings.Builder
		f := New(source, services{"a", "b"}, 4, hclog.New(&hclog.LoggerOptions{Output: &log}))
		go func() { assert.ErrorIs(t, f.Run(ctx), context.Canceled) }()
		time.Sleep(10 * time.Second)
		assert.Less(t, source.reads, 105, "two each %s at most", readRetryInterval)
		assert.Equal(t, 1, f.Count())
		assert.Equal(t, 1, strings.Count(log.String(), "\n"))
		cancel()
		synctest.Wait()
	})
}
