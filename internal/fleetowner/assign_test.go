package fleetowner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/assignments"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/partitioning"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// fencedStore keeps the records of all partitions, and refuses writes of a lower epoch than it has seen.
type fencedStore struct {
	slowStore
	mu      sync.Mutex
	records map[platform.Partition][]platform.KeyedRecord
	epochs  map[platform.Partition]int64
	changed chan struct{}
	// beforeWrite is called before records are stored, nil for nothing.
	beforeWrite func()
}

func newFencedStore() *fencedStore {
	return &fencedStore{records: map[platform.Partition][]platform.KeyedRecord{}, epochs: map[platform.Partition]int64{}, changed: make(chan struct{})}
}

func (s *fencedStore) AppendSpan(_ context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	if s.beforeWrite != nil && len(records) > 0 {
		s.beforeWrite()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if producer != nil {
		if producer.Epoch < s.epochs[p] {
			return platform.Span{}, platform.StoreFenced, assert.AnError
		}
		s.epochs[p] = producer.Epoch
	}
	s.records[p] = append(s.records[p], records...)
	if len(records) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return platform.Span{}, platform.StoreOK, nil
}

func (s *fencedStore) Newest(_ context.Context, p platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Batch{Records: slices.Clone(s.records[p]), Next: int64(len(s.records[p]))}, platform.StoreOK, nil
}

func (s *fencedStore) Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error) {
	s.mu.Lock()
	records, changed := slices.Clone(s.records[p][from:]), s.changed
	s.mu.Unlock()
	if len(records) == 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return platform.Batch{Records: records, Next: from + int64(len(records))}, platform.StoreOK, nil
}

func configOf(services ...string) *workload.Config {
	config := &workload.Config{Version: 1}
	for _, s := range services {
		config.Services = append(config.Services, workload.Service{Name: s})
	}
	return config
}

// fixedConfig is a configuration that doesn't change.
type fixedConfig []string

func (c fixedConfig) Services() []string { return c }

func (fixedConfig) Changed() <-chan struct{} { return nil }

// assignRig is a store, and a node with the known partitions.
type assignRig struct {
	store *fencedStore
	known *assignments.Follower
}

func newAssignRig(services []string) *assignRig {
	store := newFencedStore()
	return &assignRig{store: store, known: assignments.New(store, fixedConfig(services), 12, hclog.NewNullLogger())}
}

func (r *assignRig) assigner(epoch int64) *assigner {
	return newAssigner(Deps{Store: r.store, Hedger: hedge.New(), Assignments: r.known, Partitions: 12, Logger: hclog.NewNullLogger()}, epoch)
}

var fiveServices = serviceNames(configOf("booking", "fitting", "returns", "dispatch", "backoffice"))

// Guards against two partitions of one service: an owner of the fleet that was replaced while it assigned
// must not store another one.
func TestAReplacedFleetOwnerAssignsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAssignRig(fiveServices)
		earlier, later := r.assigner(7), r.assigner(8)
		r.store.beforeWrite = func() {
			r.store.beforeWrite = nil
			require.NoError(t, later.assign(t.Context(), fiveServices))
		}
		require.ErrorIs(t, earlier.assign(t.Context(), fiveServices), ErrOwnershipLost)
		assert.Empty(t, r.known.Table().Missing(fiveServices))
		stored := partitioning.Table{}
		for _, record := range r.store.records[platform.Partition{Topic: assignments.Topic}] {
			service, partition, err := partitioning.Decode(record.Key, record.Value, 12)
			require.NoError(t, err)
			assert.NotContains(t, stored, service)
			stored[service] = partition
		}
		assert.Equal(t, r.known.Table(), stored)
	})
}

// Guards against nodes that never learn of an assignment, or learn of it late: they read while a service
// lacks a partition and no longer.
func TestNodesLearnPartitionsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAssignRig(fiveServices)
		ctx, cancel := context.WithCancel(t.Context())
		other := assignments.New(r.store, fixedConfig(fiveServices), 12, hclog.NewNullLogger())
		go func() { assert.ErrorIs(t, other.Run(ctx), context.Canceled) }()
		time.Sleep(3 * time.Second)
		_, ok := other.PartitionOf("booking")
		assert.False(t, ok)
		require.NoError(t, r.assigner(7).assign(ctx, fiveServices))
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, r.known.Table(), other.Table())
		assert.Equal(t, 5, other.Count())
		cancel()
		synctest.Wait()
	})
}

