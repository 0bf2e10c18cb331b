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
	stallCheckInterval = 50 * time.Millisecond
	// minStall is how long this process must have got no processor time to count as
	// stalled. Scheduling on a busy machine takes a few tenths of that.
	minStall = 2 * time.Second
)

// stalls are the times in which the whole machine stood still, the processes of the run with
// it. Each node was paused then, as by a fault.
type stalls struct {
	wg    sync.WaitGroup
	found []faultInterval // of no node yet
}

// watchStalls watches until ctx ends.
func watchStalls(ctx context.Context) *stalls {
	s := &stalls{}
	s.wg.Go(func() {
		for last := time.Now(); ctx.Err() == nil; {
			time.Sleep(stallCheckInterval)
			now := time.Now()
			if now.Sub(last) > minStall {
				s.found = append(s.found, faultInterval{fault: nodePaused, from: last, to: now})
			}
			last = now
		}
	})
	return s
}

// onNodes are the stalls as harms of each node, once the watch has ended.
func (s *stalls) onNodes(nodes []*testkit.Node) (all []faultInterval) {
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
		assert.Empty(t, s.onNodes(nodes), "no stall")

		began := time.Now()
		s.found = []faultInterval{{fault: nodePaused, from: began, to: began.Add(5 * time.Second)}}
		all := s.onNodes(nodes)
		require.Len(t, all, 2)
		e := &evidence{nodeFaults: all, attempts: []attempt{
			{node: "entry-2", startedAt: began.Add(4 * time.Second), endedAt: began.Add(10 * time.Second), Answer: testkit.Answer{Err: context.DeadlineExceeded}},
			{node: "entry-2", startedAt: began.Add(6 * time.Second), endedAt: began.Add(12 * time.Second), Answer: testkit.Answer{Err: context.DeadlineExceeded}},
		}}
		p := e.checkLiveNodesAnswer()
		assert.Equal(t, 1, p.cases)
		assert.Len(t, p.violations, 1, "it began after the stall")
	})
}
