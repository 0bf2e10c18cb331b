// Package standin is a fake of the platform for development and tests: the log
// service, VMs, tasks with leases, the lagging list and backend servers, all with
// fault injection.
//
// Platform implements the interfaces of package platform, so a test can use it in
// process. It has no goroutine: each call first advances the state to the current
// time of the injected clock. Server serves a Platform over HTTP and runs the
// backend servers.
package standin

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// Defaults of Options.
const (
	DefaultRetentionEntries = 100_000
	DefaultAppendsPerSecond = 400
	DefaultBoot             = 2 * time.Second
)

// endedTaskRetention is how long Status includes an ended task.
const endedTaskRetention = time.Hour

// Options configures a Platform. Zero values take the defaults.
type Options struct {
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// RetentionEntries is the number of entries that a stream keeps.
	RetentionEntries int
	// RetentionAge is how long a stream keeps an entry; 0 means forever.
	RetentionAge time.Duration
	// AppendsPerSecond limits the appends to all streams; negative means no limit.
	AppendsPerSecond int
	// Groups are the initial VMs.
	Groups []Group
}

// Platform is the fake platform. It is safe for concurrent use.
type Platform struct {
	now     func() time.Time
	started time.Time

	mu       sync.Mutex
	faults   faultSet
	log      logState
	fleet    fleetState
	tasks    taskState
	counters counterState
}

var (
	_ platform.Log   = (*Platform)(nil)
	_ platform.Fleet = (*Platform)(nil)
	_ platform.Tasks = (*Platform)(nil)
)

// New returns a platform with the VMs of the options' groups.
func New(opts Options) *Platform {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.RetentionEntries <= 0 {
		opts.RetentionEntries = DefaultRetentionEntries
	}
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = DefaultAppendsPerSecond
	}
	p := &Platform{now: opts.Now, started: opts.Now()}
	p.log = newLogState(opts)
	p.fleet = newFleetState()
	p.tasks = newTaskState()
	p.counters = newCounterState(p.started)
	for _, group := range opts.Groups {
		p.AddGroup(group)
	}
	return p
}

// lockAndAdvance locks mu, advances the state to the current time and returns that
// time. The caller must unlock mu.
func (p *Platform) lockAndAdvance() time.Time {
	p.mu.Lock()
	now := p.now()
	p.advance(now)
	return now
}

// advance applies the events that are due, in the order of their times: ends of
// boots and tasks, expired leases and delayed appends.
func (p *Platform) advance(now time.Time) {
	for {
		due, apply := p.nextEvent()
		if apply == nil || due.After(now) {
			break
		}
		apply(due)
		p.finishDrains()
	}
	p.finishDrains()
	p.dropEndedTasks(now)
	p.log.trim(now)
}

// nextEvent returns the time of the earliest pending event and the function that applies
// it, which is nil if there is none.
func (p *Platform) nextEvent() (time.Time, func(time.Time)) {
	var first earliestEvent
	p.log.offerDelayedAppends(&first)
	p.offerBoots(&first)
	p.offerTaskEnds(&first)
	return first.at, first.apply
}

// earliestEvent keeps the earliest of the events offered to it.
type earliestEvent struct {
	at    time.Time
	apply func(time.Time)
}

func (e *earliestEvent) offer(at time.Time, apply func(time.Time)) {
	if e.apply == nil || at.Before(e.at) {
		e.at, e.apply = at, apply
	}
}

// newLimiter returns the limiter of appends. Its burst is a quarter of a second's
// appends, so that any single second exceeds the limit by at most a quarter.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/4))
}
