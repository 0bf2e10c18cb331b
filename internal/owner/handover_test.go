package owner

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// memoryStore serves a fixed list of records to Newest. Append and Read have no effect.
type memoryStore struct {
	records      []platform.KeyedRecord
	dropsHistory bool // records can't be read from an offset
	fullReads    int
}

func (s *memoryStore) put(t *testing.T, records ...workload.Record) {
	for _, r := range records {
		key, value, err := r.Encode()
		require.NoError(t, err)
		s.records = append(s.records, platform.KeyedRecord{Key: key, Value: value})
	}
}

func (s *memoryStore) AppendSpan(context.Context, platform.Partition, *platform.Producer, ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	return platform.Span{}, platform.StoreOK, nil
}

func (s *memoryStore) Read(_ context.Context, _ platform.Partition, from int64, _ time.Duration) (platform.Batch, platform.StoreStatus, error) {
	end := int64(len(s.records))
	if s.dropsHistory && from < end {
		return platform.Batch{}, platform.StoreDropped, nil
	}
	return platform.Batch{Records: s.records[from:], Next: end, End: end}, platform.StoreOK, nil
}

func (s *memoryStore) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	s.fullReads++
	end := int64(len(s.records))
	return platform.Batch{Records: newestRecords(s.records), Next: end, End: end}, platform.StoreOK, nil
}

const predecessorAddress = "10.0.0.2:7061"

// newTakingOverOwner returns an owner of epoch 9 that takes over from an owner of epoch 7.
// release is called for the release request and returns the records of the response.
func newTakingOverOwner(t *testing.T, release func(store *memoryStore) ([]workload.Record, error)) *Owner {
	store := &memoryStore{}
	store.put(t, workload.Record{Takeover: &workload.Takeover{Epoch: 7, Address: predecessorAddress}})
	return &Owner{
		epoch:  9,
		logger: hclog.NewNullLogger(),
		log:    joblog.New(store, nil, joblog.JobsTopic, 0),
		deps: Deps{ReleasePredecessor: func(_ context.Context, address string, _ int, epoch int64) ([]workload.Record, error) {
			assert.Equal(t, predecessorAddress, address)
			assert.Equal(t, int64(9), epoch)
			return release(store)
		}},
	}
}

// Guards against running a task twice if the predecessor started it for a job stored after
// the first read of the partition. Without a second read the new owner would start the task
// again as soon as it reads the job.
func TestPartitionIsReadAgainAfterPredecessorReported(t *testing.T) {
	sub := &workload.Submission{Service: "booking", Queue: "queue", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}
	o := newTakingOverOwner(t, func(store *memoryStore) ([]workload.Record, error) {
		store.put(t, workload.Record{Job: waitingJob, Submission: sub})
		return []workload.Record{
			{Job: endedJob, Progress: &workload.Progress{Started: true}},
			{Handover: &workload.Handover{Epoch: 7, Runs: []workload.HandoverRun{{Worker: "w-1", Task: string(waitingJob) + ".0.0.0", Run: 1}}}},
		}, nil
	})
	batch, predecessor, err := o.readPartition(t.Context())
	require.NoError(t, err)
	assert.Len(t, batch.Records, 2)
	require.NotNil(t, predecessor.handover)
	assert.Len(t, predecessor.handover.Runs, 1)
	assert.Contains(t, predecessor.unstoredProgress, endedJob)
}

// Guards against accepting a missing handover, or the handover of an owner before the
// predecessor, as the list of all runs: the predecessor has started more.
func TestOnlyDirectPredecessorsReportIsAccepted(t *testing.T) {
	for name, release := range map[string]func(*memoryStore) ([]workload.Record, error){
		"handover of an owner before the predecessor": func(*memoryStore) ([]workload.Record, error) {
			return []workload.Record{{Handover: &workload.Handover{Epoch: 5}}}, nil
		},
		"node has no handover": func(*memoryStore) ([]workload.Record, error) { return nil, nil },
		"no response":          func(*memoryStore) ([]workload.Record, error) { return nil, errors.New("timeout") },
	} {
		_, predecessor, err := newTakingOverOwner(t, release).readPartition(t.Context())
		require.NoError(t, err)
		assert.Nil(t, predecessor.handover, name)
	}
}

// Guards against a takeover that reads a busy partition twice, megabytes over the link of a small VM, and
// against one that misses what was stored meanwhile, or sees an older record after a newer one.
func TestTakeoverReadsThePartitionOnce(t *testing.T) {
	sub := &workload.Submission{Service: "booking", Queue: "queue", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}
	for _, dropsHistory := range []bool{false, true} {
		var read *memoryStore
		o := newTakingOverOwner(t, func(store *memoryStore) ([]workload.Record, error) {
			read = store
			store.dropsHistory = dropsHistory
			store.put(t, workload.Record{Job: waitingJob, Submission: sub}, workload.Record{Job: endedJob, Submission: sub})
			store.put(t, workload.Record{Job: endedJob, Progress: &workload.Progress{Started: true}})
			store.put(t, workload.Record{Job: endedJob, Progress: &workload.Progress{FinalState: workload.Completed}})
			store.records = append(store.records, platform.KeyedRecord{Key: workload.JobKeys(waitingJob)[0]}) // deleted
			return []workload.Record{{Handover: &workload.Handover{Epoch: 7}}}, nil
		})
		batch, _, err := o.readPartition(t.Context())
		require.NoError(t, err)
		assert.Len(t, batch.Records, 3, "the takeover, and the ended job with its last progress")
		progress, ok, err := workload.DecodeRecord(batch.Records[2].Key, batch.Records[2].Value)
		require.NoError(t, err)
		require.True(t, ok)
		assert.Equal(t, workload.Completed, progress.Progress.FinalState)
		wantFullReads := 1
		if dropsHistory {
			wantFullReads = 2
		}
		assert.Equal(t, wantFullReads, read.fullReads)
	}
}
