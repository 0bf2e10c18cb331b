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
	// ownersInterval is how old the known owners may be; a failed question reads
	// them again at once, but not more often than ownersRetry.
	ownersInterval = time.Second
	ownersRetry    = 150 * time.Millisecond
)

const group = "yuccadrift"

// maxJoins bounds the joins under way; a time-out has room for as many.
const maxJoins = 6

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
	store      Store
	logger     hclog.Logger
	run        Runner
	worked     []string // topics that are worked on
	topics     []string // all that members join
	partitions int      // of each topic
	inUse      func(platform.Partition) bool
	name       func() string // a new member name

	address    string  // at which the node answers other nodes
	peers      Members // nil if nobody can be asked
	suspended  func() time.Duration
	milliCores int     // of this process's VM
	phase      float64 // from 0 to 1, another one for each node
	ttl        time.Duration

	joining chan struct{} // one entry for each join under way
	early   chan struct{} // has an entry if a join is wanted before it is due

	mu         sync.Mutex
	member     string
	generation int64                    // the latest one received
	released   int64                    // the latest one whose losses are complete here
	stopping   int                      // owners that were told to stop as their partition passes on
	joined     instant                  // when the latest answered join was sent
	answeredAt time.Time                // when it was answered
	answers    map[string]*memberAnswer // of other members, by address
	unopposed  instant                  // since which all of them have said that they are no successors
	standing   standing                 // as last logged
	held       map[platform.Partition]*holding
	superseded map[platform.Partition]int64    // the epoch of the latest owner that asked for it
	retiring   map[platform.Partition]*holding // whose owner here was told to stop and has not yet
	owners     map[platform.Partition]peer
	ownersAt   time.Time
	renew      bool // the membership is to begin anew
	reserve    reserve
	memory     memory
	runFrom    time.Time // nothing that was dealt is run before
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
	// InUse tells whether work lies in a partition; nil stands for all.
	InUse func(platform.Partition) bool
	// Unique must return another text at each call: a restarted process that took
	// up its old name would share the old one's epoch.
	Unique func() string
	// Members asks other members; nil if none can be asked.
	Members Members
	// Suspended is for how long the machine was suspended so far; nil if that is not known.
	Suspended func() time.Duration
	Logger    hclog.Logger
}

// New returns a manager that runs what it owns with run.
func New(store Store, c Config, run Runner) *Manager {
	m := &Manager{
		store:      store,
		logger:     c.Logger,
		run:        run,
		worked:     c.Topics,
		topics:     withPresence(c.Topics),
		partitions: c.Partitions,
		inUse:      c.InUse,
		name:       func() string { return nameOf(c) },
		address:    c.Address,
		peers:      c.Members,
		suspended:  c.Suspended,
		milliCores: c.MilliCores,
		phase:      phaseOf(c.Node),
		ttl:        max(memberTTL, c.MinTTL),
		joining:    make(chan struct{}, maxJoins),
		early:      make(chan struct{}, 1),
		held:       map[platform.Partition]*holding{},
		retiring:   map[platform.Partition]*holding{},
		superseded: map[platform.Partition]int64{},
		owners:     map[platform.Partition]peer{},
		answers:    map[string]*memberAnswer{},
	}
	if m.inUse == nil {
		m.inUse = func(platform.Partition) bool { return true }
	}
	if m.suspended == nil {
		m.suspended = func() time.Duration { return 0 }
	}
	m.member = m.name()
	return m
}

// phaseOf spreads nodes evenly from 0 to 1, by their names.
func phaseOf(node string) float64 {
	h := fnv.New32a()
	h.Write([]byte(node))
	return float64(h.Sum32()) / math.MaxUint32
}

// Run keeps the membership until ctx ends, and then gives all up.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	m.firstLook(ctx)
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { m.watch(ctx) })
	if m.peers != nil {
		duties.Go(func() { m.askMembers(ctx) })
	}
	member := false
	for ctx.Err() == nil {
		switch {
		case !m.standsBack():
			member = true
			m.restart(ctx)
			m.startJoin(ctx)
		case member:
			m.withdraw()
			member = false
		}
		select {
		case <-tick.C:
		case <-m.early:
		case <-ctx.Done():
		}
	}
	if member {
		m.release()
	}
	return ctx.Err()
}

// startJoin joins beside the caller, unless as many joins as may be are under way.
func (m *Manager) startJoin(ctx context.Context) {
	select {
	case m.joining <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-m.joining }()
		m.join(ctx)
	}()
}

// join joins once. Joins overlap: an answer that was lost would hold the next one
// up until its time-out, and by then the membership has lapsed.
func (m *Manager) join(ctx context.Context) {
	m.mu.Lock()
	member := platform.Member{Group: group, Name: m.member, Topics: m.topics, TTL: m.ttl, Generation: m.released}
	m.mu.Unlock()
	sent := m.instant()
	a, status, err := m.store.Join(ctx, member)
	if status != platform.StoreOK {
		m.logger.Debug("group can't be joined", "status", status.String(), "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredAt = time.Now()
	if member.Name != m.member || sent.at.Before(m.joined.at) || ctx.Err() != nil {
		return // a later join was answered before, or the membership began anew
	}
	m.joined = sent
	changed := a.Generation != m.generation
	m.generation = a.Generation
	m.assign(ctx, a, sent, changed)
}

// restart begins the membership anew if an owner found itself fenced: a later
// generation gives it an epoch above the one that fenced it.
func (m *Manager) restart(ctx context.Context) {
	m.mu.Lock()
	renew := m.renew
	m.renew = false
	old := m.member
	if renew {
		m.member = m.name()
		m.generation, m.released = 0, 0
	}
	m.mu.Unlock()
	if !renew {
		return
	}
	m.stopAll()
	if _, err := m.store.Leave(ctx, group, old); err != nil {
		m.logger.Debug("old membership can't be left, it lapses by itself", "member", old, "error", err)
	}
}

// Confirm asks for a join at once: a VM that has just come waits for its answer.
func (m *Manager) Confirm() {
	select {
	case m.early <- struct{}{}:
	default: // one is asked for already
	}
}

// Confirmed is when the latest join was sent that confirmed a partition to this
// process: no other has taken it over before. Zero if it isn't held.
func (m *Manager) Confirmed(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.held[p]; h != nil {
		return h.confirmed.at
	}
	return time.Time{}
}

// leaveTimeout bounds the last call of a process that stops.
const leaveTimeout = 500 * time.Millisecond

// release gives all up, so that others need not wait for the time to live.
func (m *Manager) release() {
	m.stopAll()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if status, err := m.store.Leave(ctx, group, m.member); status != platform.StoreOK {
		m.logger.Warn("group can't be left, the membership lapses by itself", "status", status.String(), "error", err)
	}
}
