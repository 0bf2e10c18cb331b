package ownership

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Pauses between looks at the owners.
const (
	// reserveCheck is the longest one of a VM that stands back. With the time to live
	// of a lost member it stays within a lease.
	reserveCheck = 500 * time.Millisecond
	// outrankedCheck is that of a member beside which stronger ones are known to be
	// about: it bears little, and is to leave to them within about a second. It takes two looks, and
	// twice that where it is dealt what another one has left.
	outrankedCheck = 150 * time.Millisecond
	// memberCheck is that of any other member.
	memberCheck = time.Second
	// gather is how long a member waits before it runs what it was dealt where nobody
	// owned anything: VMs that start together do so within this time. The first to join
	// is dealt all partitions, and would pause each twice: to take it over, and to pass
	// it on to those that came a moment later.
	gather = 300 * time.Millisecond
)

// firstLook looks at the owners until the store answers: a VM that joined without would
// not know whether it is to stand back.
func (m *Manager) firstLook(ctx context.Context) {
	for ctx.Err() == nil && !m.readOwners(ctx, 0) {
		wait.Pause(ctx, joinInterval)
	}
	m.begin()
}

// begin takes the first look that was answered.
func (m *Manager) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.reserve.begin(m.milliCores, now)
	if len(m.owners) == 0 {
		m.runFrom = now.Add(gather)
		time.AfterFunc(gather, m.Confirm)
	}
}

// watch keeps up whether this VM stands back, until ctx ends. A look that fails changes
// nothing.
func (m *Manager) watch(ctx context.Context) {
	for ctx.Err() == nil {
		m.recall(ctx)
		now := time.Now()
		m.decide(now)
		m.remember(ctx, now)
		pause := m.checkPause(now)
		wait.Pause(ctx, pause)
		for ctx.Err() == nil && !m.readOwners(ctx, pause/2) {
			wait.Pause(ctx, pause)
		}
	}
}

// decide takes what is known of the owners.
func (m *Manager) decide(now time.Time) {
	m.mu.Lock()
	v := m.lastLook()
	before := m.reserve.back
	m.reserve.update(v, now)
	after := m.reserve.back
	m.mu.Unlock()
	if before != after {
		m.logger.Info("stronger members", "own_something", v.stronger, "all_owned", v.full, "stands_back", after)
		m.Confirm()
	}
}

// checkPause is the pause before the next look.
func (m *Manager) checkPause(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.reserve.back:
		// Each VM has a pause of its own: where the strong are lost, some weak ones
		// join before the others look, and these see that enough have.
		pause := reserveCheck - time.Duration(m.phase*float64(reserveCheck/4))
		if untilJoin := m.reserve.joinAt.Sub(now); untilJoin > 0 {
			pause = min(pause, untilJoin)
		}
		return pause
	case m.memory.stored >= strongFactor*m.milliCores || !m.reserve.strongSince.IsZero():
		return outrankedCheck
	default:
		return memberCheck
	}
}

func (m *Manager) standsBack() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserve.back
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
	m.generation, m.released = 0, 0
	m.mu.Unlock()
	for range maxJoins {
		<-m.joining
	}
}
