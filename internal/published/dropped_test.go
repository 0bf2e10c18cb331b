package published

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/platform"
)

// droppingSource has no records before or after any offset.
type droppingSource struct{ reads int }

func (s *droppingSource) NewestOperatorChanges(context.Context) (platform.Batch, platform.StoreStatus, error) {
	s.reads++
	return platform.Batch{Next: 5}, platform.StoreOK, nil
}

func (s *droppingSource) ReadOperatorChanges(context.Context, int64, time.Duration) (platform.Batch, platform.StoreStatus, error) {
	s.reads++
	return platform.Batch{}, platform.StoreDropped, nil
}

// Guards against a node that uses up its processor and the store's reads because the store answers at once that the
// records it has just named are gone.
func TestReadsOfDroppedRecordsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &droppingSource{}
		go func() {
			assert.ErrorIs(t, New(source, hclog.NewNullLogger()).Run(ctx), context.Canceled)
		}()
		time.Sleep(10 * time.Second)
		assert.Less(t, source.reads, 210, "two each %s at most", minRetryInterval)
		assert.Greater(t, source.reads, 20)
		cancel()
		synctest.Wait()
	})
}
