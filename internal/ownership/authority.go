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

// memberQueryTimeout bounds a question to another member, which answers from memory. It leaves
// time to act on the answer before the authority that it gives is over.
const memberQueryTimeout = 800 * time.Millisecond

// MemberClient asks other members of the group.
type MemberClient interface {
	// LastJoin asks the node at an address when the store last answered one of its joins.
	// An error says that the node did not tell.
	LastJoin(ctx context.Context, address string) (LastJoin, error)
}

// LastJoin is when the store last answered a join of a process.
type LastJoin struct {
	Never bool
	Age   time.Duration // since the answer
	// Owned are the partitions that the group has given to the process.
	Owned []platform.Partition
}

// instant is a time by the steady clock, and for how long the machine had been suspended
// then.
type instant struct {
	at           time.Time
	suspendedFor time.Duration
}

func (m *Manager) currentInstant() instant {
	return instant{at: time.Now(), suspendedFor: m.suspendedFor()}
}

// suspendAdjustedTime is when an instant was, by a steady clock that had counted each suspension since.
// Zero for no instant.
func (m *Manager) suspendAdjustedTime(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return i.at.Add(-max(0, m.suspendedFor()-i.suspendedFor))
}

// ttlExpiresAt is when a time to live that began at an instant is over. Zero for no instant.
func (m *Manager) ttlExpiresAt(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return m.suspendAdjustedTime(i).Add(m.ttl)
}

// TTL is after how long without a join the group gives a member's partitions to others.
func (m *Manager) TTL() time.Duration { return m.ttl }

// OwnedUntil is until when a partition can't pass to another member for want of joins:
// a time to live after the latest join was sent that confirmed it. Zero if it isn't held.
// The group may deal all anew at will; the next join, joinInterval later, tells that.
func (m *Manager) OwnedUntil(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if own := m.owned[p]; own != nil {
		return m.ttlExpiresAt(own.confirmingJoinSentAt)
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
	own := m.owned[p]
	if own == nil {
		return time.Time{}
	}
	until := m.ttlExpiresAt(own.confirmingJoinSentAt)
	if byMembers := m.ttlExpiresAt(m.noSuccessorAsOf); byMembers.After(until) {
		return byMembers
	}
	return until
}

// LastJoin tells another member when the store last answered a join of this process.
func (m *Manager) LastJoin() LastJoin {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastJoinAnsweredAt.IsZero() {
		return LastJoin{Never: true}
	}
	return LastJoin{Age: time.Since(m.lastJoinAnsweredAt), Owned: slices.Collect(maps.Keys(m.owned))}
}

// memberAnswer is what another member told while joins got no answer.
type memberAnswer struct {
	askedAt         instant // of the latest question that it answered with no later join
	joinSentAt      instant // since which no other join counts
	isQueryInFlight bool    // a question is under way
	vetoReason      string  // why it may be a successor, "" if it is none or was not asked yet
}

// queryMembers asks the other members, while joins get no answer, whether one of them may be a
// successor of this one.
func (m *Manager) queryMembers(ctx context.Context) {
	var queries sync.WaitGroup
	defer queries.Wait()
	for ctx.Err() == nil {
		wait.Pause(ctx, joinInterval)
		for _, address := range m.membersToQuery() {
			queries.Go(func() { m.queryMember(ctx, address) })
		}
		m.logCertainty()
	}
}

// membersToQuery returns the members of whom no question is under way, none while joins are answered
// or nothing is held.
func (m *Manager) membersToQuery() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.owned) == 0 || time.Since(m.lastAnsweredJoinSentAt.at) < 2*joinInterval {
		return nil
	}
	var addresses []string
	others := m.otherAddresses()
	for _, address := range others {
		if m.memberAnswers[address] == nil {
			m.memberAnswers[address] = &memberAnswer{}
		}
		if !m.memberAnswers[address].isQueryInFlight {
			m.memberAnswers[address].isQueryInFlight = true
			addresses = append(addresses, address)
		}
	}
	if len(others) == 0 {
		m.noSuccessorAsOf = m.currentInstant() // nobody else is a member
	}
	return addresses
}

