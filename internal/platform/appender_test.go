package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func newBlockingLog() *blockingLog {
	return &blockingLog{calls: make(chan [][]byte, 16), results: make(chan error, 16)}
}

// appendAll starts one append per entry and returns their result channels in order.
func appendAll(ctx context.Context, a *Appender, entries ...string) []chan appendResult {
	var results []chan appendResult
	for _, data := range entries {
		result := make(chan appendResult, 1)
		results = append(results, result)
		go func() {
			offset, err := a.Append(ctx, []byte(data))
			result <- appendResult{offset: offset, err: err}
		}()
		synctest.Wait()
	}
	return results
}

func TestAppenderBatchesEntriesInOrder(t *testing.T) {
	// Five callers append. The first three entries go into one append and get
	// consecutive offsets. The fourth does not fit and begins the next batch, before
	// the fifth.
	synctest.Test(t, func(t *testing.T) {
		log := newBlockingLog()
		a := NewAppender(log, "s", AppenderOptions{BatchBytes: 6, Linger: time.Second, Rate: 10})
		results := appendAll(t.Context(), a, "aa", "bb", "cc", "dd", "ee")
		go a.Serve(t.Context())
		require.Equal(t, [][]byte{[]byte("aa"), []byte("bb"), []byte("cc")}, <-log.calls)
		log.results <- nil
		log.results <- nil
		for i, result := range results {
			require.Equal(t, appendResult{offset: Offset(i + 1)}, <-result)
		}
		require.Equal(t, [][]byte{[]byte("dd"), []byte("ee")}, <-log.calls)
	})
}

func TestAppenderRateLimit(t *testing.T) {
	// Ten entries are appended one after the other. At two appends per second the
	// tenth can't complete before 4.5 s.
	synctest.Test(t, func(t *testing.T) {
		log := newBlockingLog()
		a := NewAppender(log, "s", AppenderOptions{Rate: 2})
		go a.Serve(t.Context())
		start := time.Now()
		for range 10 {
			log.results <- nil
			_, err := a.Append(t.Context(), []byte("x"))
			require.NoError(t, err)
			<-log.calls
		}
		require.GreaterOrEqual(t, time.Since(start), 4500*time.Millisecond)
	})
}

func TestAppenderErrorsOfCancelledAppends(t *testing.T) {
	// Both callers give up while the first entry is in flight and the second is
	// queued. The first gets ErrUnknownOutcome and the second ErrUnavailable. The
	// second entry must never be sent, or a retry would duplicate it.
	synctest.Test(t, func(t *testing.T) {
		log := newBlockingLog()
		a := NewAppender(log, "s", AppenderOptions{})
		go a.Serve(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		first := appendAll(ctx, a, "sent")[0]
		<-log.calls
		second := appendAll(ctx, a, "withdrawn")[0]
		cancel()
		require.ErrorIs(t, (<-first).err, ErrUnknownOutcome)
		require.ErrorIs(t, (<-second).err, ErrUnavailable)
		third := appendAll(t.Context(), a, "third")[0]
		log.results <- nil
		log.results <- ErrThrottled
		require.Equal(t, [][]byte{[]byte("third")}, <-log.calls)
		require.ErrorIs(t, (<-third).err, ErrThrottled)
	})
}

func TestAppenderFinishesAppendInFlightOnShutdown(t *testing.T) {
	// Serve's context ends while an append is in flight. The append is not
	// cancelled, so its caller gets the offset and not ErrUnknownOutcome.
	synctest.Test(t, func(t *testing.T) {
		log := newBlockingLog()
		a := NewAppender(log, "s", AppenderOptions{})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- a.Serve(ctx) }()
		result := appendAll(t.Context(), a, "x")[0]
		<-log.calls
		cancel()
		log.results <- nil
		require.Equal(t, appendResult{offset: 1}, <-result)
		require.ErrorIs(t, <-ended, context.Canceled)
	})
}
