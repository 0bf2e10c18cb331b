package fleetowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// slowFirstWaveStore delays the first state of a wave and records the last one written.
type slowFirstWaveStore struct {
	slowStore
	calls int
	state workload.WaveState
}

func (s *slowFirstWaveStore) WriteWaveState(_ context.Context, _ int64, state workload.WaveState) (platform.StoreStatus, error) {
	if s.calls++; s.calls == 1 {
		time.Sleep(3 * time.Second)
	}
	s.state = state
	return platform.StoreOK, nil
}

// Guards against a completed wave that stays published as running: two writes of its progress overlap, and the earlier
// one is stored last.
func TestLatestProgressOfAWaveIsStoredLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowFirstWaveStore{}
		o := New(Deps{Store: store, Hedger: hedge.New(), Logger: hclog.NewNullLogger()}, 0, 7)
		ctx, cancel := context.WithCancel(t.Context())
		go o.writer.run(ctx)
		o.execute(ctx, []fleet.Action{fleet.Action{Verb: fleet.StoreWave, Wave: 1, State: workload.WaveRunning, DoneVMs: []string{"vm-1"}}})
		time.Sleep(100 * time.Millisecond)
		o.execute(ctx, []fleet.Action{fleet.Action{Verb: fleet.StoreWave, Wave: 1, State: workload.WaveCompleted, DoneVMs: []string{"vm-1", "vm-2"}}})
		for ended := time.Now().Add(10 * time.Second); time.Now().Before(ended); time.Sleep(10 * time.Millisecond) {
			select {
			case e := <-o.inbox:
				e(nil, time.Now())
			default:
			}
		}
		cancel()
		synctest.Wait()
		assert.Equal(t, workload.WaveCompleted, store.state)
	})
}
