package fleetowner

import (
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/routehistory"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Guards against a history that ends with the fleet's owner, or that an owner which was replaced overwrites.
func TestLaterFleetOwnersContinueTheHistoryOfPaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFencedStore()
		recorder := func(epoch int64) *routeRecorder {
			return newRouteRecorder(Deps{Store: store, Hedger: hedge.New(), Logger: hclog.NewNullLogger()}, epoch)
		}
		leadingTo := func(service string) *workload.Config {
			return &workload.Config{Queues: []workload.Queue{{Host: "h", PathPrefix: "/jobs/", Service: service}}}
		}
		first := recorder(3)
		require.NoError(t, first.record(t.Context(), leadingTo("a")))
		require.NoError(t, recorder(4).record(t.Context(), leadingTo("b")))
		require.ErrorIs(t, first.record(t.Context(), leadingTo("c")), ErrOwnershipLost)
		batch, _, err := store.Newest(t.Context(), platform.Partition{Topic: routehistory.Topic})
		require.NoError(t, err)
		entry := routehistory.DecodeBatch(batch, routehistory.NewRejections(hclog.NewNullLogger()))[routehistory.Path{Host: "h", Prefix: "/jobs/"}]
		assert.Equal(t, []string{"a", "b"}, entry.Services)
	})
}