// otherAddresses are the addresses of the other members, as last read from the group. The lock is
// held.
func (m *Manager) otherAddresses() []string {
	var addresses []string
	for _, member := range m.owningMembers() {
		if member.address != m.address {
			addresses = append(addresses, member.address)
		}
	}
	return addresses
}

// queryMember asks one member.
func (m *Manager) queryMember(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, memberQueryTimeout)
	defer cancel()
	askedAt := m.currentInstant()
	lastJoin, err := m.memberClient.LastJoin(ctx, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.memberAnswers[address]
	answer.isQueryInFlight = false
	if err != nil {
		answer.vetoReason = "does not tell: " + err.Error()
		return
	}
	answer.askedAt, answer.joinSentAt = askedAt, m.lastAnsweredJoinSentAt
	if answer.vetoReason = m.vetoReason(lastJoin); answer.vetoReason != "" {
		answer.askedAt = instant{}
	}
	m.noSuccessorAsOf = m.earliestAnsweredQuery()
}

// vetoReason tells why a member may own a partition that is held here, "" if it can't. The
// lock is held.
func (m *Manager) vetoReason(lastJoin LastJoin) string {
	answeredAt := time.Now().Add(-lastJoin.Age)
	switch {
	case lastJoin.Never || !answeredAt.After(m.suspendAdjustedTime(m.lastAnsweredJoinSentAt)):
		return "" // what it holds has passed on to this one since
	case answeredAt.After(m.ttlExpiresAt(m.lastAnsweredJoinSentAt)):
		return "has joined meanwhile"
	}
	for _, p := range lastJoin.Owned {
		if m.owned[p] != nil {
			return "holds a partition, too" // the group has dealt it anew
		}
	}
	return ""
}

// earliestAnsweredQuery is the earliest instant of the latest questions that the members answered with
// no later join, zero if one of them has not since the latest answered join. The lock is held.
func (m *Manager) earliestAnsweredQuery() instant {
	var earliest instant
	for _, address := range m.otherAddresses() {
		answer := m.memberAnswers[address]
		if answer == nil || answer.joinSentAt != m.lastAnsweredJoinSentAt || answer.askedAt.at.IsZero() {
			return instant{}
		}
		if earliest.at.IsZero() || answer.askedAt.at.Before(earliest.at) {
			earliest = answer.askedAt
		}
	}
	return earliest
}

// logCertainty writes a line when the other members tell that none of them is a successor, and
// when one of them may be.
func (m *Manager) logCertainty() {
	m.mu.Lock()
	defer m.mu.Unlock()
	membershipExpiresAt := m.ttlExpiresAt(m.lastAnsweredJoinSentAt)
	if m.lastAnsweredJoinSentAt.at.IsZero() || len(m.owned) == 0 || time.Now().Before(membershipExpiresAt) {
		m.loggedCertainty = confirmedByJoin
		return
	}
	certainty := confirmedByMembers
	reason := ""
	if !time.Now().Before(m.ttlExpiresAt(m.noSuccessorAsOf)) {
		certainty = unconfirmed
		for _, address := range m.otherAddresses() {
			if answer := m.memberAnswers[address]; answer != nil && answer.vetoReason != "" {
				reason = address + " " + answer.vetoReason
				break
			}
		}
	}
	if certainty == m.loggedCertainty {
		return
	}
	m.loggedCertainty = certainty
	sinceJoinMS := time.Since(m.lastAnsweredJoinSentAt.at).Milliseconds()
	if certainty == confirmedByMembers {
		m.logger.Info("store answers no member, partitions are kept", "since_ms", sinceJoinMS)
		return
	}
	m.logger.Warn("another member may own the partitions", "reason", reason, "since_ms", sinceJoinMS)
}

// ownershipCertainty is how certain it is that no other member owns the partitions, for the log.
type ownershipCertainty int

const (
	confirmedByJoin    ownershipCertainty = iota // by a join
	confirmedByMembers                           // by the answers of all other members
	unconfirmed
)
