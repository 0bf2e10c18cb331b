// Package admission decides whether a job is rejected before anything of it is stored, because it can't be
// done in any time that is of use to its caller. Whatever is unknown, old or doubtful admits.
package admission

import "time"

// Prospect is what the owner of a service's jobs tells of the next job of a queue and a workspace. The
// zero value gives no reason to reject anything.
type Prospect struct {
	// Wait is a wait for the first start that nineteen of twenty jobs exceed, of those with MinWork or more.
	Wait time.Duration
	// Expected is the median of the wait.
	Expected time.Duration
	MinWork  float64 // core-seconds
}

// IsZero reports whether the prospect gives no reason to reject anything.
func (p Prospect) IsZero() bool { return p.Wait <= 0 }

// Job is what decides how long a job may wait.
type Job struct {
	// Work is the estimated work of all tasks in core-seconds.
	Work float64
	// Path is the estimated run time of the job's longest chain of steps.
	Path time.Duration
	// Limit is the time from submission to completion after which the job is of no use to its caller.
	Limit time.Duration
}

// Verdict is a decision on one job.
type Verdict struct {
	Reject bool
	// RetryAfter is when a job that is sent again may be of use, if it was rejected.
	RetryAfter time.Duration
}

// LateFactor is the multiple of its target within which a job must be completed to be of use.
const LateFactor = 3

// LimitOf returns the limit of a job with a run time of path, on a queue whose target is stretch times the run
// time and objective more.
func LimitOf(path time.Duration, stretch float64, objective time.Duration) time.Duration {
	return LateFactor * (objective + time.Duration(float64(path)*stretch))
}

const (
	// MaxAge is the greatest age of a prospect that may reject a job.
	MaxAge = 300 * time.Millisecond
	// doubtFactor is how many times longer than is useful the predicted wait must be: jobs of several
	// sizes share a prospect, and the smallest of them wait less.
	doubtFactor   = 1.25
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Judge decides on a job by a prospect of the given age.
func Judge(p Prospect, age time.Duration, j Job) Verdict {
	usefulWait := j.Limit - j.Path
	if p.IsZero() || age < 0 || age > MaxAge || usefulWait <= 0 || j.Work < p.MinWork || float64(p.Wait) <= doubtFactor*float64(usefulWait) {
		return Verdict{}
	}
	return Verdict{Reject: true, RetryAfter: min(max(p.Expected-usefulWait, minRetryAfter), maxRetryAfter)}
}

// Gate keeps rejections from beginning and ending with every fluctuation of the wait. The zero value is open.
type Gate struct {
	overSince time.Time // since when the wait is over the limit, zero if it isn't
	closed    bool
}

const (
	// SettleTime is how long the wait must be over the limit before jobs are rejected. VMs that were
	// ordered when a peak began have joined by then.
	SettleTime = 3 * time.Second
	// reopenShare is the part of the limit below which the wait must fall before all jobs are admitted again.
	reopenShare = 0.8
)

// Update applies the current wait and reports whether jobs may be rejected.
func (g *Gate) Update(wait, limit time.Duration, now time.Time) bool {
	switch {
	case wait > limit:
		if g.overSince.IsZero() {
			g.overSince = now
		}
		g.closed = g.closed || now.Sub(g.overSince) >= SettleTime
	case !g.closed || float64(wait) < reopenShare*float64(limit):
		*g = Gate{}
	}
	return g.closed
}

// IsClosed reports whether jobs may be rejected.
func (g *Gate) IsClosed() bool { return g.closed }

// IsOpen reports whether the gate is as if nothing had ever been over the limit.
func (g *Gate) IsOpen() bool { return *g == Gate{} }
