package scheduler

import (
	"math"
	"time"
)

const (
	// shareDecayTime is how long what arrived and was started counts, as the time in which
	// it falls to a third: longer than a peak of some seconds, and short enough
	// that the next one is shared by itself.
	shareDecayTime = 10 * time.Second
	// meanWindowJobs is over how many jobs a queue's mean is taken: some seconds of a quiet
	// queue, half a second of its peak. Chosen, not measured against other lengths.
	meanWindowJobs = 50
)

// jobSize is a job's work against the mean of its queue's jobs.
type jobSize int

const (
	sizeSmall   jobSize = iota // under half the mean
	sizeMedium                 // under the mean
	sizeLarge                  // under twice the mean
	sizeLargest                // more
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
	meanWork float64 // core-seconds of a job
	sizes    [sizeCount]sizeShare
}

// sizeShare is the work of one size lately, in core-seconds.
type sizeShare struct {
	arrivedWork, startedWork float64
	rankedAhead              float64 // of jobs that wait, those that were ranked so far
}

// addArrival takes a job that waits for its first start, and returns its size's share.
func (q *queueShares) addArrival(work float64) *sizeShare {
	if q.meanWork == 0 {
		q.meanWork = work
	}
	q.meanWork += (work - q.meanWork) / meanWindowJobs
	share := &q.sizes[q.sizeOf(work)]
	share.arrivedWork += work
	return share
}

func (q *queueShares) sizeOf(work float64) jobSize {
	switch {
	case work < q.meanWork/2:
		return sizeSmall
	case work < q.meanWork:
		return sizeMedium
	case work < 2*q.meanWork:
		return sizeLarge
	default:
		return sizeLargest
	}
}

// decay lets what is past count less, and begins a ranking.
func (q *queueShares) decay(passed time.Duration) {
	factor := math.Exp(-passed.Seconds() / shareDecayTime.Seconds())
	for i := range q.sizes {
		q.sizes[i].arrivedWork *= factor
		q.sizes[i].startedWork *= factor
		q.sizes[i].rankedAhead = 0
	}
}

// minArrivedWork keeps the share of a size defined of which nothing arrived lately.
const minArrivedWork = 0.001

// nextServedShare is the share of its size's work that will have been started when a job's turn
// comes: the lower, the sooner. Jobs are to be given in their order within the size.
func (s *sizeShare) nextServedShare(work float64) float64 {
	servedShare := (s.startedWork + s.rankedAhead) / max(s.arrivedWork, minArrivedWork)
	s.rankedAhead += work
	return servedShare
}
