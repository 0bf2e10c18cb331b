// Package ownership assigns the partitions of jobs and of the fleet to the nodes.
//
// Each node that does not yield is a member of one group on the platform's store. It joins every
// joinInterval, and the answer lists the partitions that the group assigns to it: the node owns
// them. A Manager starts a runner for each of them. If a partition is reassigned, its runner is
// stopped and records its runs. Only then does the node report the generation in which it lost the
// partition, and the group assigns the partition to the successor.
//
// The group may reassign partitions at any time, so an assignment is only a hint. What keeps two
// owners apart is the epoch. An owner's epoch is the generation of the assignment that gave it the
// partition. No other owner of the partition has the same epoch, and the store and the workers
// refuse lower ones.
//
// An owner has the authority to start tasks and renew leases until AuthorityUntil: for a TTL after a
// join that confirmed the partition was sent or, while the store doesn't answer, for a TTL after all
// other members were asked and none of them could be a successor. So tasks keep running while the
// store is down for everyone, and an owner that alone is cut off from the store loses its authority
// in time.
//
// The group assigns partitions evenly, whatever processor time a member has. The owner of a busy
// service needs more of it than a weak VM has, which would answer its callers late. A weak VM
// therefore yields: it doesn't join, or leaves the group, while at least minStrongerMembers members
// with strongerFactor times its processor time own partitions, also of announcementTopic. It joins
// once they are lost. A member's name states its processor time, and a record on the store states
// the capacity of the previous owners for the start after a loss of all nodes.
package ownership

import (
	"context"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/platform"
)

// Times of the membership.
const (
	// joinInterval is the pause between joins; several fit into the TTL.
	joinInterval = 200 * time.Millisecond
	// memberTTL is the time without a join after which a member's partitions are reassigned, unless
	// the store's minimum is longer. Five joins fit into it, even with a store 90 times as slow as
	// usual, which answers each within 0.4 s, because joins overlap. The TTL plus the time of a
	// takeover must be shorter than a lease. The shorter the TTL, the sooner a lost member's tasks
	// have an owner again.
	memberTTL = 1150 * time.Millisecond
	// maxOwnersAge is the age up to which the known owners are used. A caller that has found them
	// to be wrong has them read again at once, but not more often than minOwnersReadInterval.
	maxOwnersAge          = time.Second
	minOwnersReadInterval = 150 * time.Millisecond
)

const groupName = "yuccadrift"

// maxJoinsInFlight bounds the joins in flight. About as many are sent within the timeout of one.
const maxJoinsInFlight = 6

// Store is the part of the platform's store that a Manager uses.
type Store interface {
	Join(ctx context.Context, m platform.Member) (platform.Assignment, platform.StoreStatus, error)
	Leave(ctx context.Context, group, member string) (platform.StoreStatus, error)
	Owners(ctx context.Context, group string) ([]platform.Owner, platform.StoreStatus, error)
	Append(ctx context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.StoreStatus, error)
	Newest(ctx context.Context, p platform.Partition) (platform.Batch, platform.StoreStatus, error)
}

// Runner runs the owner of a partition with an epoch, the generation of the assignment. It must return once ctx
// has ended; ctx ends when the node loses the partition. If it returns earlier, the node rejoins the group as a
// new member.
type Runner func(ctx context.Context, p platform.Partition, epoch int64) error

