package joblog_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// slowStore takes appendTime for each append and counts appends and records.
type slowStore struct {
	appendTime time.Duration
	appendErr  error

	mu             sync.Mutex
	appends        int
	records        int
	sendsByKey     map[string]int
	maxAppendBytes int
}

func (s *slowStore) AppendSpan(ctx context.Context, _ platform.Partition, _ *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	s.mu.Lock()
	s.appends++
	s.records += len(records)
	if s.sendsByKey == nil {
		s.sendsByKey = map[string]int{}
	}
	bytes := 0
	for _, r := range records {
		s.sendsByKey[r.Key]++
		bytes += len(r.Key) + len(r.Value)
	}
	s.maxAppendBytes = max(s.maxAppendBytes, bytes)
	s.mu.Unlock()
	select {
	case <-time.After(s.appendTime):
	case <-ctx.Done():
		return platform.Span{}, platform.StoreUnknown, ctx.Err()
	}
	if s.appendErr != nil {
		return platform.Span{}, platform.StoreUnknown, s.appendErr
	}
	return platform.Span{}, platform.StoreOK, nil
}

func (s *slowStore) Read(context.Context, platform.Partition, int64, time.Duration) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreRefused, nil
}

func (s *slowStore) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreRefused, nil
}

func cancelRecord(i int) workload.Record {
	return workload.Record{Job: workload.JobID(strconv.Itoa(i)), Cancel: true}
}

// storeAndWait stores a record and waits as long as ctx allows.
func storeAndWait(ctx context.Context, a *joblog.Acceptor, partition int, r workload.Record) (platform.StoreStatus, error) {
	status, _, err := a.Store(ctx, partition, r, nil)
	return status, err
}

// Forty callers arrive at the same time while the store is slow. The first record goes alone
// and the others together in the next append, so no caller waits for more than a few appends.
func TestConcurrentRecordsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{appendTime: 80 * time.Millisecond}
		a := joblog.NewAcceptor(store, hedge.New(), joblog.Limits{}, nil)
		began := time.Now()
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				status, err := storeAndWait(t.Context(), a, 3, cancelRecord(i))
				assert.NoError(t, err)
				assert.Equal(t, platform.StoreOK, status)
			})
		}
		all.Wait()
		assert.LessOrEqual(t, store.appends, 3)
		assert.Equal(t, 40, store.records)
		assert.LessOrEqual(t, time.Since(began), 3*store.appendTime)
	})
}

// The store does not answer. A caller whose record is in flight must not be refused, since
// the record may be stored. A record that still waits is never sent and may be refused.
func TestOnlyUnsentRecordsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{appendTime: 10 * time.Second, appendErr: errors.New("no answer")}
		a := joblog.NewAcceptor(store, hedge.New(), joblog.Limits{}, nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		inFlight := make(chan platform.StoreStatus, 2) // as many as maxAppendsInFlight
		for i := range 2 {
			go func() {
				status, _ := storeAndWait(ctx, a, 0, cancelRecord(i))
				inFlight <- status
			}()
			synctest.Wait()
		}
		waiting, _ := storeAndWait(ctx, a, 0, cancelRecord(2))
		assert.Equal(t, platform.StoreUnknown, <-inFlight)
		assert.Equal(t, platform.StoreUnknown, <-inFlight)
		assert.Equal(t, platform.StoreRefused, waiting)
		time.Sleep(time.Minute)
		assert.Zero(t, store.sendsByKey["c/2"], "the waiting record must never be sent")
		assert.Positive(t, store.sendsByKey["c/0"])
	})
}

// Jobs of a quarter of a MB each wait while the store is slow. The store accepts 2 MB in one
// call and refuses a larger call as a whole: each caller whose job is in the batch would get
// an error as if its own job were invalid.
func TestBatchStaysWithinStoreCallLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxCallBytes = 2 << 20
		store := &slowStore{appendTime: 150 * time.Millisecond}
		a := joblog.NewAcceptor(store, hedge.New(), joblog.Limits{}, nil)
		large := &workload.Submission{Spec: workload.Spec{Payload: strings.Repeat("x", 250<<10)}}
		var all sync.WaitGroup
		for i := range 30 {
			all.Go(func() {
				r := workload.Record{Job: workload.JobID(strconv.Itoa(i)), Submission: large}
				status, err := storeAndWait(t.Context(), a, 0, r)
				assert.NoError(t, err)
				assert.Equal(t, platform.StoreOK, status)
			})
		}
		all.Wait()
		assert.Equal(t, 30, len(store.sendsByKey))
		assert.Less(t, store.maxAppendBytes, maxCallBytes)
	})
}

// pickyStore rejects an append with a record of the key of a job as a whole.
type pickyStore struct {
	slowStore
	rejected string
}

func (s *pickyStore) AppendSpan(ctx context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	span, status, err := s.slowStore.AppendSpan(ctx, p, producer, records...)
	for _, r := range records {
		if strings.Contains(r.Key, s.rejected) {
			return platform.Span{}, platform.StoreInvalid, errors.New("rejected")
		}
	}
	return span, status, err
}

// Guards against jobs that are refused because a job of another caller in the same append is larger than a record of
// the store, or is rejected by it.
func TestOneCallersJobFailsNoOthers(t *testing.T) {
	for name, large := range map[string]int{"rejected": 10, "too large": 5000} {
		synctest.Test(t, func(t *testing.T) {
			store := &pickyStore{slowStore: slowStore{appendTime: 50 * time.Millisecond}, rejected: "00000000000000bad"[1:]}
			a := joblog.NewAcceptor(store, hedge.New(), joblog.Limits{Record: 1000, Call: 100_000}, nil)
			var stored sync.WaitGroup
			for i := range 20 {
				id, payload := workload.JobID("00000000000001"+strconv.Itoa(10+i)), "p"
				if i == 10 {
					id, payload = workload.JobID(store.rejected), strings.Repeat("p", large)
				}
				stored.Go(func() {
					status, _, err := a.Store(t.Context(), 0, workload.Record{Job: id, Submission: &workload.Submission{Spec: workload.Spec{Payload: payload}}}, nil)
					if string(id) == store.rejected {
						assert.Equal(t, platform.StoreInvalid, status, name)
						assert.Error(t, err, name)
						return
					}
					assert.Equal(t, platform.StoreOK, status, name)
				})
			}
			stored.Wait()
		})
	}
}
