package follower_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Replies to appends are lost, appends are delayed or never executed, and the
// log throttles, while fifty proposals are in flight. Each must return the
// outcome of its first copy and take effect exactly once.
func TestProposeOverAFaultyLog(t *testing.T) {
	for _, batched := range []bool{true, false} {
		run(t, func(t *testing.T) {
			log := standin.New(standin.Options{AppendsPerSecond: 40})
			n := start(t, log, "n", func(c *follower.Config, l *logLink) {
				if !batched {
					c.Appender = nil
				}
			})
			advance(time.Second)
			_, err := log.ActivateFaults(standin.Fault{Kind: standin.LogLoseReply, Target: stream, Count: 5},
				standin.Fault{Kind: standin.LogHang, Target: "append", Count: 3},
				standin.Fault{Kind: standin.LogLate, Target: stream, Count: 5, DelayMS: 3000})
			require.NoError(t, err)
			var all sync.WaitGroup
			for range 50 {
				rec := n.draft()
				all.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					out, err := n.Propose(ctx, rec)
					assert.NoError(t, err)
					assert.Equal(t, ledger.Effective, out.Status, out.Reason)
				})
			}
			all.Wait()
			advance(10 * time.Second)
			n.View(func(s *ledger.State) { require.Len(t, s.VMs, 50) })
		})
	}
}

// The log is unavailable. A proposal must return when its caller's context
// ends, with an unknown outcome, since a copy may still be in flight.
func TestProposeWhileLogIsUnavailable(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{})
		n := start(t, log, "n", nil)
		advance(time.Second)
		n.logLink.Cut(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		_, err := n.Propose(ctx, n.draft())
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 10*time.Second, time.Since(began))
		rec := n.draft()
		n.logLink.Cut(false)
		_, err = log.ActivateFaults(standin.Fault{Kind: standin.LogHang, Target: "append"})
		require.NoError(t, err)
		ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err = n.Propose(ctx, rec)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
