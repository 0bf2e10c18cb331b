package claims

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

const (
	claimStream = "claims"
	// readLimit and readWait are the same as in a follower of the log.
	readLimit = 1000
	readWait  = time.Second
	// readPause is the delay after a failed read.
	readPause = 50 * time.Millisecond
	// reportTimeout limits how long a report waits for its append.
	reportTimeout = 10 * time.Second
)

// startLogClaims returns the start function of a store on the stand-in's log.
// Each entry VM gets an equal share of the log's append rate. Each append and
// each read is slowed by delay.
func startLogClaims(delay time.Duration) func(context.Context) ([]entrypeer.Claimer, func() int64, error) {
	return func(ctx context.Context) ([]entrypeer.Claimer, func() int64, error) {
		fake := standin.New(standin.Options{})
		if delay > 0 {
			if _, err := fake.ActivateFaults(standin.Fault{Kind: standin.LogSlow, DelayMS: delay.Milliseconds()}); err != nil {
				return nil, nil, errors.Wrap(err, "slow down the log")
			}
		}
		counting := &countingLog{Log: fake}
		var claimers []entrypeer.Claimer
		for range vms {
			l := newLogClaims(counting, standin.DefaultAppendsPerSecond/vms)
			go func() { _ = l.appender.Serve(ctx) }()
			go l.follow(ctx)
			claimers = append(claimers, l)
		}
		return claimers, counting.appends.Load, nil
	}
}

// logClaims is the plain alternative to owners in memory. Each claim is an entry
// of a stream of the log, and the first entry of a key holds the key. Results are
// appended as entries, too, but no caller waits for them.
type logClaims struct {
	log      platform.Log
	appender *platform.Appender

	mu      sync.Mutex
	holders map[claim.Key]claim.Attempt
	waiters map[claim.Attempt]chan bool
}

type logEntry struct {
	Key     claim.Key
	Attempt claim.Attempt
	End     claim.End
	Over    bool
}

func newLogClaims(log platform.Log, rate float64) *logClaims {
	return &logClaims{
		log:      log,
		appender: platform.NewAppender(log, claimStream, platform.AppenderOptions{Rate: rate}),
		holders:  map[claim.Key]claim.Attempt{},
		waiters:  map[claim.Attempt]chan bool{},
	}
}

// follow reads the stream and folds its entries until ctx ends.
func (l *logClaims) follow(ctx context.Context) {
	for from := platform.Offset(1); ctx.Err() == nil; {
		batch, err := l.log.Read(ctx, claimStream, from, readLimit, readWait)
		if err != nil {
			_ = wait.Sleep(ctx, readPause)
			continue
		}
		l.mu.Lock()
		for _, raw := range batch.Entries {
			from = raw.Offset + 1
			l.fold(raw.Data)
		}
		l.mu.Unlock()
	}
}

func (l *logClaims) fold(data []byte) {
	var e logEntry
	if json.Unmarshal(data, &e) != nil || e.Over {
		return
	}
	if _, held := l.holders[e.Key]; !held {
		l.holders[e.Key] = e.Attempt
	}
	if ch := l.waiters[e.Attempt]; ch != nil {
		ch <- l.holders[e.Key] == e.Attempt
		delete(l.waiters, e.Attempt)
	}
}

// Claim implements entrypeer.Claimer.
func (l *logClaims) Claim(ctx context.Context, req claim.Request) claim.Decision {
	attempt := claim.Attempt{ID: ulid.Make()}
	granted := make(chan bool, 1)
	l.mu.Lock()
	l.waiters[attempt] = granted
	l.mu.Unlock()
	data, _ := json.Marshal(logEntry{Key: req.Key, Attempt: attempt})
	if _, err := l.appender.Append(ctx, data); err != nil {
		return claim.Decision{Verdict: claim.NotRun, Reason: claim.ReasonUnreachable}
	}
	select {
	case ok := <-granted:
		if ok {
			return claim.Decision{Verdict: claim.Granted, Attempt: attempt}
		}
	case <-ctx.Done():
	}
	return claim.Decision{Verdict: claim.Unknown}
}

// Report implements entrypeer.Claimer.
func (l *logClaims) Report(res claim.Result) {
	data, _ := json.Marshal(logEntry{Key: res.Key, Attempt: res.Attempt, End: res.End, Over: true})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_, _ = l.appender.Append(ctx, data)
	}()
}

// countingLog counts the appends to a log.
type countingLog struct {
	platform.Log
	appends atomic.Int64
}

// Append implements platform.Log.
func (c *countingLog) Append(ctx context.Context, stream string, entries [][]byte) (platform.Offset, error) {
	c.appends.Add(1)
	return c.Log.Append(ctx, stream, entries)
}
