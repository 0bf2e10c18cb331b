// Package prospect estimates when a job that is accepted now would begin, from the work that precedes it
// and the capacity that works on it, and how far such estimates are off.
package prospect

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// Rank is the rank of a job as far as prospects depend on it. Work of a lower rank precedes.
type Rank struct {
	Class    int
	Priority int
}

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Class, other.Class), cmp.Compare(r.Priority, other.Priority))
}

// flow is the work of one workspace at one rank.
type flow struct {
	flowKey
	weight float64 // 0 for jobs that are not shared by weight
	work   float64 // core-seconds
	// workBefore and weightBefore are sums over the flows before this one in their order.
	workBefore, weightBefore float64
}

type flowKey struct {
	rank      Rank
	workspace string
}

// perWeight orders the flows of one rank by when they are done if all share by weight.
func (f *flow) perWeight() float64 {
	if f.weight <= 0 {
		return -1
	}
	return f.work / f.weight
}

// Service is what waits in one service, and its capacity. Work is added first, then waits are asked for.
type Service struct {
	// Cores are those of the workers that accept starts, and of the VMs that are on their way.
	Cores float64
	// Free are the cores that nothing uses now.
	Free  float64
	flows []flow
	index map[flowKey]int // in flows
	work  float64
	tasks float64 // cores that all tasks would use
}

// Reset forgets the work, and keeps the memory for the next.
func (s *Service) Reset() {
	s.Cores, s.Free, s.work, s.tasks = 0, 0, 0, 0
	s.flows = s.flows[:0]
	clear(s.index)
}

// Add adds tasks that have not started: their work in core-seconds, and the cores that they would use.
func (s *Service) Add(rank Rank, workspace string, weight, work, cores float64) {
	s.tasks += cores
	if s.index == nil {
		s.index = map[flowKey]int{}
	}
	key := flowKey{rank, workspace}
	i, ok := s.index[key]
	if !ok {
		i = len(s.flows)
		s.index[key] = i
		s.flows = append(s.flows, flow{flowKey: key, weight: weight})
	}
	s.flows[i].work += work
}

// Prepare completes the additions.
func (s *Service) Prepare() {
	slices.SortFunc(s.flows, func(a, b flow) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.perWeight(), b.perWeight()))
	})
	weight := 0.0
	s.work = 0
	for i := range s.flows {
		f := &s.flows[i]
		s.index[f.flowKey] = i
		f.workBefore, f.weightBefore = s.work, weight
		s.work += f.work
		weight += max(f.weight, 0)
	}
}

// workBefore returns the work of all flows before the one at an index, weightBefore their weight.
func (s *Service) workBefore(i int) float64 {
	if i == len(s.flows) {
		return s.work
	}
	return s.flows[i].workBefore
}

func (s *Service) weightBefore(i int) float64 {
	if i == len(s.flows) {
		if i == 0 {
			return 0
		}
		return s.flows[i-1].weightBefore + max(s.flows[i-1].weight, 0)
	}
	return s.flows[i].weightBefore
}

// Wait returns how long the next job of a workspace would wait for its start at a rank. It is maxWait
// if the service has no capacity. All that ranks before comes first, and of the jobs of the same rank each
// workspace's in the ratio of the weights until the workspace's own are done.
func (s *Service) Wait(rank Rank, workspace string, weight float64) time.Duration {
	begin := sort.Search(len(s.flows), func(i int) bool { return s.flows[i].rank.compare(rank) >= 0 })
	end := begin + sort.Search(len(s.flows)-begin, func(i int) bool { return s.flows[begin+i].rank.compare(rank) > 0 })
	ahead := s.workBefore(end)
	if weight > 0 {
		ownPerWeight := 0.0
		if i, ok := s.index[flowKey{rank, workspace}]; ok {
			ownPerWeight = s.flows[i].work / weight
		}
		longer := begin + sort.Search(end-begin, func(i int) bool { return s.flows[begin+i].perWeight() > ownPerWeight })
		ahead = s.workBefore(longer) + ownPerWeight*(s.weightBefore(end)-s.weightBefore(longer))
	}
	if s.tasks > 0 {
		ahead -= s.Free * s.work / s.tasks // what starts at once
	}
	if ahead <= 0 {
		return 0
	}
	if s.Cores <= 0 {
		return maxWait
	}
	return time.Duration(min(ahead/s.Cores, maxWait.Seconds()) * float64(time.Second))
}

// LongestWait returns a wait that no prospect exceeds.
func (s *Service) LongestWait() time.Duration {
	return s.Wait(Rank{Class: math.MaxInt}, "", 0)
}

// HasRoom reports whether so much is free that what waits must wait for something else.
func (s *Service) HasRoom() bool { return s.Free > roomShare*s.Cores }

const (
	maxWait = time.Hour
	// roomShare is the free part of a service up to which it may be full for some of its tasks.
	roomShare = 0.1
)
