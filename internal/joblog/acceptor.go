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
	// maxBatchRecords bounds the records of one append: more than arrive while a slow store
	// carries one append out, some 200 jobs a second for half a second.
	maxBatchRecords = 256
	// maxBatchBytes bounds the bytes of one append, beside the store's own limit: a slow store is busy with
	// a larger one for longer than callers wait.
	maxBatchBytes = 1 << 20
	// maxAppendsInFlight bounds the concurrent appends to a partition. The round trip takes
	// about as long as the append, so a second append in flight keeps the store busy and halves
	// the wait. More would lengthen the store's queue for the owner's writes.
	maxAppendsInFlight = 2
	// maxQueuedRecords bounds the waiting records of one partition, without those in flight:
	// what a slow store accepts in some 2 s. Usual jobs of 1.3 kB then take 1.4 MB of memory.
	maxQueuedRecords = 1024
)

// OnStored is called with the records of a partition that were just stored. Their offsets follow each
// other within span.
type OnStored func(partition int, span platform.Span, records []workload.Record)

// Acceptor stores records of callers' requests. Records that arrive while appends to their
// partition are in flight go together into the next append: the store processes the appends
// to a partition one at a time, and single appends to a slow store would queue for longer
// than callers wait. Acceptor is safe for concurrent use.
type Acceptor struct {
	store    Store
	hedger   *hedge.Hedger
	limits   Limits
	onStored OnStored

	mu     sync.Mutex
	queues map[int]*partitionQueue
}

// partitionQueue holds the records of one partition that wait or are in flight.
type partitionQueue struct {
	waiting         []*storeRequest
	byKey           map[string]*storeRequest // waiting or in flight
	appendsInFlight int
}

// storeRequest is one record that is to be stored. Several calls of Store may wait for its
// outcome: a repeated request joins the one that waits or is in flight.
type storeRequest struct {
	record  workload.Record
	encoded platform.KeyedRecord
	waiters int
	done    chan struct{} // closed once status and err are set
	status  platform.StoreStatus
	err     error
}

// NewAcceptor returns an acceptor. onStored may be nil.
func NewAcceptor(store Store, hedger *hedge.Hedger, limits Limits, onStored OnStored) *Acceptor {
	if onStored == nil {
		onStored = func(int, platform.Span, []workload.Record) {}
	}
	if limits.Call == 0 || limits.Call > maxBatchBytes {
		limits.Call = max(maxBatchBytes, limits.Record+recordOverhead)
	}
	return &Acceptor{store: store, hedger: hedger, limits: limits, onStored: onStored, queues: map[int]*partitionQueue{}}
}

// Store stores a record of a caller's request. Storing it twice is harmless: the first
// submission of an ID counts. StoreRefused means that the record certainly is not and will
// not be stored. If pendingAfter fires before the outcome is known, Store returns with
// pending set, and the record is still stored; a further call of Store waits for the outcome.
// A nil pendingAfter never fires.
func (a *Acceptor) Store(ctx context.Context, partition int, r workload.Record, pendingAfter <-chan time.Time) (status platform.StoreStatus, pending bool, err error) {
	key, value, err := r.Encode()
	if err != nil {
		return platform.StoreInvalid, false, err
	}
	encoded := platform.KeyedRecord{Key: key, Value: value}
	if a.limits.IsTooLarge(encoded) {
		return platform.StoreInvalid, false, errors.Errorf("the record has %d bytes, the store accepts %d", sizeOf(encoded), a.limits.Record)
	}
	req, err := a.enqueue(partition, r, encoded)
	if err != nil {
		return platform.StoreRefused, false, err
	}
	select {
	case <-req.done:
		return req.status, false, req.err
	case <-pendingAfter:
		a.detachWaiter(req)
		return platform.StoreUnknown, true, nil
	case <-ctx.Done():
	}
	if a.withdraw(partition, req) {
		return platform.StoreRefused, false, errors.New("the request's time ended before it was sent to the store")
	}
	return platform.StoreUnknown, false, ctx.Err()
}

