package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// A node that is cut off from the store can't tell that its partitions were given to others
// from a store that is down for all, where tasks have to run on. The other members tell: a
// successor is one of them and has had a join answered.

// memberTimeout bounds a question to another member, which answers from memory.
const memberTimeout = 400 * time.Millisecond

// Members asks other members of the group.
type Members interface {
	// LastJoin asks the node at an address when the store last answered one of its joins.
	// An error says that the node did not tell.
	LastJoin(ctx context.Context, address string) (LastJoin, error)
}

// LastJoin is when the store last answered a join of a process.
type LastJoin struct {
	Never bool
	Age   time.Duration // since the answer
}

// instant is a time by the steady clock, and for how long the machine had been suspended
// then.
type instant struct {
	at        time.Time
	suspended time.Duration
}

func (m *Manager) instant() instant {
	return instant{at: time.Now(), suspended: m.suspended()}
}

// lapse is when a time to live that began at an instant is over by the steady clock. It is
// earlier by each suspension since. Zero for no instant.
func (m *Manager) lapse(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return i.at.Add(m.ttl - (m.suspended() - i.suspended))
}

// TTL is after how long without a join the group gives a member's partitions to others.
func (m *Manager) TTL() time.Duration { return m.ttl }

// OwnedUntil is until when a partition can't pass to another member for want of joins:
// a time to live after the latest join was sent that confirmed it. Zero if it isn't held.
// The group may deal all anew at will; the next join, joinInterval later, tells that.
func (m *Manager) OwnedUntil(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.held[p]; h != nil {
		return m.lapse(h.confirmed)
	}
	return time.Time{}
}

// AuthorityUntil is until when the owner of a partition may start tasks and renew leases: a
// time to live after the group has confirmed it, or after all other members were asked and
// none of them could be a successor. So it ends at most a time to live after a successor
// has heard of its own ownership, however the group deals. Zero if the partition isn't held.
func (m *Manager) AuthorityUntil(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.held[p]
	if h == nil {
		return time.Time{}
	}
	until := m.lapse(h.confirmed)
	if vouched := m.lapse(m.vouched); vouched.After(until) {
		return vouched
	}
	return until
}

// LastJoin tells another member when the store last answered a join of this process.
func (m *Manager) LastJoin() LastJoin {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answeredAt.IsZero() {
		return LastJoin{Never: true}
	}
	return LastJoin{Age: time.Since(m.answeredAt)}
}

// vouch asks the other members, while joins get no answer, whether one of them may be a
// successor of this one.
func (m *Manager) vouch(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Pause(ctx, joinInterval)
		if addresses, since, needed := m.toAsk(); needed {
			m.askMembers(ctx, addresses, since)
		}
	}
}

// toAsk returns the addresses of the other members, as last read from the group, and the
// instant of the latest answered join. needed is false while joins are answered, or nothing
// is held.
func (m *Manager) toAsk() (addresses []string, joined instant, needed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.held) == 0 || time.Since(m.joined.at) < 2*joinInterval {
		return nil, m.joined, false
	}
	for _, member := range m.members() {
		if member.address != m.address {
			addresses = append(addresses, member.address)
		}
	}
	return addresses, m.joined, true
}

// askMembers extends the authority if no member has had a join answered since the own
// membership may have lapsed. A member that doesn't tell may be the successor.
func (m *Manager) askMembers(ctx context.Context, addresses []string, joined instant) {
	asked := m.instant()
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	objections := make([]string, len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() { objections[i] = m.objection(ctx, address, joined) })
	}
	asking.Wait()
	for i, reason := range objections {
		if reason != "" {
			m.noteVouching(false, addresses[i]+" "+reason)
			return
		}
	}
	m.noteVouching(true, "")
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joined == joined {
		m.vouched = asked
	}
}

// objection tells why a member may be a successor, "" if it is none.
func (m *Manager) objection(ctx context.Context, address string, joined instant) string {
	last, err := m.peers.LastJoin(ctx, address)
	switch {
	case err != nil:
		return "does not tell: " + err.Error()
	case !last.Never && time.Now().Add(-last.Age).After(m.lapse(joined)):
		return "has joined meanwhile"
	}
	return ""
}

// noteVouching writes a line when the other members begin to vouch for this one, and when
// they no longer do.
func (m *Manager) noteVouching(vouched bool, reason string) {
	m.mu.Lock()
	changed := m.vouching == nil || *m.vouching != vouched
	m.vouching = &vouched
	since := time.Since(m.joined.at)
	m.mu.Unlock()
	switch {
	case !changed:
	case vouched:
		m.logger.Info("store answers no member, partitions are kept", "since_ms", since.Milliseconds())
	default:
		m.logger.Warn("another member may own the partitions", "reason", reason, "since_ms", since.Milliseconds())
	}
}
