package proof

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// Times of stalls.
const (
	stallTick = 50 * time.Millisecond
	// stallShown is how long this process must have got no processor time to count as
	// stalled. Scheduling on a busy machine takes a few tenths of that.
	stallShown = 2 * time.Second
)

// stalls are the times in which the whole machine stood still, the processes of the run with
// it. Each node was paused then, as by a fault.
type stalls struct {
	wg    sync.WaitGroup
	found []harmed // of no node yet
}

// watchStalls watches until ctx ends.
func watchStalls(ctx context.Context) *stalls {
	s := &stalls{}
	s.wg.Go(func() {
		for last := time.Now(); ctx.Err() == nil; {
			time.Sleep(stallTick)
			now := time.Now()
			if now.Sub(last) > stallShown {
				s.found = append(s.found, harmed{harm: harmPaused, from: last, to: now})
			}
			last = now
		}
	})
	return s
}

// harmed are the stalls as harms of each node, once the watch has ended.
func (s *stalls) harmed(nodes []*testkit.Node) (all []harmed) {
	s.wg.Wait()
	for _, h := range s.found {
		for _, n := range nodes {
			h.node = n.Name
			all = append(all, h)
		}
	}
	return all
}

// Guards against a run that is failed by a machine that stood still for seconds: nobody can
// have answered then. A busy one, on which each step is late, counts as no stall.
func TestStallsOfTheMachineAreNoBrokenPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := watchStalls(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		nodes := []*testkit.Node{{Name: "entry-1"}, {Name: "entry-2"}}
		assert.Empty(t, s.harmed(nodes), "no stall")

		began := time.Now()
		s.found = []harmed{{harm: harmPaused, from: began, to: began.Add(5 * time.Second)}}
		all := s.harmed(nodes)
		require.Len(t, all, 2)
		e := &evidence{harmed: all, attempts: []attempt{
			{node: "entry-2", began: began.Add(4 * time.Second), ended: began.Add(10 * time.Second), Answer: testkit.Answer{Err: context.DeadlineExceeded}},
			{node: "entry-2", began: began.Add(6 * time.Second), ended: began.Add(12 * time.Second), Answer: testkit.Answer{Err: context.DeadlineExceeded}},
		}}
		p := e.always()
		assert.Equal(t, 1, p.tried)
		assert.Len(t, p.broken, 1, "it began after the stall")
	})
}
