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
	// maxBatch is how many records one append has at most: more than a slow store is
	// brought while it carries one out, some 200 jobs a second for half a second.
	maxBatch = 256
	// maxBatchBytes is how many bytes of keys and values it has at most: half of the
	// 2 MB that the store takes in one call. It refuses a larger one as a whole, and a
	// single job may have a quarter of a MB.
	maxBatchBytes = 1 << 20
	// maxAppends is how many appends to a partition are under way at once. The way of
	// the answer takes as long as the append itself: with a second one on its way a
	// record waits half as long for its turn. More would make the store's queue longer
	// for what the owner writes.
	maxAppends = 2
	// maxQueued is how many records wait for one partition at most: what a slow store
	// takes in some 2 s. Of usual jobs of 1.3 kB they take 1.4 MB of memory.
	maxQueued = 1024
)

// Stored is told which records of a partition were just stored.
type Stored func(partition int, records []workload.Record)

// Acceptor stores records of callers' requests. Those that come while an append
// to their partition is under way go together into the next one: the store takes
// appends to a partition one at a time, and a slow one would have a queue of them
// longer than callers wait. It is safe for concurrent use.
type Acceptor struct {
	store  Store
	hedger *hedge.Hedger
	stored Stored

	mu     sync.Mutex
	queues map[int]*acceptQueue
}

// acceptQueue is what waits for one partition, or is under way to it.
type acceptQueue struct {
	waiting []*accept
	byKey   map[string]*accept // waiting or under way
	running int                // appends
}

// accept is one record that waits for its outcome. Several callers may: a request
// that is sent again joins the one under way.
type accept struct {
	record  workload.Record
	encoded platform.KeyedRecord
	callers int
	done    chan struct{} // closed once status and err are set
	status  platform.StoreStatus
	err     error
}

// NewAcceptor returns an acceptor. stored may be nil.
func NewAcceptor(store Store, hedger *hedge.Hedger, stored Stored) *Acceptor {
	if stored == nil {
		stored = func(int, []workload.Record) {}
	}
	return &Acceptor{store: store, hedger: hedger, stored: stored, queues: map[int]*acceptQueue{}}
}

// Await stores a record of a caller's request. Doing so twice is harmless: the
// first submission of an ID counts. StoreRefused means that the record certainly
// is not and will not be stored. Once bound has passed, pending is returned while
// the outcome is open; who still wants it calls again. A nil bound never passes.
func (a *Acceptor) Await(ctx context.Context, partition int, r workload.Record, bound <-chan time.Time) (status platform.StoreStatus, pending bool, err error) {
	key, value, err := r.Encode()
	if err != nil {
		return platform.StoreInvalid, false, err
	}
	own, err := a.enqueue(partition, r, platform.KeyedRecord{Key: key, Value: value})
	if err != nil {
		return platform.StoreRefused, false, err
	}
	select {
	case <-own.done:
		return own.status, false, own.err
	case <-bound:
		a.release(own)
		return platform.StoreUnknown, true, nil
	case <-ctx.Done():
	}
	if a.withdraw(partition, own) {
		return platform.StoreRefused, false, errors.New("the request's time ended before it was sent to the store")
	}
	return platform.StoreUnknown, false, ctx.Err()
}

// enqueue returns the record's place in the queue, the present one if the same is
// waiting or under way already.
func (a *Acceptor) enqueue(partition int, r workload.Record, encoded platform.KeyedRecord) (*accept, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[partition]
	if q == nil {
		q = &acceptQueue{byKey: map[string]*accept{}}
		a.queues[partition] = q
	}
	if same := q.byKey[encoded.Key]; same != nil {
		same.callers++
		return same, nil
	}
	if len(q.waiting) >= maxQueued {
		return nil, errors.Errorf("%d records wait for the store already", len(q.waiting))
	}
	own := &accept{record: r, encoded: encoded, callers: 1, done: make(chan struct{})}
	q.waiting = append(q.waiting, own)
	q.byKey[encoded.Key] = own
	if q.running < maxAppends {
		q.running++
		go a.run(partition, q)
	}
	return own, nil
}

// release notes that a caller doesn't wait any more. The record stays in the queue.
func (a *Acceptor) release(own *accept) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own.callers--
}

// withdraw takes a record back that no append has taken up and that nobody else
// waits for.
func (a *Acceptor) withdraw(partition int, own *accept) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	own.callers--
	q := a.queues[partition]
	for i, w := range q.waiting {
		if w == own && own.callers == 0 {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			delete(q.byKey, own.encoded.Key)
			return true
		}
	}
	return false
}

// run appends until nothing waits.
func (a *Acceptor) run(partition int, q *acceptQueue) {
	for {
		batch := a.next(q)
		if batch == nil {
			return
		}
		encoded := make([]platform.KeyedRecord, len(batch))
		records := make([]workload.Record, len(batch))
		for i, w := range batch {
			encoded[i] = w.encoded
			records[i] = w.record
		}
		part := platform.Partition{Topic: Topic, Part: partition}
		// The calls have time-outs of their own; a caller that leaves does not end
		// the append of the others.
		status, err := a.hedger.Write(context.Background(), func(ctx context.Context) (platform.StoreStatus, error) {
			return a.store.Append(ctx, part, nil, encoded...)
		})
		if status == platform.StoreOK {
			a.stored(partition, records)
		}
		a.finish(q, batch, status, err)
	}
}

// finish tells all who wait for a batch how it ended.
func (a *Acceptor) finish(q *acceptQueue, batch []*accept, status platform.StoreStatus, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range batch {
		w.status, w.err = status, err
		delete(q.byKey, w.encoded.Key)
		close(w.done)
	}
}

// next takes what waits, nil if nothing does.
func (a *Acceptor) next(q *acceptQueue) []*accept {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running--
		return nil
	}
	n := batchOf(q.waiting)
	batch := q.waiting[:n:n]
	q.waiting = append([]*accept(nil), q.waiting[n:]...)
	return batch
}

// batchOf is how many of the records that wait go into one append: at least one.
func batchOf(waiting []*accept) int {
	bytes := 0
	for i, w := range waiting {
		bytes += len(w.encoded.Key) + len(w.encoded.Value)
		if i == maxBatch || i > 0 && bytes > maxBatchBytes {
			return i
		}
	}
	return len(waiting)
}
