// Package ownership shares the partitions of jobs out among the nodes. The
// store's group says who should own what; as it may reassign at a whim, that is
// a hint. What keeps two owners apart is the epoch: it is the generation in which
// the group gave the partition to this process, so no other has the same, and
// the store and the workers refuse lower ones.
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

// Times of membership.
const (
	// joinInterval is the pause between joins; several fit into the time to live.
	joinInterval = 200 * time.Millisecond
	// memberTTL is after how long without a join a member's partitions go to
	// others, if the store allows so little. Five joins fit into it; a store that is
	// 90 times as slow as usual answers each within 0.4 s, and they overlap. With the
	// takeover it must stay within a lease. Each 0.35 s less gave 0.02 of a day with
	// faults in the mean of 20 plays.
	memberTTL = 1150 * time.Millisecond
	// maxOwnersAge is how old the known owners may be; a failed question reads
	// them again at once, but not more often than ownersRetry.
	maxOwnersAge          = time.Second
	minOwnersReadInterval = 150 * time.Millisecond
)

const groupName = "yuccadrift"

// maxJoinsInFlight bounds the joins under way; a time-out has room for as many.
const maxJoinsInFlight = 6

// Store is what is needed of the platform's store.
type Store interface {
	Join(ctx context.Context, m platform.Member) (platform.Assignment, platform.StoreStatus, error)
	Leave(ctx context.Context, group, member string) (platform.StoreStatus, error)
	Owners(ctx context.Context, group string) ([]platform.Owner, platform.StoreStatus, error)
	Append(ctx context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.StoreStatus, error)
	Newest(ctx context.Context, p platform.Partition) (platform.Batch, platform.StoreStatus, error)
}

// Runner is run while the node owns a partition.
type Runner func(ctx context.Context, p platform.Partition, epoch int64) error

// Manager keeps this process a member and runs what it owns. It is safe for
// concurrent use.
type Manager struct {
	store         Store
	logger        hclog.Logger
	run           Runner
	workTopics    []string // topics that are worked on
	joinTopics    []string // all that members join
	partitions    int      // of each topic
	hasWork       func(platform.Partition) bool
	newMemberName func() string // a new member name

	address      string       // at which the node answers other nodes
	memberClient MemberClient // nil if nobody can be asked
	suspendedFor func() time.Duration
	milliCores   int     // of this process's VM
	checkJitter  float64 // from 0 to 1, another one for each node
	ttl          time.Duration

	joinSlots     chan struct{} // one entry for each join under way
	joinRequested chan struct{} // has an entry if a join is wanted before it is due

	mu                     sync.Mutex
	memberName             string
	generation             int64                    // the latest one received
	releasedGeneration     int64                    // the latest one whose losses are complete here
	stoppingCount          int                      // owners that were told to stop as their partition passes on
	lastAnsweredJoinSentAt instant                  // when the latest answered join was sent
	lastJoinAnsweredAt     time.Time                // when it was answered
	memberAnswers          map[string]*memberAnswer // of other members, by address
	noSuccessorAsOf        instant                  // since which all of them have said that they are no successors
	loggedCertainty        ownershipCertainty       // as last logged
	owned                  map[platform.Partition]*ownedPartition
	supersededBelow        map[platform.Partition]int64           // the epoch of the latest owner that asked for it
	stoppingOwners         map[platform.Partition]*ownedPartition // whose owner here was told to stop and has not yet
	owners                 map[platform.Partition]memberInfo
	ownersReadSentAt       time.Time
	mustRejoin             bool // the membership is to begin anew
	yieldPolicy            yieldPolicy
	capacityHint           capacityHint
	ownersStartFrom        time.Time // nothing that was dealt is run before
}