// Manager keeps this node a member of the group and runs the owners of its partitions. It is safe for
// concurrent use.
type Manager struct {
	store         Store
	logger        hclog.Logger
	run           Runner
	workTopics    []string // topics whose partitions are worked on
	joinTopics    []string // workTopics and announcementTopic
	partitions    int      // of each topic
	hasWork       func(platform.Partition) bool
	newMemberName func() string // returns another name at each call

	address      string       // for other nodes
	memberClient MemberClient // nil if other members can't be queried
	suspendedFor func() time.Duration
	relayed      func() ([]platform.Owner, time.Time, bool) // see Config.RelayedOwners
	milliCores   int                                        // usual processor time of this VM, 0 if unknown
	checkJitter  float64                                    // from 0 to 1, differs between nodes
	ttl          time.Duration

	joinSlots     chan struct{} // one entry for each join in flight
	joinRequested chan struct{} // has an entry if a join is requested before it is due
	// checkRequested has an entry if a check of the owners is requested before it is due.
	checkRequested chan struct{}

	mu                     sync.Mutex
	memberName             string
	generation             int64                    // the latest one received
	releasedGeneration     int64                    // the latest one whose lost partitions have no runner here
	stoppingCount          int                      // runners that are being stopped
	lastAnsweredJoinSentAt instant                  // when the latest answered join was sent
	lastJoinAnsweredAt     time.Time                // when the store last answered any join
	memberAnswers          map[string]*memberAnswer // by address
	noSuccessorAsOf        instant                  // when all other members were last known to be no successors
	loggedConfirmation     ownershipConfirmation    // as of the last log line
	owned                  map[platform.Partition]*ownedPartition
	supersededBelow        map[platform.Partition]int64           // epoch of the latest owner that has requested a stop
	stoppingRunners        map[platform.Partition]*ownedPartition // runners that are being stopped
	owners                 map[platform.Partition]memberInfo
	ownersReadSentAt       time.Time // also of relayed owners
	ownReadSentAt          time.Time // of this node's own read of the owners
	ownersRead             ownersRead
	mustRejoin             bool // the node must join under a new name
	yieldPolicy            yieldPolicy
	slowdownFactor         float64             // see SetSlowdown
	unslowedMembers        map[string]struct{} // by address, see queryUnslowedMembers
	capacityHint           capacityHint
	runnersStartFrom       time.Time // no runner is started before
}

// Config configures a Manager.
type Config struct {
	Node    string
	Address string // for other nodes
	// MilliCores is the processor time of the VM in millicores, 0 if it is unknown.
	MilliCores int
	// MinTTL is the shortest TTL of a member that the store allows.
	MinTTL time.Duration
	// Topics are the topics whose partitions are worked on (work topics).
	Topics []string
	// Partitions is the number of partitions of each topic, 0 if it is unknown.
	Partitions int
	// HasWork reports whether a partition has work now; nil means that all have.
	HasWork func(platform.Partition) bool
	// UniqueID must return a different text at each call, also after a restart: a restarted process with
	// its old name would get the epoch of the process before it.
	UniqueID func() string
	// MemberClient queries other members; nil if they can't be queried.
	MemberClient MemberClient
	// RelayedOwners returns the owners as another node has read them lately, and when; false if none tells. A
	// VM that yields uses these in place of reads of its own. Nil if no node tells.
	RelayedOwners func() (owners []platform.Owner, asOf time.Time, ok bool)
	// SuspendedFor returns the total time for which the machine has been suspended; nil if that is unknown.
	SuspendedFor func() time.Duration
	Logger       hclog.Logger
}

// New returns a Manager that calls run for each partition that the node owns.
func New(store Store, c Config, run Runner) *Manager {
	m := &Manager{
		store:           store,
		logger:          c.Logger,
		run:             run,
		workTopics:      c.Topics,
		joinTopics:      withAnnouncementTopic(c.Topics),
		partitions:      c.Partitions,
		hasWork:         c.HasWork,
		newMemberName:   func() string { return encodeMemberName(c) },
		address:         c.Address,
		memberClient:    c.MemberClient,
		suspendedFor:    c.SuspendedFor,
		relayed:         c.RelayedOwners,
		ownersRead:      ownersRead{changed: make(chan struct{})},
		milliCores:      c.MilliCores,
		checkJitter:     checkJitterOf(c.Node),
		ttl:             max(memberTTL, c.MinTTL),
		joinSlots:       make(chan struct{}, maxJoinsInFlight),
		joinRequested:   make(chan struct{}, 1),
		checkRequested:  make(chan struct{}, 1),
		slowdownFactor:  1,
		unslowedMembers: map[string]struct{}{},
		owned:           map[platform.Partition]*ownedPartition{},
		stoppingRunners: map[platform.Partition]*ownedPartition{},
		supersededBelow: map[platform.Partition]int64{},
		owners:          map[platform.Partition]memberInfo{},
		memberAnswers:   map[string]*memberAnswer{},
	}
	if m.hasWork == nil {
		m.hasWork = func(platform.Partition) bool { return true }
	}
	if m.suspendedFor == nil {
		m.suspendedFor = func() time.Duration { return 0 }
	}
	m.memberName = m.newMemberName()
	return m
}

