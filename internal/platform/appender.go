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

// AppenderOptions tunes an Appender; zero values take the defaults.
type AppenderOptions struct {
	// BatchEntries and BatchBytes bound one append to the log.
	BatchEntries int
	BatchBytes   int
	// Linger is how long the first entry of a batch waits for others.
	Linger time.Duration
	// Rate is the ceiling of appends per second, all batches counted. The log's
	// ceiling is shared, so each process keeps to its part.
	Rate float64
	// Queue is how many entries may wait.
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

// Appender is the duty that turns the concurrent appends of one process to one
// stream into few appends to the log. One append is under way at a time, so
// entries land in the order in which they were taken from the queue.
type Appender struct {
	log     Log
	stream  string
	opts    AppenderOptions
	limiter *rate.Limiter
	queue   chan *pending
	// overflow is the entry that did not fit into the last batch.
	overflow *pending
}

// pending is one entry on its way. claimed settles a race: the duty takes the
// entry for a batch or its caller withdraws it, never both.
type pending struct {
	data    []byte
	claimed atomic.Bool
	done    chan appendResult
}

type appendResult struct {
	offset Offset
	err    error
}

// NewAppender returns an Appender for a stream of log; Serve has to run.
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

// Append hands one entry to the duty and waits for its offset. When ctx ends
// first the error is ErrUnavailable if the entry was not sent yet, and then it
// never will be; otherwise it is ErrUnknownOutcome. Other errors are those of
// Log.Append.
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

// Serve appends until ctx ends; an append under way is finished first. What
// still waits then waits for the next Serve or the end of its caller's context.
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

// collectBatch fills a batch until it is full or has lingered long enough.
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

// flush appends what was not withdrawn and tells each caller its offset. It
// outlives ctx: an append cut short would only turn an answer into "unknown".
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