// Config of a Manager.
type Config struct {
	Node    string
	Address string // at which the node answers other nodes
	// MilliCores is the processor time of the VM in thousandths of a core, 0 if it
	// isn't known.
	MilliCores int
	// MinTTL is the shortest time to live of a member that the store allows.
	MinTTL time.Duration
	// Topics are those whose partitions are worked on.
	Topics []string
	// Partitions is how many a topic has, 0 if it isn't known.
	Partitions int
	// HasWork tells whether work lies in a partition; nil stands for all.
	HasWork func(platform.Partition) bool
	// UniqueID must return another text at each call: a restarted process that took
	// up its old name would share the old one's epoch.
	UniqueID func() string
	// MemberClient asks other members; nil if none can be asked.
	MemberClient MemberClient
	// SuspendedFor is for how long the machine was suspended so far; nil if that is not known.
	SuspendedFor func() time.Duration
	Logger       hclog.Logger
}

// New returns a manager that runs what it owns with run.
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
		milliCores:      c.MilliCores,
		checkJitter:     checkJitterOf(c.Node),
		ttl:             max(memberTTL, c.MinTTL),
		joinSlots:       make(chan struct{}, maxJoinsInFlight),
		joinRequested:   make(chan struct{}, 1),
		owned:           map[platform.Partition]*ownedPartition{},
		stoppingOwners:  map[platform.Partition]*ownedPartition{},
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

// checkJitterOf spreads nodes evenly from 0 to 1, by their names.
func checkJitterOf(node string) float64 {
	h := fnv.New32a()
	h.Write([]byte(node))
	return float64(h.Sum32()) / math.MaxUint32
}

// Run keeps the membership until ctx ends, and then gives all up.
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
		case !m.isYielding():
			isMember = true
			m.rejoinIfFenced(ctx)
			m.startJoin(ctx)
		case isMember:
			m.withdraw()
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

// startJoin joins beside the caller, unless as many joins as may be are under way.
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

// join joins once. Joins overlap: an answer that was lost would hold the next one
// up until its time-out, and by then the membership has lapsed.
func (m *Manager) join(ctx context.Context) {
	m.mu.Lock()
	member := platform.Member{Group: groupName, Name: m.memberName, Topics: m.joinTopics, TTL: m.ttl, Generation: m.releasedGeneration}
	m.mu.Unlock()
	sentAt := m.currentInstant()
	a, status, err := m.store.Join(ctx, member)
	if status != platform.StoreOK {
		m.logger.Debug("group can't be joined", "status", status.String(), "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastJoinAnsweredAt = time.Now()
	if member.Name != m.memberName || sentAt.at.Before(m.lastAnsweredJoinSentAt.at) || ctx.Err() != nil {
		return // a later join was answered before, or the membership began anew
	}
	m.lastAnsweredJoinSentAt = sentAt
	isNewGeneration := a.Generation != m.generation
	m.generation = a.Generation
	m.applyAssignment(ctx, a, sentAt, isNewGeneration)
}

// rejoinIfFenced begins the membership anew if an owner found itself fenced: a later
// generation gives it an epoch above the one that fenced it.
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
	m.stopAllOwners()
	if _, err := m.store.Leave(ctx, groupName, oldName); err != nil {
		m.logger.Debug("old membership can't be left, it lapses by itself", "member", oldName, "error", err)
	}
}

// RequestJoin asks for a join at once: a VM that has just come waits for its answer.
func (m *Manager) RequestJoin() {
	select {
	case m.joinRequested <- struct{}{}:
	default: // one is asked for already
	}
}

// ConfirmingJoinSentAt is when the latest join was sent that confirmed a partition to this
// process: no other has taken it over before. Zero if it isn't held.
func (m *Manager) ConfirmingJoinSentAt(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if own := m.owned[p]; own != nil {
		return own.confirmingJoinSentAt.at
	}
	return time.Time{}
}

// leaveTimeout bounds the last call of a process that stops.
const leaveTimeout = 500 * time.Millisecond

// leaveGroup gives all up, so that others need not wait for the time to live.
func (m *Manager) leaveGroup() {
	m.stopAllOwners()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if status, err := m.store.Leave(ctx, groupName, m.memberName); status != platform.StoreOK {
		m.logger.Warn("group can't be left, the membership lapses by itself", "status", status.String(), "error", err)
	}
}
