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

// logState is the log service.
type logState struct {
	streams   map[string]*stream
	late      []lateAppend
	limiter   *rate.Limiter
	keepCount int
	keepAge   time.Duration
}

// stream is one named stream; first is the offset of entries[0].
type stream struct {
	first   platform.Offset
	entries []logEntry
	// grown is closed and replaced when an entry is added or will be at a time
	// that is now known.
	grown chan struct{}
}

type logEntry struct {
	data []byte
	at   time.Time
}

// lateAppend is an append whose client has given up and that still takes effect.
type lateAppend struct {
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

func (s *stream) next() platform.Offset { return s.first + platform.Offset(len(s.entries)) }

func (l *logState) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// add appends entries and wakes the readers.
func (l *logState) add(name string, entries [][]byte, now time.Time) platform.Offset {
	s := l.stream(name)
	offset := s.next()
	for _, data := range entries {
		s.entries = append(s.entries, logEntry{data: data, at: now})
	}
	s.wake()
	return offset
}

// wake lets the waiting readers look again.
func (s *stream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// trim drops what retention no longer covers.
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

// nextEvent offers the earliest delayed append.
func (l *logState) nextEvent(first *earliest) {
	for i, late := range l.late {
		first.offer(late.due, func(now time.Time) {
			l.late = slices.Delete(l.late, i, i+1)
			l.add(late.stream, late.entries, now)
		})
	}
}

// Append implements platform.Log.
func (p *Platform) Append(ctx context.Context, name string, entries [][]byte) (platform.Offset, error) {
	if err := checkAppend(name, entries); err != nil {
		return 0, err
	}
	if err := p.logGate(ctx, name, "append"); err != nil {
		return 0, err
	}
	entries = cloneEntries(entries)
	now := p.look()
	defer p.mu.Unlock()
	if !p.log.limiter.AllowN(now, 1) {
		p.counters.log.Throttled++
		return 0, errors.WithStack(platform.ErrThrottled)
	}
	p.counters.countAppend(entries, now)
	if f, ok := p.faults.take(LogLate, now, name); ok {
		p.log.late = append(p.log.late, lateAppend{due: now.Add(f.Delay()), stream: name, entries: entries})
		p.log.stream(name).wake()
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "append delayed")
	}
	offset := p.log.add(name, entries, now)
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

// logGate applies the faults that come before a log call acts. A fault's target
// is the stream or the call ("append" or "read").
func (p *Platform) logGate(ctx context.Context, name, verb string) error {
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
	if err := p.logGate(ctx, name, "read"); err != nil {
		return platform.Batch{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	timeout := time.NewTimer(min(wait, platform.MaxReadWait))
	defer timeout.Stop()
	for {
		look, err := p.readNow(name, from, limit)
		if err != nil || len(look.batch.Entries) > 0 || wait <= 0 {
			p.countRead(look.batch)
			return look.batch, err
		}
		late := time.NewTimer(look.late)
		select {
		case <-look.grown:
		case <-late.C:
		case <-timeout.C:
			late.Stop()
			p.countRead(look.batch)
			return look.batch, nil
		case <-ctx.Done():
			late.Stop()
			return platform.Batch{}, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
		late.Stop()
	}
}

// readLook is one look at a stream: what is there, what tells of growth, and
// how long until a delayed append may take effect.
type readLook struct {
	batch platform.Batch
	grown <-chan struct{}
	late  time.Duration
}

// readNow reads without waiting.
func (p *Platform) readNow(name string, from platform.Offset, limit int) (readLook, error) {
	now := p.look()
	defer p.mu.Unlock()
	s := p.log.stream(name)
	look := readLook{grown: s.grown, late: p.log.untilLate(now)}
	look.batch = platform.Batch{First: s.first, Next: s.next()}
	if from < s.first {
		return look, errors.Wrapf(platform.ErrTrimmed, "offset %d, retained from %d", from, s.first)
	}
	bytes := 0
	for offset := from; offset < s.next() && len(look.batch.Entries) < limit; offset++ {
		data := s.entries[offset-s.first].data
		bytes += len(data)
		if bytes > platform.MaxReadBytes && len(look.batch.Entries) > 0 {
			break
		}
		look.batch.Entries = append(look.batch.Entries, platform.Entry{Offset: offset, Data: data})
	}
	return look, nil
}

// untilLate returns the time until the next delayed append is due.
func (l *logState) untilLate(now time.Time) time.Duration {
	first := earliest{at: now.Add(platform.MaxReadWait)}
	l.nextEvent(&first)
	return first.at.Sub(now)
}
