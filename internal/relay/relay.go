// Package relay lets a node that owns nothing follow the configuration and the owners of partitions through
// a node that reads them from the store. Otherwise the calls to the store would grow with the nodes, although
// all of them read the same.
//
// A follower asks one source, which answers as soon as something has changed and after followWait at the
// latest. While the answers are in time the follower reads nothing of this from the store. As soon as one is
// late or refused, the follower reads the store itself until it has found another source. So a source that is
// lost, stopped or cut off delays a change by the time of one answer, and a node without any source reads as
// often as if there were no relays.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/partitioning"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// followWait is how long a source waits for a change.
	followWait = 600 * time.Millisecond
	// answerMargin is how much later an answer may come: many times a round trip.
	answerMargin = 250 * time.Millisecond
	// retryInterval is the pause before another source is asked.
	retryInterval = 100 * time.Millisecond
	checkInterval = 500 * time.Millisecond
	// MaxSourceAge is the age up to which what a source has read counts.
	MaxSourceAge = 1300 * time.Millisecond
)

// Question is what a follower knows.
type Question struct {
	ConfigVersion int64
	OwnersVersion uint64
	Services      int // number of services with a known partition
	Wait          time.Duration
}

// Answer is what a source has read from the store.
type Answer struct {
	// IsSource is set if the node reads the store itself and in time.
	IsSource bool
	// Config is the configuration as published, nil if it isn't newer than the follower's.
	Config []byte
	// OwnersVersion changes with the owners. Owners are nil if the follower has this version.
	OwnersVersion uint64
	Owners        []platform.Owner
	OwnersAge     time.Duration // since the source has read them
	// Partitions are the known partitions of services, nil if the follower knows as many.
	Partitions partitioning.Table
}

// Sources are the nodes that may be asked.
type Sources interface {
	// Candidates returns the addresses of nodes that may be sources.
	Candidates() []string
	Follow(ctx context.Context, address string, q Question) (Answer, error)
}

// Target takes what a source has told.
type Target interface {
	// Known returns what this node knows.
	Known() Question
	// MayFollow reports whether this node may follow others now.
	MayFollow() bool
	Apply(source string, a Answer)
}

// Follower follows the store through sources. It is safe for concurrent use.
type Follower struct {
	sources Sources
	target  Target
	intN    func(n int) int // returns a random number below n
	logger  hclog.Logger

	mu         sync.Mutex
	freshUntil time.Time
	owners     []platform.Owner
	ownersAsOf time.Time
	version    uint64 // of owners
	lapsed     chan struct{}
}

// New returns a follower without a source. intN must be safe for concurrent use.
func New(sources Sources, target Target, intN func(n int) int, logger hclog.Logger) *Follower {
	return &Follower{sources: sources, target: target, intN: intN, logger: logger, lapsed: make(chan struct{})}
}

// IsFresh reports whether a source tells all changes in time.
func (f *Follower) IsFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.freshUntil)
}

// Owners returns the owners of partitions and when a source has read them. ok is false if they may be out of
// date.
func (f *Follower) Owners() (owners []platform.Owner, asOf time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners, f.ownersAsOf, f.owners != nil && time.Now().Before(f.freshUntil)
}

// AwaitLapse waits until no source tells changes in time, at most for a while.
func (f *Follower) AwaitLapse(ctx context.Context, atMost time.Duration) {
	f.mu.Lock()
	lapsed := f.lapsed
	f.mu.Unlock()
	if err := wait.SleepUntil(ctx, atMost, lapsed); err != nil {
		return // the caller checks ctx
	}
}

// Run follows sources until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		candidates := f.sources.Candidates()
		if !f.target.MayFollow() || len(candidates) == 0 {
			wait.Pause(ctx, checkInterval)
			continue
		}
		source := candidates[f.intN(len(candidates))]
		answers := f.follow(ctx, source)
		f.lapse()
		if answers > 0 {
			f.logger.Debug("source of changes is left", "source", source, "answers", answers)
		}
		wait.Pause(ctx, retryInterval)
	}
	return ctx.Err()
}

// follow asks a source as long as it answers, and returns how often it has.
func (f *Follower) follow(ctx context.Context, source string) (answers int) {
	for ctx.Err() == nil && f.target.MayFollow() {
		q := f.target.Known()
		q.Wait = followWait
		f.mu.Lock()
		q.OwnersVersion = f.version
		f.mu.Unlock()
		if answers == 0 {
			q.Wait = 0 // the first answer tells whether the node is a source
		}
		callCtx, cancel := context.WithTimeout(ctx, q.Wait+answerMargin)
		a, err := f.sources.Follow(callCtx, source, q)
		cancel()
		if err != nil || !a.IsSource {
			return answers
		}
		answers++
		f.target.Apply(source, a)
		f.mu.Lock()
		if a.Owners != nil {
			f.owners, f.version = a.Owners, a.OwnersVersion
		}
		now := time.Now()
		f.ownersAsOf = now.Add(-a.OwnersAge)
		f.freshUntil = now.Add(followWait + answerMargin)
		f.mu.Unlock()
	}
	return answers
}

// lapse records that no source is followed, and ends waits for that.
func (f *Follower) lapse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freshUntil = time.Time{}
	close(f.lapsed)
	f.lapsed = make(chan struct{})
}
