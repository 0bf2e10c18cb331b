package ownership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// A node that is cut off from the store can't tell that its partitions were given to others
// from a store that is down for all, where tasks have to run on. The other members tell: a
// successor is one of them and has had a join answered.

// memberTimeout bounds a question to another member, which answers from memory. It leaves
// time to act on the answer before the authority that it gives is over.
const memberTimeout = 800 * time.Millisecond

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
	// Held are the partitions that the group has given to the process.
	Held []platform.Partition
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

// onClock is when an instant was, by a steady clock that had counted each suspension since.
// Zero for no instant.
func (m *Manager) onClock(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return i.at.Add(-max(0, m.suspended()-i.suspended))
}

// lapse is when a time to live that began at an instant is over. Zero for no instant.
func (m *Manager) lapse(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return m.onClock(i).Add(m.ttl)
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
	if unopposed := m.lapse(m.unopposed); unopposed.After(until) {
		return unopposed
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
	return LastJoin{Age: time.Since(m.answeredAt), Held: slices.Collect(maps.Keys(m.held))}
}

// memberAnswer is what another member told while joins got no answer.
type memberAnswer struct {
	asked  instant // of the latest question that it answered with no later join
	joined instant // since which no other join counts
	open   bool    // a question is under way
	reason string  // why it may be a successor, "" if it is none or was not asked yet
}

// askMembers asks the other members, while joins get no answer, whether one of them may be a
// successor of this one.
func (m *Manager) askMembers(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for ctx.Err() == nil {
		wait.Pause(ctx, joinInterval)
		for _, address := range m.toAsk() {
			asking.Go(func() { m.askMember(ctx, address) })
		}
		m.logStanding()
	}
}

// toAsk returns the members of whom no question is under way, none while joins are answered
// or nothing is held.
func (m *Manager) toAsk() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.held) == 0 || time.Since(m.joined.at) < 2*joinInterval {
		return nil
	}
	var addresses []string
	others := m.others()
	for _, address := range others {
		if m.answers[address] == nil {
			m.answers[address] = &memberAnswer{}
		}
		if !m.answers[address].open {
			m.answers[address].open = true
			addresses = append(addresses, address)
		}
	}
	if len(others) == 0 {
		m.unopposed = m.instant() // nobody else is a member
	}
	return addresses
}

// others are the addresses of the other members, as last read from the group. The lock is
// held.
func (m *Manager) others() []string {
	var addresses []string
	for _, member := range m.members() {
		if member.address != m.address {
			addresses = append(addresses, member.address)
		}
	}
	return addresses
}

// askMember asks one member.
func (m *Manager) askMember(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	asked := m.instant()
	last, err := m.peers.LastJoin(ctx, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.answers[address]
	v.open = false
	if err != nil {
		v.reason = "does not tell: " + err.Error()
		return
	}
	v.asked, v.joined = asked, m.joined
	if v.reason = m.objection(last); v.reason != "" {
		v.asked = instant{}
	}
	m.unopposed = m.allAnswered()
}

// objection tells why a member may own a partition that is held here, "" if it can't. The
// lock is held.
func (m *Manager) objection(last LastJoin) string {
	answered := time.Now().Add(-last.Age)
	switch {
	case last.Never || !answered.After(m.onClock(m.joined)):
		return "" // what it holds has passed on to this one since
	case answered.After(m.lapse(m.joined)):
		return "has joined meanwhile"
	}
	for _, p := range last.Held {
		if m.held[p] != nil {
			return "holds a partition, too" // the group has dealt it anew
		}
	}
	return ""
}

// allAnswered is the earliest instant of the latest questions that the members answered with
// no later join, zero if one of them has not since the latest answered join. The lock is held.
func (m *Manager) allAnswered() instant {
	var earliest instant
	for _, address := range m.others() {
		v := m.answers[address]
		if v == nil || v.joined != m.joined || v.asked.at.IsZero() {
			return instant{}
		}
		if earliest.at.IsZero() || v.asked.at.Before(earliest.at) {
			earliest = v.asked
		}
	}
	return earliest
}

// logStanding writes a line when the other members tell that none of them is a successor, and
// when one of them may be.
func (m *Manager) logStanding() {
	m.mu.Lock()
	defer m.mu.Unlock()
	lapsed := m.lapse(m.joined)
	if m.joined.at.IsZero() || len(m.held) == 0 || time.Now().Before(lapsed) {
		m.standing = confirmed
		return
	}
	now := unopposed
	reason := ""
	if !time.Now().Before(m.lapse(m.unopposed)) {
		now = doubted
		for _, address := range m.others() {
			if v := m.answers[address]; v != nil && v.reason != "" {
				reason = address + " " + v.reason
				break
			}
		}
	}
	if now == m.standing {
		return
	}
	m.standing = now
	since := time.Since(m.joined.at).Milliseconds()
	if now == unopposed {
		m.logger.Info("store answers no member, partitions are kept", "since_ms", since)
		return
	}
	m.logger.Warn("another member may own the partitions", "reason", reason, "since_ms", since)
}

// standing is how certain it is that no other member owns the partitions, for the log.
type standing int

const (
	confirmed standing = iota // by a join
	unopposed                 // by the answers of all other members
	doubted
)
