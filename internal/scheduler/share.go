package scheduler

import (
	"math"
	"time"
)

const (
	// shareMemory is how long what arrived and was started counts, as the time in which
	// it falls to a third: longer than a peak of some seconds, and short enough
	// that the next one is shared by itself.
	shareMemory = 10 * time.Second
	// meanJobs is over how many jobs a queue's mean is taken: some seconds of a quiet
	// queue, half a second of its peak. Chosen, not measured against other lengths.
	meanJobs = 50
)

// size is a job's work against the mean of its queue's jobs.
type size int

const (
	sizeSmall   size = iota // under half the mean
	sizeUsual               // under the mean
	sizeLarge               // under twice the mean
	sizeLargest             // more
	sizeCount
)

// queueShares shares a queue's room among its jobs by their size.
//
// With the least work first, all that a full service has no room for are the largest
// jobs: of the largest tenth 0.4 were served where of all 0.9 were, and their callers see
// a system that is down. Each size gets the same share of the work that arrives;
// within a size the least work goes first, which serves the most jobs. On copies and
// originals of the users' deployments it costs 1% of the credit of a day (0.854 to 0.844),
// and brings the worst served size or kind from 0.45 to 0.56 of its credit, the mean of 25
// plays.
type queueShares struct {
	mean  float64 // core-seconds of a job
	sizes [sizeCount]sizeShare
}

// sizeShare is the work of one size lately, in core-seconds.
type sizeShare struct {
	arrived, started float64
	ahead            float64 // of jobs that wait, those that were ranked so far
}

// arrive takes a job that waits for its first start, and returns its size's share.
func (q *queueShares) arrive(work float64) *sizeShare {
	if q.mean == 0 {
		q.mean = work
	}
	q.mean += (work - q.mean) / meanJobs
	share := &q.sizes[q.sizeOf(work)]
	share.arrived += work
	return share
}

func (q *queueShares) sizeOf(work float64) size {
	switch {
	case work < q.mean/2:
		return sizeSmall
	case work < q.mean:
		return sizeUsual
	case work < 2*q.mean:
		return sizeLarge
	default:
		return sizeLargest
	}
}

// age lets what is past count less, and begins a ranking.
func (q *queueShares) age(passed time.Duration) {
	kept := math.Exp(-passed.Seconds() / shareMemory.Seconds())
	for i := range q.sizes {
		q.sizes[i].arrived *= kept
		q.sizes[i].started *= kept
		q.sizes[i].ahead = 0
	}
}

// leastArrived keeps the share of a size defined of which nothing arrived lately.
const leastArrived = 0.001

// turn is the share of its size's work that will have been started when a job's turn
// comes: the lower, the sooner. Jobs are to be given in their order within the size.
func (s *sizeShare) turn(work float64) float64 {
	turn := (s.started + s.ahead) / max(s.arrived, leastArrived)
	s.ahead += work
	return turn
}
