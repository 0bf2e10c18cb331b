package joblog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// maxBatchRecords is how many records one append has at most: more than a slow store is
	// brought while it carries one out, some 200 jobs a second for half a second.
	maxBatchRecords = 256
	// maxBatchBytes is how many bytes of keys and values it has at most: half of the
	// 2 MB that the store takes in one call. It refuses a larger one as a whole, and a
	// single job may have a quarter of a MB.
	maxBatchBytes = 1 << 20
	// maxAppendsInFlight is how many appends to a partition are under way at once. The way of
	// the answer takes as long as the append itself: with a second one on its way a
	// record waits half as long for its turn. More would make the store's queue longer
	// for what the owner writes.
	maxAppendsInFlight = 2
	// maxQueuedRecords is how many records wait for one partition at most: what a slow store
	// takes in some 2 s. Of usual jobs of 1.3 kB they take 1.4 MB of memory.
	maxQueuedRecords = 1024
)

// OnStored is told which records of a partition were just stored.
type OnStored func(partition int, records []workload.Record)

// Acceptor stores records of callers' requests. Those that come while an append
// to their partition is under way go together into the next one: the store takes
// appends to a partition one at a time, and a slow one would have a queue of them
// longer than callers wait. It is safe for concurrent use.
type Acceptor struct {
	store    Store
	hedger   *hedge.Hedger
	onStored OnStored

	mu     sync.Mutex
	queues map[int]*partitionQueue
}

// partitionQueue is what waits for one partition, or is under way to it.
type partitionQueue struct {
	waiting         []*storeRequest
	byKey           map[string]*storeRequest // waiting or under way
	appendsInFlight int                      // appends
}

// storeRequest is one record that waits for its outcome. Several callers may: a request
// that is sent again joins the one under way.
type storeRequest struct {
	record  workload.Record
	encoded platform.KeyedRecord
	callers int
	done    chan struct{} // closed once status and err are set
	status  platform.StoreStatus
	err     error
}

// NewAcceptor returns an acceptor. stored may be nil.
func NewAcceptor(store Store, hedger *hedge.Hedger, onStored OnStored) *Acceptor {
	if onStored == nil {
		onStored = func(int, []workload.Record) {}
	}
	return &Acceptor{store: store, hedger: hedger, onStored: onStored, queues: map[int]*partitionQueue{}}
}

// Store stores a record of a caller's request. Doing so twice is harmless: the
// first submission of an ID counts. StoreRefused means that the record certainly
// is not and will not be stored. Once bound has passed, pending is returned while
// the outcome is open; who still wants it calls again. A nil bound never passes.
func (a *Acceptor) Store(ctx context.Context, partition int, r workload.Record, pendingAfter <-chan time.Time) (status platform.StoreStatus, pending bool, err error) {
	key, value, err := r.Encode()
	if err != nil {
		return platform.StoreInvalid, false, err
	}
	entry, err := a.enqueue(partition, r, platform.KeyedRecord{Key: key, Value: value})
	if err != nil {
		return platform.StoreRefused, false, err
	}
	select {
	case <-entry.done:
		return entry.status, false, entry.err
	case <-pendingAfter:
		a.detachCaller(entry)
		return platform.StoreUnknown, true, nil
	case <-ctx.Done():
	}
	if a.withdraw(partition, entry) {
		return platform.StoreRefused, false, errors.New("the request's time ended before it was sent to the store")
	}
	return platform.StoreUnknown, false, ctx.Err()
}

// enqueue returns the record's place in the queue, the present one if the same is
// waiting or under way already.
func (a *Acceptor) enqueue(partition int, r workload.Record, encoded platform.KeyedRecord) (*storeRequest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[partition]
	if q == nil {
		q = &partitionQueue{byKey: map[string]*storeRequest{}}
		a.queues[partition] = q
	}
	if existing := q.byKey[encoded.Key]; existing != nil {
		existing.callers++
		return existing, nil
	}
	if len(q.waiting) >= maxQueuedRecords {
		return nil, errors.Errorf("%d records wait for the store already", len(q.waiting))
	}
	entry := &storeRequest{record: r, encoded: encoded, callers: 1, done: make(chan struct{})}
	q.waiting = append(q.waiting, entry)
	q.byKey[encoded.Key] = entry
	if q.appendsInFlight < maxAppendsInFlight {
		q.appendsInFlight++
		go a.appendQueued(partition, q)
	}
	return entry, nil
}

// detachCaller notes that a caller doesn't wait any more. The record stays in the queue.
func (a *Acceptor) detachCaller(entry *storeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry.callers--
}

// withdraw takes a record back that no append has taken up and that nobody else
// waits for.
func (a *Acceptor) withdraw(partition int, entry *storeRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry.callers--
	q := a.queues[partition]
	for i, w := range q.waiting {
		if w == entry && entry.callers == 0 {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			delete(q.byKey, entry.encoded.Key)
			return true
		}
	}
	return false
}

// appendQueued appends until nothing waits.
func (a *Acceptor) appendQueued(partition int, q *partitionQueue) {
	for {
		batch := a.nextBatch(q)
		if batch == nil {
			return
		}
		encoded := make([]platform.KeyedRecord, len(batch))
		records := make([]workload.Record, len(batch))
		for i, w := range batch {
			encoded[i] = w.encoded
			records[i] = w.record
		}
		part := platform.Partition{Topic: JobsTopic, Part: partition}
		// The calls have time-outs of their own; a caller that leaves does not end
		// the append of the others.
		status, err := a.hedger.Write(context.Background(), func(ctx context.Context) (platform.StoreStatus, error) {
			return a.store.Append(ctx, part, nil, encoded...)
		})
		if status == platform.StoreOK {
			a.onStored(partition, records)
		}
		a.completeBatch(q, batch, status, err)
	}
}

// completeBatch tells all who wait for a batch how it ended.
func (a *Acceptor) completeBatch(q *partitionQueue, batch []*storeRequest, status platform.StoreStatus, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range batch {
		w.status, w.err = status, err
		delete(q.byKey, w.encoded.Key)
		close(w.done)
	}
}

// nextBatch takes what waits, nil if nothing does.
func (a *Acceptor) nextBatch(q *partitionQueue) []*storeRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(q.waiting) == 0 {
		q.appendsInFlight--
		return nil
	}
	n := batchSize(q.waiting)
	batch := q.waiting[:n:n]
	q.waiting = append([]*storeRequest(nil), q.waiting[n:]...)
	return batch
}

// batchSize is how many of the records that wait go into one append: at least one.
func batchSize(waiting []*storeRequest) int {
	bytes := 0
	for i, w := range waiting {
		bytes += len(w.encoded.Key) + len(w.encoded.Value)
		if i == maxBatchRecords || i > 0 && bytes > maxBatchBytes {
			return i
		}
	}
	return len(waiting)
}
