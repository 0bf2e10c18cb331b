package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Defaults of AppenderOptions.
const (
	DefaultBatchEntries  = 256
	DefaultBatchBytes    = 256 << 10
	DefaultLinger        = 2 * time.Millisecond
	DefaultAppendRate    = 50
	DefaultQueue         = 1024
	DefaultAppendTimeout = 5 * time.Second
)

// AppenderOptions configures an Appender. Zero values take the defaults.
type AppenderOptions struct {
	// BatchEntries and BatchBytes bound one append to the log.
	BatchEntries int
	BatchBytes   int
	// Linger is how long a batch waits for further entries.
	Linger time.Duration
	// Rate limits the appends (batches) per second. All processes share the log's
	// rate limit, so each process stays within its part.
	Rate float64
	// Queue is the capacity of the queue, in entries.
	Queue int
	// Timeout bounds one append to the log.
	Timeout time.Duration
}

func (o AppenderOptions) withDefaults() AppenderOptions {
	if o.BatchEntries <= 0 {
		o.BatchEntries = DefaultBatchEntries
	}
	o.BatchEntries = min(o.BatchEntries, MaxAppendEntries)
	if o.BatchBytes <= 0 {
		o.BatchBytes = DefaultBatchBytes
	}
	o.BatchBytes = min(o.BatchBytes, MaxAppendBytes)
	if o.Linger <= 0 {
		o.Linger = DefaultLinger
	}
	if o.Rate <= 0 {
		o.Rate = DefaultAppendRate
	}
	if o.Queue <= 0 {
		o.Queue = DefaultQueue
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultAppendTimeout
	}
	return o
}

// Appender batches the concurrent appends of one process to one stream. One
// append to the log is in flight at a time, so entries are in the log in the order
// of the queue.
type Appender struct {
	log     Log
	stream  string
	opts    AppenderOptions
	limiter *rate.Limiter
	queue   chan *pending
	// overflow is the entry that begins the next batch: it did not fit into the
	// last batch, or the last Serve ended before sending it.
	overflow *pending
}

// pending is one queued entry. Either Serve claims it for a batch or its caller
// claims it to withdraw it, never both.
type pending struct {
	data    []byte
	claimed atomic.Bool
	done    chan appendResult
}

type appendResult struct {
	offset Offset
	err    error
}

// NewAppender returns an Appender for a stream of log. Entries are sent only while
// Serve runs.
func NewAppender(log Log, stream string, opts AppenderOptions) *Appender {
	opts = opts.withDefaults()
	return &Appender{
		log:     log,
		stream:  stream,
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.Rate), 1),
		queue:   make(chan *pending, opts.Queue),
	}
}

// Append queues one entry and waits for its offset. If ctx ends first, Append
// returns ErrUnavailable if the entry was not sent and never will be, and
// ErrUnknownOutcome otherwise. Other errors are those of Log.Append.
func (a *Appender) Append(ctx context.Context, data []byte) (Offset, error) {
	if len(data) > MaxEntryBytes {
		return 0, errors.Wrapf(ErrRejected, "an entry holds at most %d bytes", MaxEntryBytes)
	}
	p := &pending{data: data, done: make(chan appendResult, 1)}
	select {
	case a.queue <- p:
	case <-ctx.Done():
		return 0, errors.Wrap(ErrUnavailable, ctx.Err().Error())
	}
	select {
	case result := <-p.done:
		return result.offset, result.err
	case <-ctx.Done():
		if p.claimed.CompareAndSwap(false, true) {
			return 0, errors.Wrap(ErrUnavailable, ctx.Err().Error())
		}
		return 0, errors.Wrap(ErrUnknownOutcome, ctx.Err().Error())
	}
}

// Serve appends queued entries until ctx ends. It finishes an append in flight
// first. Entries still queued wait for the next Serve or the end of their
// callers' contexts.
func (a *Appender) Serve(ctx context.Context) error {
	for {
		first, err := a.nextEntry(ctx)
		if err != nil {
			return err
		}
		if err := a.limiter.Wait(ctx); err != nil {
			a.overflow = first
			return err
		}
		a.flush(ctx, a.collectBatch(ctx, first))
	}
}

// nextEntry returns the entry that begins the next batch.
func (a *Appender) nextEntry(ctx context.Context) (*pending, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if first := a.overflow; first != nil {
		a.overflow = nil
		return first, nil
	}
	select {
	case first := <-a.queue:
		return first, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// collectBatch adds entries to a batch until it is full or Linger has passed.
func (a *Appender) collectBatch(ctx context.Context, first *pending) []*pending {
	batch := []*pending{first}
	size := len(first.data)
	linger := time.NewTimer(a.opts.Linger)
	defer linger.Stop()
	for len(batch) < a.opts.BatchEntries {
		select {
		case p := <-a.queue:
			if size += len(p.data); size > a.opts.BatchBytes {
				a.overflow = p
				return batch
			}
			batch = append(batch, p)
		case <-linger.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// flush appends the entries that were not withdrawn and sends each caller its
// result. The append is not cancelled with ctx, since that would only turn the
// result into ErrUnknownOutcome.
func (a *Appender) flush(ctx context.Context, batch []*pending) {
	var sent []*pending
	var entries [][]byte
	for _, p := range batch {
		if p.claimed.CompareAndSwap(false, true) {
			sent = append(sent, p)
			entries = append(entries, p.data)
		}
	}
	if len(sent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.opts.Timeout)
	defer cancel()
	offset, err := a.log.Append(ctx, a.stream, entries)
	for i, p := range sent {
		if err != nil {
			p.done <- appendResult{err: err}
			continue
		}
		p.done <- appendResult{offset: offset + Offset(i)}
	}
}
