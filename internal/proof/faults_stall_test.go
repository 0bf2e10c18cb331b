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

// Parameters of the detection of stalls.
const (
	stallCheckInterval = 50 * time.Millisecond
	// minStall is how long this process must have been without processor time to count as stalled.
	// Scheduling delays on a busy machine are a few tenths of that.
	minStall = 2 * time.Second
)

// stalls are the times in which the whole machine was stalled. All nodes were paused then, as by a
// fault.
type stalls struct {
	wg    sync.WaitGroup
	found []faultInterval // without node
}

// watchStalls records stalls until ctx ends.
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

// onNodes waits until the context of watchStalls has ended and returns the stalls as faults of each
// node.
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

// Guards against a run that fails because the machine was stalled for seconds: no node can have
// answered then. Delays of single steps on a busy machine must not count as a stall.
func TestStallsOfTheMachineAreNoBrokenPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := watchStalls(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		nodes := []*testkit.Node{{Name: "entry-1"}, {Name: "entry-2"}}
		assert.Empty(t, s.onNodes(nodes), "no stall may be recorded")

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
		assert.Len(t, p.violations, 1, "only the attempt that began after the stall is a violation")
	})
}
