package owner

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/registry"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	takeoverLease     = 3500 * time.Millisecond
	takeoverLongLease = 10 * time.Second
	takeoverOverlap   = 1200 * time.Millisecond
	// takeoverListing is longer than a list of VMs takes that is answered.
	takeoverListing = 100 * time.Millisecond
)

// takeoverStore is a store with the records of one partition, a configuration and registry entries.
type takeoverStore struct {
	memoryStore
	entries []platform.KeyedRecord
}

func (s *takeoverStore) Read(ctx context.Context, p platform.Partition, from int64, maxWait time.Duration) (platform.Batch, platform.StoreStatus, error) {
	batch, status, err := s.memoryStore.Read(ctx, p, min(from, int64(len(s.records))), maxWait)
	if len(batch.Records) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(maxWait):
		}
	}
	return batch, status, err
}

func (s *takeoverStore) NewestWorkers(context.Context) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{Records: s.entries}, platform.StoreOK, nil
}

func (s *takeoverStore) ReadWorkers(context.Context, int64) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreOK, nil
}

func (s *takeoverStore) NewestOperatorChanges(context.Context) (platform.Batch, platform.StoreStatus, error) {
	config, err := json.Marshal(map[string]any{
		"version": 1, "routes": []any{map[string]any{"name": "queue", "host": "h", "path_prefix": "/", "service": "booking", "max_attempts": 3}},
		"services": []any{map[string]any{"name": "booking"}},
	})
	return platform.Batch{Records: []platform.KeyedRecord{{Key: "config", Value: config}}}, platform.StoreOK, err
}

func (s *takeoverStore) ReadOperatorChanges(ctx context.Context, _ int64, _ time.Duration) (platform.Batch, platform.StoreStatus, error) {
	<-ctx.Done()
	return platform.Batch{}, platform.StoreUnknown, ctx.Err()
}

// takeoverWorkers answers all polls without runs and records when tasks are started.
type takeoverWorkers struct {
	mu      sync.Mutex
	started []time.Time
}

func (w *takeoverWorkers) Start(context.Context, workload.Worker, workload.Start) workload.WorkerAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = append(w.started, time.Now())
	return workload.WorkerAnswer{Status: workload.WorkerOK}
}

func (w *takeoverWorkers) Stop(context.Context, workload.Worker, workload.TaskKey, int64, int64) workload.WorkerAnswer {
	return workload.WorkerAnswer{Status: workload.WorkerOK}
}

func (w *takeoverWorkers) Throttle(context.Context, workload.Worker, workload.TaskKey, int64, int, int64) workload.WorkerAnswer {
	return workload.WorkerAnswer{Status: workload.WorkerOK}
}

func (w *takeoverWorkers) Poll(ctx context.Context, _ workload.Worker, p workload.Poll) (workload.PollReport, workload.WorkerAnswer) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Millisecond + p.MaxWait):
	}
	return workload.PollReport{}, workload.WorkerAnswer{Status: workload.WorkerOK}
}

type vmListerFunc func(ctx context.Context) ([]workload.VM, error)

func (f vmListerFunc) List(ctx context.Context) ([]workload.VM, error) { return f(ctx) }

type onePartition struct{}

func (onePartition) PartitionOf(string) (int, bool) { return 0, true }
func (onePartition) Count() int                     { return 1 }