// enqueue adds a record to the queue and returns its request. If a record with the same key
// is waiting or in flight already, enqueue returns that request with one more waiter.
func (a *Acceptor) enqueue(partition int, r workload.Record, encoded platform.KeyedRecord) (*storeRequest, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[partition]
	if q == nil {
		q = &partitionQueue{byKey: map[string]*storeRequest{}}
		a.queues[partition] = q
	}
	if req := q.byKey[encoded.Key]; req != nil {
		req.waiters++
		return req, nil
	}
	if len(q.waiting) >= maxQueuedRecords {
		return nil, errors.Errorf("%d records wait for the store already", len(q.waiting))
	}
	req := &storeRequest{record: r, encoded: encoded, waiters: 1, done: make(chan struct{})}
	q.waiting = append(q.waiting, req)
	q.byKey[encoded.Key] = req
	if q.appendsInFlight < maxAppendsInFlight {
		q.appendsInFlight++
		go a.appendQueued(partition, q)
	}
	return req, nil
}

// detachWaiter records that a waiter no longer waits. The record stays in the queue.
func (a *Acceptor) detachWaiter(req *storeRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	req.waiters--
}

// withdraw detaches a waiter and removes the record if it is in no append and no other
// waiter is left. It reports whether the record was removed.
func (a *Acceptor) withdraw(partition int, req *storeRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	req.waiters--
	q := a.queues[partition]
	for i, queued := range q.waiting {
		if queued == req && req.waiters == 0 {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			delete(q.byKey, req.encoded.Key)
			return true
		}
	}
	return false
}

// appendQueued appends the waiting records until none is left.
func (a *Acceptor) appendQueued(partition int, q *partitionQueue) {
	for {
		batch := a.nextBatch(q)
		if batch == nil {
			return
		}
		status, err := a.append(partition, batch)
		if status == platform.StoreInvalid && len(batch) > 1 {
			// One of the records is invalid. The others must not share its outcome.
			for i := range batch {
				status, err = a.append(partition, batch[i:i+1])
				a.completeBatch(q, batch[i:i+1], status, err)
			}
			continue
		}
		a.completeBatch(q, batch, status, err)
	}
}

// append appends the records of a batch once.
func (a *Acceptor) append(partition int, batch []*storeRequest) (platform.StoreStatus, error) {
	encoded := make([]platform.KeyedRecord, len(batch))
	records := make([]workload.Record, len(batch))
	for i, req := range batch {
		encoded[i] = req.encoded
		records[i] = req.record
	}
	part := platform.Partition{Topic: JobsTopic, Part: partition}
	// The calls have their own timeouts. A waiter that gives up must not cancel the append,
	// which has records of others.
	span, status, err := appendHedged(context.Background(), a.store, a.hedger, part, nil, encoded)
	if status == platform.StoreOK {
		a.onStored(partition, span, records)
	}
	return status, err
}

// completeBatch sets the outcome of a batch and wakes its waiters.
func (a *Acceptor) completeBatch(q *partitionQueue, batch []*storeRequest, status platform.StoreStatus, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, req := range batch {
		req.status, req.err = status, err
		delete(q.byKey, req.encoded.Key)
		close(req.done)
	}
}

// nextBatch removes and returns the next records to append, nil if none wait.
func (a *Acceptor) nextBatch(q *partitionQueue) []*storeRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(q.waiting) == 0 {
		q.appendsInFlight--
		return nil
	}
	n := batchSize(q.waiting, a.limits.Call)
	batch := q.waiting[:n:n]
	q.waiting = append([]*storeRequest(nil), q.waiting[n:]...)
	return batch
}

// batchSize returns how many of the waiting records go into one append of at most maxBytes, at least one.
func batchSize(waiting []*storeRequest, maxBytes int) int {
	bytes := 0
	for i, req := range waiting {
		bytes += sizeOf(req.encoded)
		if i == maxBatchRecords || i > 0 && bytes > maxBytes {
			return i
		}
	}
	return len(waiting)
}