// Guards against jobs that nobody runs after an update from a version that assigned partitions by name:
// services that share a partition stay there if it holds jobs.
func TestServicesWithStoredJobsKeepTheirPartition(t *testing.T) {
	var sharing []string
	for i := range 200 {
		candidates := append(slices.Clone(sharing), "service-"+string(rune('a'+i%26))+string(rune('a'+i/26)))
		if shared := partitioning.Shared(candidates, 12); len(shared) > 0 {
			sharing = candidates
			break
		}
		sharing = candidates
	}
	shared := partitioning.Shared(sharing, 12)
	require.Len(t, shared, 1)
	for holdsJobs, together := range map[bool]bool{false: false, true: true} {
		synctest.Test(t, func(t *testing.T) {
			r := newAssignRig(sharing)
			if holdsJobs {
				records, err := joblog.Encode([]workload.Record{{Job: "00000000000000aa", Submission: &workload.Submission{Service: sharing[0], Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}}}, nil)
				require.NoError(t, err)
				r.store.records[platform.Partition{Topic: joblog.JobsTopic, Part: shared[0]}] = records
			}
			ctx, cancel := context.WithCancel(t.Context())
			require.NoError(t, r.assigner(7).assign(ctx, sharing))
			cancel()
			inShared := 0
			for _, p := range r.known.Table() {
				if p == shared[0] {
					inShared++
				}
			}
			assert.Equal(t, together, inShared == 2, "%v", r.known.Table())
			synctest.Wait()
		})
	}
}

// Guards against services that never get a partition because another writer left an entry in the topic, or damaged the
// entry of another service.
func TestOddEntriesDoNotBlockOtherAssignments(t *testing.T) {
	for name, odd := range map[string]platform.KeyedRecord{
		"foreign key":               {Key: "note", Value: []byte("by another writer")},
		"empty key":                 {Key: "", Value: []byte(`{"partition":1}`)},
		"service not configured":    {Key: partitioning.KeyPrefix + "other", Value: []byte(`{"partition":1e300}`)},
		"entry of a service":        {Key: partitioning.KeyPrefix + "booking", Value: []byte(`{"partition":99999}`)},
		"entry of a service, empty": {Key: partitioning.KeyPrefix + "booking", Value: []byte(`{}`)},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newAssignRig(fiveServices)
			topic := platform.Partition{Topic: assignments.Topic}
			r.store.records[topic] = []platform.KeyedRecord{odd}
			ctx, cancel := context.WithCancel(t.Context())
			err := r.assigner(7).assign(ctx, fiveServices)
			if odd.Key == partitioning.KeyPrefix+"booking" {
				assert.ErrorIs(t, err, errUnusableEntries, name)
				assert.Equal(t, []string{"booking"}, r.known.Table().Missing(fiveServices), "its jobs may be in any partition")
			} else {
				require.NoError(t, err, name)
				assert.Empty(t, r.known.Table().Missing(fiveServices), name)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a service that is lost with its entry although its partition is known.
func TestDamagedEntryOfAKnownServiceIsStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAssignRig(fiveServices)
		topic := platform.Partition{Topic: assignments.Topic}
		r.store.records[topic] = []platform.KeyedRecord{{Key: partitioning.KeyPrefix + "booking", Value: []byte("?")}}
		r.known.Add(partitioning.Table{"booking": 7})
		ctx, cancel := context.WithCancel(t.Context())
		require.NoError(t, r.assigner(7).assign(ctx, fiveServices))
		assert.Empty(t, r.known.Table().Missing(fiveServices))
		newest := map[string]int{}
		for _, record := range r.store.records[topic][1:] {
			service, partition, err := partitioning.Decode(record.Key, record.Value, 12)
			require.NoError(t, err)
			newest[service] = partition
		}
		assert.Equal(t, map[string]int(r.known.Table()), newest)
		assert.Equal(t, 7, newest["booking"])
		cancel()
		synctest.Wait()
	})
}