// firstStartAfterTakeover returns how long after a takeover the first task of a job starts that an earlier
// owner has accepted. The earlier owner left no handover. Worker w-2 is registered and answers, the entry of
// w-1 has been removed. list answers the new owner's requests for the VMs. The store has the given records of the
// earlier owner, too.
func firstStartAfterTakeover(t *testing.T, list vmListerFunc, records ...workload.Record) time.Duration {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const entry = `{"service":"booking","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","sequence":4,"capacity":{"cpu":16000,"mem_mb":65536},"labels":["a"]}`
	store := &takeoverStore{entries: []platform.KeyedRecord{{Key: "w-2", Value: []byte(entry)}}}
	store.put(t, workload.Record{Takeover: &workload.Takeover{Epoch: 7, InLogOrder: true}}, newSubmission(waitingJob))
	store.put(t, records...)
	logger := hclog.NewNullLogger()
	workers := &takeoverWorkers{}
	configs, entries := published.New(store, logger), registry.New(store, logger)
	entries.AddUser()
	var running sync.WaitGroup
	running.Go(func() { assert.Error(t, configs.Run(ctx)) })
	running.Go(func() { assert.Error(t, entries.Run(ctx)) })
	synctest.Wait()
	require.NotNil(t, configs.Config())
	farFuture := time.Now().Add(time.Hour)
	o := New(Deps{
		Store: store, Hedger: hedge.New(), Workers: workers, VMs: list, Published: configs, Registry: entries,
		Logger: logger, Metrics: NewMetrics(prometheus.NewRegistry()), Assignments: onePartition{},
		Bounds:               platform.Bounds{JobRetention: time.Minute, MaxLeaseDuration: takeoverLongLease},
		ConfirmingJoinSentAt: func(int) time.Time { return time.Now() },
		OwnedUntil:           func(int) time.Time { return farFuture },
		AuthorityUntil:       func(int) time.Time { return farFuture },
		MaxOwnerOverlap:      takeoverOverlap,
		RequestJoin:          func() {},
		LeaseDuration:        takeoverLease,
	}, 0, 9)
	beganAt := time.Now()
	running.Go(func() { assert.Error(t, o.Run(ctx)) })
	time.Sleep(takeoverLongLease + takeoverOverlap + 2*time.Second)
	cancel()
	running.Wait()
	time.Sleep(time.Second) // for calls in flight
	require.NotEmpty(t, workers.started)
	return workers.started[0].Sub(beganAt)
}

// Guards against a task that runs twice: a worker that is cut off from the platform has no registry entry, and
// the new owner can't list the VMs, so that it knew nothing of the worker and started its tasks elsewhere.
func TestTasksOfUnknownWorkersAreNotStartedElsewhere(t *testing.T) {
	up := workload.VM{ID: "vm-2", Pool: "booking", State: workload.VMUp, Worker: "w-2"}
	for name, list := range map[string]vmListerFunc{
		"refused": func(context.Context) ([]workload.VM, error) { return nil, errors.New("unavailable") },
		"silent": func(ctx context.Context) ([]workload.VM, error) {
			select {
			case <-ctx.Done():
			case <-time.After(1500 * time.Millisecond):
			}
			return nil, context.DeadlineExceeded
		},
		"empty": func(context.Context) ([]workload.VM, error) { return nil, nil },
		"names the cut worker": func(context.Context) ([]workload.VM, error) {
			return []workload.VM{{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"}, up}, nil
		},
		"names no worker of a VM": func(context.Context) ([]workload.VM, error) {
			return []workload.VM{{ID: "vm-1", Pool: "booking", State: workload.VMDown}, up}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.GreaterOrEqual(t, firstStartAfterTakeover(t, list), takeoverOverlap+takeoverLease)
			})
		})
	}
}

// Guards against a task that runs twice: its worker has restarted under an earlier owner, which has stored that the task
// may run there for a long lease.
func TestTasksOfWorkersWithLongLeasesAreNotStartedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wait := firstStartAfterTakeover(t, func(context.Context) ([]workload.VM, error) {
			return []workload.VM{
				{ID: "vm-1", Pool: "booking", State: workload.VMUp, Worker: "w-1"},
				{ID: "vm-2", Pool: "booking", State: workload.VMUp, Worker: "w-2"},
			}, nil
		}, workload.Record{LongLeases: &workload.LongLeases{ExpiresAtMS: map[string]int64{"w-1": time.Now().Add(time.Minute).UnixMilli()}}})
		assert.GreaterOrEqual(t, wait, takeoverOverlap+takeoverLongLease)
	})
}

// Guards against jobs that wait for all leases though the list of VMs, which was away at the takeover, shows
// that all workers have answered.
func TestJobsWaitForTheVMListNoLongerThanItIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backAt := time.Now().Add(time.Second)
		wait := firstStartAfterTakeover(t, func(context.Context) ([]workload.VM, error) {
			if time.Now().Before(backAt) {
				return nil, errors.New("unavailable")
			}
			return []workload.VM{{ID: "vm-2", Pool: "booking", State: workload.VMUp, Worker: "w-2"}}, nil
		})
		assert.GreaterOrEqual(t, wait, time.Second)
		assert.Less(t, wait, 3*time.Second/2+takeoverListing, "half as long again, and a call")
	})
}
