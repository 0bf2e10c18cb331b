// Package standin is a small fake of the platform for development and tests:
// the log service, VMs, tasks under leases, the lagging list, and backend
// servers, each with faults to order.
//
// Platform is the state; it implements the interfaces of package platform, so a
// test can use it in process. Its state advances when it is looked at, by the
// injected clock, without a goroutine. Server puts it behind HTTP and runs the
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

// endedTaskRetention is how long Status still shows an ended task.
const endedTaskRetention = time.Hour

// Options sets a Platform up; zero values take the defaults.
type Options struct {
	// Now is the clock; time.Now when nil.
	Now func() time.Time
	// RetentionEntries is how many entries a stream keeps.
	RetentionEntries int
	// RetentionAge is how long a stream keeps an entry; 0 means forever.
	RetentionAge time.Duration
	// AppendsPerSecond is the ceiling over all streams; negative means none.
	AppendsPerSecond int
	// Groups are the VMs to begin with.
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

// lockAndAdvance locks the state, brings it up to the present and returns that time. The
// caller unlocks.
func (p *Platform) lockAndAdvance() time.Time {
	p.mu.Lock()
	now := p.now()
	p.advance(now)
	return now
}

// advance applies what has fallen due, in the order of the due times: boots
// that finish, tasks that end, leases that lapse, appends that were delayed.
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

// nextEvent returns the earliest event that is still to come, or no function.
func (p *Platform) nextEvent() (time.Time, func(time.Time)) {
	var first earliestEvent
	p.log.offerDelayedAppends(&first)
	p.offerBoots(&first)
	p.offerTaskEnds(&first)
	return first.at, first.apply
}

// earliestEvent keeps the event with the earliest time of those offered to it.
type earliestEvent struct {
	at    time.Time
	apply func(time.Time)
}

func (e *earliestEvent) offer(at time.Time, apply func(time.Time)) {
	if e.apply == nil || at.Before(e.at) {
		e.at, e.apply = at, apply
	}
}

// newLimiter returns the append ceiling. Its burst is a quarter second's worth,
// so the ceiling also holds over a single second within a quarter.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/4))
}
