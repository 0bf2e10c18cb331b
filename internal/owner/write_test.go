package owner

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// sequencedStore accepts the appends of a producer in sequence. It answers the first ones with statuses.
type sequencedStore struct {
	memoryStore
	statuses []platform.StoreStatus
	appends  [][]platform.KeyedRecord // by sequence, from 1 on
	calls    int
}

func (s *sequencedStore) AppendSpan(_ context.Context, _ platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	s.calls++
	if len(s.statuses) > 0 {
		status := s.statuses[0]
		s.statuses = s.statuses[1:]
		if status != platform.StoreOK {
			return platform.Span{}, status, errors.New("not stored")
		}
	}
	switch {
	case producer.Sequence == int64(len(s.appends))+1:
		s.appends = append(s.appends, records)
	case producer.Sequence != int64(len(s.appends)):
		return platform.Span{}, platform.StoreOutOfSequence, errors.New("out of sequence")
	}
	return platform.Span{}, platform.StoreOK, nil
}

func newWritingOwner(store *sequencedStore, limits joblog.Limits) (*Owner, *scheduler.Core, *prometheus.Registry) {
	metrics := prometheus.NewRegistry()
	o := New(Deps{Store: store, Hedger: hedge.New(), Logger: hclog.NewNullLogger(), Metrics: NewMetrics(metrics), StoreLimits: limits}, 3, 7)
	return o, scheduler.New(scheduler.Settings{Epoch: 7}, time.Now(), nil, false), metrics
}

// rejectedRecords returns the value of the metric of rejected records, for all reasons together.
func rejectedRecords(t *testing.T, metrics *prometheus.Registry) float64 {
	families, err := metrics.Gather()
	require.NoError(t, err)
	total := 0.0
	for _, f := range families {
		if f.GetName() == "yuccadrift_owner_records_rejected_total" {
			for _, m := range f.GetMetric() {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}

// progressOf returns records of the progress of n jobs of some 100 bytes each, and of large bytes for job 0.
func progressOf(n, large int) []workload.Record {
	var records []workload.Record
	for i := range n {
		records = append(records, workload.Record{Job: workload.JobID("00000000000000" + string(rune('a'+i)) + "0"), Progress: &workload.Progress{DoneTasks: make([]byte, 60)}})
	}
	if large > 0 {
		records[0].Progress.Crashes = map[string][]workload.Crash{"0.0.0": {{Worker: strings.Repeat("w", large)}}}
	}
	return records
}

// Guards against a partition that all owners give up in turn because the store rejects a write: the next owner would
// send the same.
func TestARejectedWriteIsNoLossOfOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &sequencedStore{statuses: []platform.StoreStatus{platform.StoreInvalid, platform.StoreInvalid}}
		o, core, metrics := newWritingOwner(store, joblog.Limits{})
		began := time.Now()
		o.write(t.Context(), scheduler.WriteOrder{Sequence: 1, Records: progressOf(1, 0)})
		o.applyQueuedEvents(core)
		assert.Empty(t, core.StepDownReason())
		assert.Len(t, store.appends, 1)
		assert.Equal(t, 2*invalidWriteRetryInterval, time.Since(began))
		assert.InDelta(t, 2, rejectedRecords(t, metrics), 0)
	})
}

// Guards against a write that the store refuses since its records, or one of them, are larger than it accepts: the
// progress of all other jobs would not be stored either.
func TestAWriteIsStoredWhateverItsSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &sequencedStore{}
		o, core, metrics := newWritingOwner(store, joblog.Limits{Record: 300, Call: 400})
		o.write(t.Context(), scheduler.WriteOrder{Sequence: 1, Records: progressOf(8, 1000)})
		o.write(t.Context(), scheduler.WriteOrder{Sequence: 2, Records: progressOf(2, 0)})
		o.applyQueuedEvents(core)
		assert.Empty(t, core.StepDownReason())
		stored := 0
		for _, records := range store.appends {
			stored += len(records)
		}
		assert.Equal(t, 10, stored)
		assert.Greater(t, len(store.appends), 3)
		assert.InDelta(t, 1, rejectedRecords(t, metrics), 0)
	})
}

// Guards against a handover that leaves out a write, or the rest of one, because the owner was stopped meanwhile.
func TestAnInterruptedWriteIsCompletedBeforeTheHandover(t *testing.T) {
	for name, statuses := range map[string][]platform.StoreStatus{
		"before its first append": {platform.StoreRefused},
		"between two appends":     {platform.StoreOK, platform.StoreRefused},
		"not begun":               nil,
	} {
		synctest.Test(t, func(t *testing.T) {
			store := &sequencedStore{statuses: statuses}
			o, _, _ := newWritingOwner(store, joblog.Limits{Record: 300, Call: 400})
			o.lastWrite = scheduler.WriteOrder{Sequence: 1, Records: progressOf(8, 0)}
			ctx, cancel := context.WithTimeout(t.Context(), writeRetryInterval/2)
			defer cancel()
			if statuses == nil {
				cancel()
			}
			o.write(ctx, o.lastWrite)
			assert.True(t, o.completeLastWrite(t.Context()), name)
			stored := 0
			for _, records := range store.appends {
				stored += len(records)
			}
			assert.Equal(t, 8, stored, name)
		})
	}
}