// checkJitterOf maps the names of nodes evenly to values from 0 to 1.
func checkJitterOf(node string) float64 {
	h := fnv.New32a()
	h.Write([]byte(node))
	return float64(h.Sum32()) / math.MaxUint32
}

// Run keeps the membership until ctx ends. Then it stops all runners and leaves the group.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	m.awaitFirstOwnersRead(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { m.watchOwners(ctx) })
	if m.memberClient != nil {
		background.Go(func() { m.queryMembers(ctx) })
	}
	isMember := false
	for ctx.Err() == nil {
		switch {
		case !m.IsYielding():
			isMember = true
			m.rejoinIfFenced(ctx)
			m.startJoin(ctx)
		case isMember:
			m.leaveToYield()
			isMember = false
		}
		select {
		case <-tick.C:
		case <-m.joinRequested:
		case <-ctx.Done():
		}
	}
	if isMember {
		m.leaveGroup()
	}
	return ctx.Err()
}

// startJoin joins in the background, unless maxJoinsInFlight joins are in flight.
func (m *Manager) startJoin(ctx context.Context) {
	select {
	case m.joinSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-m.joinSlots }()
		m.join(ctx)
	}()
}

// join joins once. Joins overlap. Otherwise a lost answer would delay the next join until the timeout, and by
// then the membership would have lapsed.
func (m *Manager) join(ctx context.Context) {
	m.mu.Lock()
	member := platform.Member{Group: groupName, Name: m.memberName, Topics: m.joinTopics, TTL: m.ttl, Generation: m.releasedGeneration}
	m.mu.Unlock()
	sentAt := m.currentInstant()
	a, status, err := m.store.Join(ctx, member)
	if status != platform.StoreOK {
		m.logger.Debug("failed to join the group", "status", status.String(), "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastJoinAnsweredAt = time.Now()
	if member.Name != m.memberName || sentAt.at.Before(m.lastAnsweredJoinSentAt.at) || ctx.Err() != nil {
		return // a later join has been answered, or the node has a new membership
	}
	m.lastAnsweredJoinSentAt = sentAt
	isNewGeneration := a.Generation != m.generation
	m.generation = a.Generation
	m.applyAssignment(ctx, a, sentAt, isNewGeneration)
}

// rejoinIfFenced begins a new membership if a runner has returned by itself, as that of a fenced owner does. The
// next assignment has a later generation, and so an epoch above the one that fenced the owner.
func (m *Manager) rejoinIfFenced(ctx context.Context) {
	m.mu.Lock()
	mustRejoin := m.mustRejoin
	m.mustRejoin = false
	oldName := m.memberName
	if mustRejoin {
		m.memberName = m.newMemberName()
		m.generation, m.releasedGeneration = 0, 0
	}
	m.mu.Unlock()
	if !mustRejoin {
		return
	}
	m.stopAllRunners()
	if _, err := m.store.Leave(ctx, groupName, oldName); err != nil {
		m.logger.Debug("failed to leave the old membership, it will lapse", "member", oldName, "error", err)
	}
}

// RequestJoin requests a join at once.
func (m *Manager) RequestJoin() {
	select {
	case m.joinRequested <- struct{}{}:
	default: // one is requested already
	}
}

// ConfirmingJoinSentAt returns when the latest join that confirmed a partition to this node was sent. No other
// node had taken the partition over before that. It returns zero if this node doesn't own the partition.
func (m *Manager) ConfirmingJoinSentAt(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if own := m.owned[p]; own != nil {
		return own.confirmingJoinSentAt.at
	}
	return time.Time{}
}

// leaveTimeout bounds the call by which a node leaves the group.
const leaveTimeout = 500 * time.Millisecond

// leaveGroup stops all runners and leaves the group, so that other members need not wait for the TTL.
func (m *Manager) leaveGroup() {
	m.stopAllRunners()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if status, err := m.store.Leave(ctx, groupName, m.memberName); status != platform.StoreOK {
		m.logger.Warn("failed to leave the group, the membership will lapse", "status", status.String(), "error", err)
	}
}
