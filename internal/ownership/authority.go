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

// A node without an answer from the store can't tell whether it is cut off, and its partitions were given
// to others, or the store is down for all, where tasks must go on running. It asks the other members: a
// successor is one of them, and the store has answered a join of it.

// memberQueryTimeout bounds a query to another member, which answers from memory. It leaves time to act on
// the answer before the authority that it gives ends.
const memberQueryTimeout = 800 * time.Millisecond

// MemberClient queries other members of the group.
type MemberClient interface {
	// JoinStatus asks the node at an address when the store last answered one of its joins. An error
	// means that the node did not answer.
	JoinStatus(ctx context.Context, address string) (JoinStatus, error)
}

// JoinStatus states when the store last answered a join of a process.
type JoinStatus struct {
	Never bool
	Age   time.Duration // since the answer
	// Owned are the partitions that the group has given to the process.
	Owned []platform.Partition
}

// instant is a monotonic time, with the total time for which the machine had been suspended by then.
type instant struct {
	at           time.Time
	suspendedFor time.Duration
}

func (m *Manager) currentInstant() instant {
	return instant{at: time.Now(), suspendedFor: m.suspendedFor()}
}

// suspendAdjustedTime returns when an instant was on a monotonic clock that counts the suspensions since.
// It returns zero for the zero instant.
func (m *Manager) suspendAdjustedTime(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return i.at.Add(-max(0, m.suspendedFor()-i.suspendedFor))
}

// ttlExpiresAt returns when a TTL that began at an instant ends. It returns zero for the zero instant.
func (m *Manager) ttlExpiresAt(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return m.suspendAdjustedTime(i).Add(m.ttl)
}

// TTL returns the time without a join after which the group gives a member's partitions to others.
func (m *Manager) TTL() time.Duration { return m.ttl }

// OwnedUntil returns until when the group can't give a partition to another member because of missing
// joins: a TTL after the latest join that confirmed the partition was sent. It returns zero if the
// partition isn't owned. The group may also reassign partitions at any time, which the next join,
// joinInterval later, shows.
func (m *Manager) OwnedUntil(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if own := m.owned[p]; own != nil {
		return m.ttlExpiresAt(own.confirmingJoinSentAt)
	}
	return time.Time{}
}

// AuthorityUntil returns until when the owner of a partition may start tasks and renew leases: a TTL after
// the latest join that confirmed the partition was sent, or after the last time at which all other members
// were asked and none of them could be a successor. So the authority ends at most a TTL after a successor
// learns of its own ownership, however the group assigns partitions. It returns zero if the partition isn't
// owned.
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

// JoinStatus returns the answer for another member: when the store last answered a join of this process.
func (m *Manager) JoinStatus() JoinStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastJoinAnsweredAt.IsZero() {
		return JoinStatus{Never: true}
	}
	return JoinStatus{Age: time.Since(m.lastJoinAnsweredAt), Owned: slices.Collect(maps.Keys(m.owned))}
}

// memberAnswer is what another member has answered while joins of this process had no answer.
type memberAnswer struct {
	askedAt                 instant // of the latest query whose answer ruled the member out as a successor
	joinSentAt              instant // latest answered join of this process at that time; the answer counts for this join only
	isQueryInFlight         bool
	possibleSuccessorReason string // why the member may be a successor, "" if it can't be or has not been asked
}

// queryMembers asks the other members, while joins have no answer, whether one of them may be a successor
// of this process. It returns once ctx has ended.
func (m *Manager) queryMembers(ctx context.Context) {
	var queries sync.WaitGroup
	defer queries.Wait()
	for ctx.Err() == nil {
		wait.Pause(ctx, joinInterval)
		for _, address := range m.membersToQuery() {
			queries.Go(func() { m.queryMember(ctx, address) })
		}
		m.logConfirmationChange()
	}
}

// membersToQuery returns the addresses of the members without a query in flight, and marks their queries as
// in flight. It returns none while joins are answered or nothing is owned.
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
		m.noSuccessorAsOf = m.currentInstant() // there is no other member
	}
	return addresses
}

// otherAddresses returns the addresses of the other members as last read from the group. It must be called
// with mu held.
func (m *Manager) otherAddresses() []string {
	var addresses []string
	for _, member := range m.owningMembers() {
		if member.address != m.address {
			addresses = append(addresses, member.address)
		}
	}
	return addresses
}

func (m *Manager) queryMember(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, memberQueryTimeout)
	defer cancel()
	askedAt := m.currentInstant()
	status, err := m.memberClient.JoinStatus(ctx, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.memberAnswers[address]
	answer.isQueryInFlight = false
	if err != nil {
		answer.possibleSuccessorReason = "does not answer: " + err.Error()
		return
	}
	answer.askedAt, answer.joinSentAt = askedAt, m.lastAnsweredJoinSentAt
	if answer.possibleSuccessorReason = m.possibleSuccessorReason(status); answer.possibleSuccessorReason != "" {
		answer.askedAt = instant{}
	}
	m.noSuccessorAsOf = m.allRuledOutAt()
}

// possibleSuccessorReason returns why a member may own a partition that this process owns, "" if it can't. It must be
// called with mu held.
func (m *Manager) possibleSuccessorReason(status JoinStatus) string {
	answeredAt := time.Now().Add(-status.Age)
	switch {
	case status.Never || !answeredAt.After(m.suspendAdjustedTime(m.lastAnsweredJoinSentAt)):
		return "" // a later join confirmed the partitions to this process
	case answeredAt.After(m.ttlExpiresAt(m.lastAnsweredJoinSentAt)):
		return "has joined meanwhile"
	}
	for _, p := range status.Owned {
		if m.owned[p] != nil {
			return "owns a partition, too" // the group has reassigned it
		}
	}
	return ""
}

// allRuledOutAt returns the earliest of the instants at which the other members were last asked with
// an answer that rules them out as successors. It returns zero if a member has not given such an answer
// since the latest answered join. It must be called with mu held.
func (m *Manager) allRuledOutAt() instant {
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

// logConfirmationChange logs when the other members confirm that none of them is a successor, and when one of them
// may be.
func (m *Manager) logConfirmationChange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	membershipExpiresAt := m.ttlExpiresAt(m.lastAnsweredJoinSentAt)
	if m.lastAnsweredJoinSentAt.at.IsZero() || len(m.owned) == 0 || time.Now().Before(membershipExpiresAt) {
		m.loggedConfirmation = confirmedByJoin
		return
	}
	confirmation := confirmedByMembers
	reason := ""
	if !time.Now().Before(m.ttlExpiresAt(m.noSuccessorAsOf)) {
		confirmation = unconfirmed
		for _, address := range m.otherAddresses() {
			if answer := m.memberAnswers[address]; answer != nil && answer.possibleSuccessorReason != "" {
				reason = address + " " + answer.possibleSuccessorReason
				break
			}
		}
	}
	if confirmation == m.loggedConfirmation {
		return
	}
	m.loggedConfirmation = confirmation
	sinceJoinMS := time.Since(m.lastAnsweredJoinSentAt.at).Milliseconds()
	if confirmation == confirmedByMembers {
		m.logger.Info("store answers no member, partitions are kept", "since_ms", sinceJoinMS)
		return
	}
	m.logger.Warn("another member may own the partitions", "reason", reason, "since_ms", sinceJoinMS)
}

// ownershipConfirmation is how it is known, for the log, that no other member owns the partitions.
type ownershipConfirmation int

const (
	confirmedByJoin    ownershipConfirmation = iota // by an answered join
	confirmedByMembers                              // by the answers of all other members
	unconfirmed
)
