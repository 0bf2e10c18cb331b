package scheduler

import (
	"math"
	"time"
)

const (
	// shareDecayTime is the time in which the recorded arrived and started work falls to 1/e, about
	// a third. It is longer than a peak of some seconds, and short enough that one peak does not
	// affect the shares of the next.
	shareDecayTime = 10 * time.Second
	// meanWindowJobs is the number of jobs over which a queue's mean work is averaged: some seconds
	// of arrivals in a quiet queue, half a second in a peak.
	meanWindowJobs = 50
)

// jobSize is a job's work relative to the mean of its queue's jobs.
type jobSize int

const (
	sizeSmall   jobSize = iota // less than half the mean
	sizeMedium                 // less than the mean
	sizeLarge                  // less than twice the mean
	sizeLargest                // twice the mean or more
	sizeCount
)

// queueShares divides a queue's capacity among its jobs by their size.
//
// The same fraction of the arriving work of each size is started, and within a size the job with the
// least work goes first, which serves the most jobs. If the least work always went first, a full
// service would never start its largest jobs, and to their callers the system would seem down.
type queueShares struct {
	meanWork float64 // core-seconds of a job
	sizes    [sizeCount]sizeStats
}

// sizeStats counts the recent work of one job size, in core-seconds.
type sizeStats struct {
	arrivedWork, startedWork float64
	rankedAhead              float64 // by the ranking in progress, before the next job
}

// addArrival records the work of an occurrence that is ranked for the first time and returns the
// statistics of its size.
func (q *queueShares) addArrival(work float64) *sizeStats {
	if q.meanWork == 0 {
		q.meanWork = work
	}
	q.meanWork += (work - q.meanWork) / meanWindowJobs
	stats := &q.sizes[q.sizeOf(work)]
	stats.arrivedWork += work
	return stats
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

// leastWork returns the least work of a size.
func (q *queueShares) leastWork(size jobSize) float64 {
	switch size {
	case sizeSmall:
		return 0
	case sizeMedium:
		return q.meanWork / 2
	case sizeLarge:
		return q.meanWork
	default:
		return 2 * q.meanWork
	}
}

// decay reduces the weight of past work and resets rankedAhead for a new ranking.
func (q *queueShares) decay(passed time.Duration) {
	factor := math.Exp(-passed.Seconds() / shareDecayTime.Seconds())
	for i := range q.sizes {
		q.sizes[i].arrivedWork *= factor
		q.sizes[i].startedWork *= factor
		q.sizes[i].rankedAhead = 0
	}
}

// minArrivedWork keeps the served ratio finite for a size of which nothing has arrived recently.
const minArrivedWork = 0.001

// nextServedRatio returns the ratio of started to arrived work of the size once the jobs ranked
// before the next one have been started, and counts the next job, with the given work, as ranked.
// Jobs with a lower ratio go first. It must be called for the jobs of a size in their order within
// the size.
func (s *sizeStats) nextServedRatio(work float64) float64 {
	servedRatio := (s.startedWork + s.rankedAhead) / max(s.arrivedWork, minArrivedWork)
	s.rankedAhead += work
	return servedRatio
}
