package joblog

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// maxBatch bounds the records of one append.
const maxBatch = 64

// Acceptor stores records of callers' requests. Those that come while an append
// to their partition is under way go together into the next one: the store takes
// appends to a partition one at a time, and a slow one would have a queue of them
// longer than callers wait. It is safe for concurrent use.
type Acceptor struct {
	store  Store
	hedger *hedge.Hedger

	mu     sync.Mutex
	queues map[int]*acceptQueue
}

// acceptQueue is what waits for one partition.
type acceptQueue struct {
	waiting []*accept
	running bool
}

// accept is one record that waits for its outcome.
type accept struct {
	record platform.KeyedRecord
	done   chan acceptResult // gets one result
}

type acceptResult struct {
	status platform.StoreStatus
	err    error
}

// NewAcceptor returns an acceptor.
func NewAcceptor(store Store, hedger *hedge.Hedger) *Acceptor {
	return &Acceptor{store: store, hedger: hedger, queues: map[int]*acceptQueue{}}
}

// Accept stores a record of a caller's request. Doing so twice is harmless: the
// first submission of an ID counts. StoreRefused means that the record certainly
// is not and will not be stored.
func (a *Acceptor) Accept(ctx context.Context, partition int, r workload.Record) (platform.StoreStatus, error) {
	key, value, err := r.Encode()
	if err != nil {
		return platform.StoreInvalid, err
	}
	own := &accept{record: platform.KeyedRecord{Key: key, Value: value}, done: make(chan acceptResult, 1)}
	a.enqueue(partition, own)
	select {
	case res := <-own.done:
		return res.status, res.err
	case <-ctx.Done():
	}
	if a.withdraw(partition, own) {
		return platform.StoreRefused, errors.New("the request's time ended before it was sent to the store")
	}
	return platform.StoreUnknown, ctx.Err()
}

func (a *Acceptor) enqueue(partition int, own *accept) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[partition]
	if q == nil {
		q = &acceptQueue{}
		a.queues[partition] = q
	}
	q.waiting = append(q.waiting, own)
	if !q.running {
		q.running = true
		go a.run(partition, q)
	}
}

// withdraw takes a record back that no append has taken up.
func (a *Acceptor) withdraw(partition int, own *accept) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[partition]
	for i, w := range q.waiting {
		if w == own {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
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
		records := make([]platform.KeyedRecord, len(batch))
		for i, w := range batch {
			records[i] = w.record
		}
		part := platform.Partition{Topic: Topic, Part: partition}
		// The calls have time-outs of their own; a caller that leaves does not end
		// the append of the others.
		status, err := a.hedger.Write(context.Background(), func(ctx context.Context) (platform.StoreStatus, error) {
			return a.store.Append(ctx, part, nil, records...)
		})
		for _, w := range batch {
			w.done <- acceptResult{status, err}
		}
	}
}

// next takes what waits, nil if nothing does.
func (a *Acceptor) next(q *acceptQueue) []*accept {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running = false
		return nil
	}
	n := min(len(q.waiting), maxBatch)
	batch := q.waiting[:n:n]
	q.waiting = append([]*accept(nil), q.waiting[n:]...)
	return batch
}
