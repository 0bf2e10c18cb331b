package standin

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// logState is the state of the log service.
type logState struct {
	streams   map[string]*stream
	delayed   []delayedAppend
	limiter   *rate.Limiter
	keepCount int
	keepAge   time.Duration
}

// stream is one named stream. first is the offset of entries[0].
type stream struct {
	first   platform.Offset
	entries []logEntry
	// changed is closed and replaced if an entry is added, or if a delayed append
	// is queued and its time is known.
	changed chan struct{}
}

type logEntry struct {
	data []byte
	at   time.Time
}

// delayedAppend is an append without a reply that takes effect at due.
type delayedAppend struct {
	due     time.Time
	stream  string
	entries [][]byte
}

func newLogState(opts Options) logState {
	return logState{
		streams:   map[string]*stream{},
		limiter:   newLimiter(opts.AppendsPerSecond),
		keepCount: opts.RetentionEntries,
		keepAge:   opts.RetentionAge,
	}
}

func (s *stream) nextOffset() platform.Offset { return s.first + platform.Offset(len(s.entries)) }

func (l *logState) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// appendEntries appends entries and wakes the waiting readers.
func (l *logState) appendEntries(name string, entries [][]byte, now time.Time) platform.Offset {
	s := l.stream(name)
	offset := s.nextOffset()
	for _, data := range entries {
		s.entries = append(s.entries, logEntry{data: data, at: now})
	}
	s.notifyReaders()
	return offset
}

// notifyReaders makes the waiting readers read again.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim removes the entries beyond the retention limits.
func (l *logState) trim(now time.Time) {
	for _, s := range l.streams {
		drop := max(0, len(s.entries)-l.keepCount)
		for l.keepAge > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].at) > l.keepAge {
			drop++
		}
		if drop > 0 {
			s.first += platform.Offset(drop)
			s.entries = slices.Delete(s.entries, 0, drop)
		}
	}
}

// offerDelayedAppends offers all delayed appends to first.
func (l *logState) offerDelayedAppends(first *earliestEvent) {
	for i, pending := range l.delayed {
		first.offer(pending.due, func(now time.Time) {
			l.delayed = slices.Delete(l.delayed, i, i+1)
			l.appendEntries(pending.stream, pending.entries, now)
		})
	}
}

// Append implements platform.Log.
func (p *Platform) Append(ctx context.Context, name string, entries [][]byte) (platform.Offset, error) {
	if err := checkAppend(name, entries); err != nil {
		return 0, err
	}
	if err := p.applyLogFaults(ctx, name, "append"); err != nil {
		return 0, err
	}
	entries = cloneEntries(entries)
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	if !p.log.limiter.AllowN(now, 1) {
		p.counters.log.Throttled++
		return 0, errors.WithStack(platform.ErrThrottled)
	}
	p.counters.countAppend(entries, now)
	if f, ok := p.faults.take(LogLate, now, name); ok {
		p.log.delayed = append(p.log.delayed, delayedAppend{due: now.Add(f.Delay()), stream: name, entries: entries})
		p.log.stream(name).notifyReaders()
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "append delayed")
	}
	offset := p.log.appendEntries(name, entries, now)
	if _, ok := p.faults.take(LogLoseReply, now, name); ok {
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "reply lost")
	}
	return offset, nil
}

func cloneEntries(entries [][]byte) [][]byte {
	clones := make([][]byte, len(entries))
	for i, data := range entries {
		clones[i] = slices.Clone(data)
	}
	return clones
}

func checkAppend(name string, entries [][]byte) error {
	if name == "" {
		return errors.Wrap(platform.ErrRejected, "the stream has no name")
	}
	if len(entries) == 0 || len(entries) > platform.MaxAppendEntries {
		return errors.Wrapf(platform.ErrRejected, "an append holds 1 to %d entries", platform.MaxAppendEntries)
	}
	total := 0
	for _, data := range entries {
		if len(data) > platform.MaxEntryBytes {
			return errors.Wrapf(platform.ErrRejected, "an entry holds at most %d bytes", platform.MaxEntryBytes)
		}
		total += len(data)
	}
	if total > platform.MaxAppendBytes {
		return errors.Wrapf(platform.ErrRejected, "an append holds at most %d bytes", platform.MaxAppendBytes)
	}
	return nil
}

// applyLogFaults applies the faults that take effect before a log call. A fault's
// target is the stream or the call ("append" or "read").
func (p *Platform) applyLogFaults(ctx context.Context, name, verb string) error {
	if _, ok := p.takeFault(LogRefuse, name, verb); ok {
		return errors.Wrap(platform.ErrUnavailable, "the log refuses")
	}
	if f, ok := p.takeFault(LogSlow, name, verb); ok {
		if err := wait.Sleep(ctx, f.Delay()); err != nil {
			return errors.Wrap(platform.ErrUnknownOutcome, err.Error())
		}
	}
	if _, ok := p.takeFault(LogHang, name, verb); ok {
		<-ctx.Done()
		return errors.Wrap(platform.ErrUnknownOutcome, ctx.Err().Error())
	}
	return nil
}

// Read implements platform.Log.
func (p *Platform) Read(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if from == 0 || limit <= 0 {
		return platform.Batch{}, errors.Wrap(platform.ErrRejected, "offset and maximum start at 1")
	}
	if err := p.applyLogFaults(ctx, name, "read"); err != nil {
		return platform.Batch{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	timeout := time.NewTimer(min(wait, platform.MaxReadWait))
	defer timeout.Stop()
	for {
		snapshot, err := p.readNow(name, from, limit)
		if err != nil || len(snapshot.batch.Entries) > 0 || wait <= 0 {
			p.countRead(snapshot.batch)
			return snapshot.batch, err
		}
		delayed := time.NewTimer(snapshot.untilDelayed)
		select {
		case <-snapshot.changed:
		case <-delayed.C:
		case <-timeout.C:
			delayed.Stop()
			p.countRead(snapshot.batch)
			return snapshot.batch, nil
		case <-ctx.Done():
			delayed.Stop()
			return platform.Batch{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
		delayed.Stop()
	}
}

// readSnapshot is the result of one read without waiting: the entries, a channel
// that is closed when the stream changes, and the time until the next delayed
// append of any stream.
type readSnapshot struct {
	batch        platform.Batch
	changed      <-chan struct{}
	untilDelayed time.Duration
}

// readNow reads without waiting.
func (p *Platform) readNow(name string, from platform.Offset, limit int) (readSnapshot, error) {
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	s := p.log.stream(name)
	snapshot := readSnapshot{changed: s.changed, untilDelayed: p.log.untilDelayedAppend(now)}
	snapshot.batch = platform.Batch{First: s.first, Next: s.nextOffset()}
	if from < s.first {
		return snapshot, errors.Wrapf(platform.ErrTrimmed, "offset %d, retained from %d", from, s.first)
	}
	bytes := 0
	for offset := from; offset < s.nextOffset() && len(snapshot.batch.Entries) < limit; offset++ {
		data := s.entries[offset-s.first].data
		bytes += len(data)
		if bytes > platform.MaxReadBytes && len(snapshot.batch.Entries) > 0 {
			break
		}
		snapshot.batch.Entries = append(snapshot.batch.Entries, platform.Entry{Offset: offset, Data: data})
	}
	return snapshot, nil
}

// untilDelayedAppend returns the time until the next delayed append, at most
// MaxReadWait.
func (l *logState) untilDelayedAppend(now time.Time) time.Duration {
	first := earliestEvent{at: now.Add(platform.MaxReadWait)}
	l.offerDelayedAppends(&first)
	return first.at.Sub(now)
}
