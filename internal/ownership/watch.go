package ownership

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Pauses between looks at the owners.
const (
	// yieldingCheckInterval is the longest one of a VM that stands back. With the time to live
	// of a lost member it stays within a lease.
	yieldingCheckInterval = 500 * time.Millisecond
	// outrankedCheckInterval is that of a member beside which stronger ones are known to be
	// about: it bears little, and is to leave to them within about a second. It takes two looks, and
	// twice that where it is dealt what another one has left.
	outrankedCheckInterval = 150 * time.Millisecond
	// memberCheckInterval is that of any other member.
	memberCheckInterval = time.Second
	// initialGatherTime is how long a member waits before it runs what it was dealt where nobody
	// owned anything: VMs that start together do so within this time. The first to join
	// is dealt all partitions, and would pause each twice: to take it over, and to pass
	// it on to those that came a moment later.
	initialGatherTime = 300 * time.Millisecond
)

// awaitFirstOwnersRead looks at the owners until the store answers: a VM that joined without would
// not know whether it is to stand back.
func (m *Manager) awaitFirstOwnersRead(ctx context.Context) {
	for ctx.Err() == nil && !m.readOwners(ctx, 0) {
		wait.Pause(ctx, joinInterval)
	}
	m.startYieldPolicy()
}

// startYieldPolicy takes the first look that was answered.
func (m *Manager) startYieldPolicy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.yieldPolicy.start(m.milliCores, now)
	if len(m.owners) == 0 {
		m.ownersStartFrom = now.Add(initialGatherTime)
		time.AfterFunc(initialGatherTime, m.RequestJoin)
	}
}

// watchOwners keeps up whether this VM stands back, until ctx ends. A look that fails changes
// nothing.
func (m *Manager) watchOwners(ctx context.Context) {
	for ctx.Err() == nil {
		m.readCapacityHint(ctx)
		now := time.Now()
		m.updateYielding(now)
		m.storeCapacityHint(ctx, now)
		pause := m.nextCheckDelay(now)
		wait.Pause(ctx, pause)
		for ctx.Err() == nil && !m.readOwners(ctx, pause/2) {
			wait.Pause(ctx, pause)
		}
	}
}

// updateYielding takes what is known of the owners.
func (m *Manager) updateYielding(now time.Time) {
	m.mu.Lock()
	s := m.snapshot()
	wasYielding := m.yieldPolicy.isYielding
	m.yieldPolicy.update(s, now)
	isYielding := m.yieldPolicy.isYielding
	m.mu.Unlock()
	if wasYielding != isYielding {
		m.logger.Info("stronger members", "own_something", s.strongerMembers, "all_owned", s.isSaturated, "stands_back", isYielding)
		m.RequestJoin()
	}
}

// nextCheckDelay is the pause before the next look.
func (m *Manager) nextCheckDelay(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.yieldPolicy.isYielding:
		// Each VM has a pause of its own: where the strong are lost, some weak ones
		// join before the others look, and these see that enough have.
		delay := yieldingCheckInterval - time.Duration(m.checkJitter*float64(yieldingCheckInterval/4))
		if untilJoin := m.yieldPolicy.joinAt.Sub(now); untilJoin > 0 {
			delay = min(delay, untilJoin)
		}
		return delay
	case m.capacityHint.storedMilliCores >= strongerFactor*m.milliCores || !m.yieldPolicy.outrankedSince.IsZero():
		return outrankedCheckInterval
	default:
		return memberCheckInterval
	}
}

func (m *Manager) isYielding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.yieldPolicy.isYielding
}

// withdraw leaves the group. Joins under way are waited for: one that arrived
// after the leave would give partitions to a member that runs none. The next
// membership has another name, for the same reason.
func (m *Manager) withdraw() {
	for range maxJoinsInFlight {
		m.joinSlots <- struct{}{}
	}
	m.leaveGroup()
	m.mu.Lock()
	m.memberName = m.newMemberName()
	m.generation, m.releasedGeneration = 0, 0
	m.mu.Unlock()
	for range maxJoinsInFlight {
		<-m.joinSlots
	}
}
