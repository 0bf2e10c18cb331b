package ownership

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Rules for VMs that leave owning to stronger ones. The group deals partitions out
// evenly, whatever a member can bear. The owner of a service in demand needs some
// 0.1 to 0.3 of a core; a VM with 0.2 that also serves callers answers those late.
const (
	// strongFactor is how many times the processor time a member needs to have to
	// count as stronger.
	strongFactor = 2
	// enoughStrong is how many stronger members must own something for a weaker VM
	// to stand back: one may be lost at any time.
	enoughStrong = 2
	// reserveCheck is the pause between looks of a VM that stands back. With the
	// time to live of a lost member it stays within a lease.
	reserveCheck = 500 * time.Millisecond
	// memberCheck is the same for a member: it has no hurry to stand back.
	memberCheck = 2 * time.Second
	// strongFor is how long stronger members must have owned something before a
	// member leaves, as each change stops the owners of what passes on.
	strongFor = 4 * time.Second
	// firstLookTimeout bounds the look ahead of the first join.
	firstLookTimeout = 300 * time.Millisecond
)

// reserve decides whether a VM stands back. It is not safe for concurrent use.
type reserve struct {
	since time.Time // enough stronger members were seen from then on, zero if not
	back  bool
}

// begin takes the look ahead of the first join: a VM that starts beside stronger
// ones does not join at all. strong is how many of them own something.
func (r *reserve) begin(strong int, now time.Time) {
	r.back = strong >= enoughStrong
	r.update(strong, now)
}

// update takes a later look.
func (r *reserve) update(strong int, now time.Time) {
	if strong < enoughStrong {
		r.since = time.Time{}
		r.back = false
		return
	}
	if r.since.IsZero() {
		r.since = now
	}
	r.back = r.back || now.Sub(r.since) >= strongFor
}

// watchStronger keeps up whether this VM stands back, until ctx ends. A look that
// fails changes nothing.
func (m *Manager) watchStronger(ctx context.Context) {
	for ctx.Err() == nil {
		pause := memberCheck
		if m.standsBack() {
			pause = reserveCheck
		}
		wait.Pause(ctx, pause)
		if !m.readOwners(ctx, pause/2) {
			continue
		}
		strong := m.stronger()
		m.mu.Lock()
		before := m.reserve.back
		m.reserve.update(strong, time.Now())
		after := m.reserve.back
		m.mu.Unlock()
		if before != after {
			m.logger.Info("stronger members", "own_something", strong, "stands_back", after)
		}
	}
}

func (m *Manager) standsBack() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserve.back
}

// firstLook decides ahead of the first join.
func (m *Manager) firstLook(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstLookTimeout)
	defer cancel()
	m.readOwners(ctx, 0)
	strong := m.stronger()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserve.begin(strong, time.Now())
}

// stronger counts the members that own something and have far more processor time.
func (m *Manager) stronger() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := map[string]bool{}
	for _, o := range m.owners {
		if m.milliCores > 0 && o.milliCores >= strongFactor*m.milliCores {
			names[o.name] = true
		}
	}
	return len(names)
}

// withdraw leaves the group. Joins under way are waited for: one that arrived
// after the leave would give partitions to a member that runs none. The next
// membership has another name, for the same reason.
func (m *Manager) withdraw() {
	for range maxJoins {
		m.joining <- struct{}{}
	}
	m.release()
	m.mu.Lock()
	m.member = m.name()
	m.generation = 0
	m.mu.Unlock()
	for range maxJoins {
		<-m.joining
	}
}
