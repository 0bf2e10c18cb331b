package entrypeer

import (
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// started is the origin of the monotonic clock of this process.
var started = time.Now()

// Now reads both clocks.
func Now() claim.Instant {
	t := time.Now()
	return claim.Instant{Wall: t.Round(0), Mono: t.Sub(started)}
}

// Member is one membership of this process: from a join until it was removed.
// It guards the pure machines of internal/claim, which share one lock so that
// each claim is decided on one state of lease, membership and records.
type Member struct {
	name string

	mu        sync.Mutex
	owner     *claim.Owner
	lease     *claim.Lease
	watch     *claim.Watch
	clocks    *claim.Clocks
	addresses map[string]string // of members and of those removed lately
	waiting   waiting
	pulled    map[string]uint64 // highest change that each peer pulled for
}

// MemberConfig is what a Member needs.
type MemberConfig struct {
	Name  string
	Claim claim.Config
	Lease claim.LeaseConfig
}

// NewMember returns a Member that owns nothing before Join.
func NewMember(cfg MemberConfig) *Member {
	m := &Member{
		name:      cfg.Name,
		lease:     claim.NewLease(cfg.Lease, cfg.Name),
		watch:     claim.NewWatch(cfg.Lease),
		clocks:    claim.NewClocks(cfg.Claim.Skew, cfg.Lease.Silence),
		addresses: map[string]string{},
		waiting:   newWaiting(),
		pulled:    map[string]uint64{},
	}
	m.owner = claim.NewOwner(cfg.Claim, cfg.Name, right{m})
	return m
}

// right is the member's right to grant: a lease and a clock that peers agree
// with.
type right struct{ m *Member }

// Valid implements claim.Right. The Member's lock is held.
func (r right) Valid(now claim.Instant) bool {
	return r.m.lease.Valid(now) && r.m.clocks.Right(now)
}

// Name returns the member's name.
func (m *Member) Name() string { return m.name }

// Join makes the process a member by the change that joined it. before are the
// members before the change.
func (m *Member) Join(before []ledger.MemberRef, change ledger.MemberChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remember(before)
	m.remember(change.Joined)
	m.owner.Join(Now(), names(before), claimChange(change))
	m.repeer()
}

// Apply takes a change of the membership.
func (m *Member) Apply(change ledger.MemberChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remember(change.Joined)
	m.remember(change.Removed)
	m.owner.Apply(Now(), claimChange(change))
	m.repeer()
	m.waiting.wakeAll()
}

func (m *Member) remember(refs []ledger.MemberRef) {
	for _, r := range refs {
		m.addresses[r.Name] = r.Address
	}
}

// repeer takes the members other than this one as peers to watch.
func (m *Member) repeer() {
	members, _ := m.owner.Members()
	var peers []string
	for _, n := range members {
		if n != m.name {
			peers = append(peers, n)
		}
	}
	m.watch.SetPeers(Now(), peers)
}

func claimChange(c ledger.MemberChange) claim.Change {
	return claim.Change{Offset: c.Offset, Joined: names(c.Joined), Removed: names(c.Removed), Until: c.Until}
}

func names(refs []ledger.MemberRef) []string {
	list := make([]string, len(refs))
	for i, r := range refs {
		list[i] = r.Name
	}
	return list
}

// Peers returns the addresses of the other members by name.
func (m *Member) Peers() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	members, _ := m.owner.Members()
	peers := map[string]string{}
	for _, n := range members {
		if n != m.name {
			peers[n] = m.addresses[n]
		}
	}
	return peers
}

// Contacts returns the addresses that this member may still have to call: of the
// members and of those that owe it claims. It forgets all others.
func (m *Member) Contacts() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	members, _ := m.owner.Members()
	for _, d := range m.owner.Debts() {
		members = append(members, d.Source)
	}
	keep := map[string]bool{}
	addresses := map[string]string{}
	for _, n := range members {
		addresses[n] = m.addresses[n]
		keep[m.addresses[n]] = true
	}
	m.addresses = addresses
	return keep
}

// Address returns where a member, or one removed lately, answers.
func (m *Member) Address(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses[name]
}

// Members returns the members and the offset of the last change, as applied.
func (m *Member) Members() ([]string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Members()
}

// Valid reports whether the member may grant claims now.
func (m *Member) Valid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return right{m}.Valid(Now())
}

// Blind reports whether the member must answer "unknown" to every key that is
// minted now.
func (m *Member) Blind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Blind(Now())
}

// Retire makes the member stop granting and giving acks for good, as before a
// planned leave. It returns when the last lease runs out that it acked.
func (m *Member) Retire() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.Retire()
	return m.watch.Retire()
}

// Step moves the watch over the peers on, and the debts to removed ones. It
// returns the votes that are due.
func (m *Member) Step(logUp bool) []claim.Vote {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := Now()
	m.owner.Lapse(now)
	return m.watch.Step(now, logUp)
}

// Settled notes that a trust vote was read back as effective.
func (m *Member) Settled(v claim.Vote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watch.Settled(v)
}

// SetElectorate takes the electorate that was folded.
func (m *Member) SetElectorate(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.SetElectorate(names)
}

// Propose must be called before a refresh of the electorate is appended.
func (m *Member) Propose(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.Propose(names)
}

// Proposed takes the electorate after the refresh was read back.
func (m *Member) Proposed(folded []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.SetElectorate(folded)
	m.lease.Proposed()
}

// Debts returns the claims that the member has yet to pull.
func (m *Member) Debts() []claim.Debt {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Debts()
}

// pullFor returns the request that settles a debt.
func (m *Member) pullFor(d claim.Debt) (claim.PullRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.PullFor(d)
}

// Settle takes the handover for a debt.
func (m *Member) Settle(d claim.Debt, h claim.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.Settle(d, h)
	m.waiting.wakeAll()
}

// pull answers a peer's pull.
func (m *Member) pull(req claim.PullRequest) (claim.Handover, claim.PullStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Pull(req)
}

// handedOver notes that a peer received a whole handover.
func (m *Member) handedOver(offset uint64, puller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pulled[puller] = max(m.pulled[puller], offset)
}

// Awaited returns the members that have yet to pull for the change at offset.
func (m *Member) Awaited(offset uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	members, _ := m.owner.Members()
	var list []string
	for _, n := range members {
		if n != m.name && m.pulled[n] < offset {
			list = append(list, n)
		}
	}
	return list
}

// leaseAsked answers a peer's lease request.
func (m *Member) leaseAsked(peer string, clock time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watch.Request(Now(), peer, clock)
}

// leaseAnswered takes a peer's answer to a lease request.
func (m *Member) leaseAnswered(peer string, acked bool, clock time.Time, sent claim.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := Now()
	m.watch.Reached(now, peer)
	m.clocks.Observe(peer, clock, sent, now)
	if acked {
		m.lease.Acked(peer, sent)
	}
}

// Stats are figures of a Member.
type Stats struct {
	Records    int
	InProgress int
	Debts      int
	Floors     int
	Suspects   int
}

// Stats returns the member's figures.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	records, running := m.owner.Counts()
	return Stats{
		Records:    records,
		InProgress: running,
		Debts:      len(m.owner.Debts()),
		Floors:     m.owner.Floors(),
		Suspects:   len(m.watch.Suspects()),
	}
}

// suspected reports whether this member has no trust in a peer, so that asking
// it is vain.
func (m *Member) suspected(peer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watch.Distrusts(peer)
}

// route returns the owner of the key and its address.
func (m *Member) route(k claim.Key) (owner, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner = m.owner.OwnerOf(k)
	return owner, m.addresses[owner]
}
