package entrypeer

import (
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// started is the origin of the monotonic clock of this process.
var started = time.Now()

// Now returns a reading of both clocks.
func Now() claim.Instant {
	t := time.Now()
	return claim.Instant{Wall: t.Round(0), Mono: t.Sub(started)}
}

// Member is one membership of this process, from its join to its removal. It
// guards the types of internal/claim by one lock, so that each claim is decided
// on one consistent state of lease, membership and records.
type Member struct {
	name string

	mu            sync.Mutex
	owner         *claim.Owner
	lease         *claim.Lease
	monitor       *claim.PeerMonitor
	clockCheck    *claim.ClockCheck
	addresses     map[string]string // of members and of recently removed ones
	waiters       waiters
	pulledOffsets map[string]uint64 // highest offset for which each peer has pulled
}

// MemberConfig holds the settings of a Member.
type MemberConfig struct {
	Name  string
	Claim claim.Config
	Lease claim.LeaseConfig
}

// NewMember returns a Member that owns no key before Join.
func NewMember(cfg MemberConfig) *Member {
	m := &Member{
		name:          cfg.Name,
		lease:         claim.NewLease(cfg.Lease, cfg.Name),
		monitor:       claim.NewPeerMonitor(cfg.Lease),
		clockCheck:    claim.NewClockCheck(cfg.Claim.Skew, cfg.Lease.PeerTimeout),
		addresses:     map[string]string{},
		waiters:       newWaiters(),
		pulledOffsets: map[string]uint64{},
	}
	m.owner = claim.NewOwner(cfg.Claim, cfg.Name, memberAuthority{m})
	return m
}

// memberAuthority is the member's right to grant: a valid lease, and a clock
// with which the peers agree.
type memberAuthority struct{ m *Member }

// Valid implements claim.Authority. It must be called with the mutex of the
// Member held.
func (r memberAuthority) Valid(now claim.Instant) bool {
	return r.m.lease.Valid(now) && r.m.clockCheck.Agrees(now)
}

// Name returns the name of the member.
func (m *Member) Name() string { return m.name }

// Join makes this process a member by the given change. before are the members
// before the change.
func (m *Member) Join(before []ledger.MemberRef, change ledger.MemberChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordAddresses(before)
	m.recordAddresses(change.Joined)
	m.owner.Join(Now(), names(before), claimChange(change))
	m.updatePeers()
}

// Apply applies a change of the membership.
func (m *Member) Apply(change ledger.MemberChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordAddresses(change.Joined)
	m.recordAddresses(change.Removed)
	m.owner.Apply(Now(), claimChange(change))
	m.updatePeers()
	m.waiters.wakeAll()
}

func (m *Member) recordAddresses(refs []ledger.MemberRef) {
	for _, r := range refs {
		m.addresses[r.Name] = r.Address
	}
}

// updatePeers sets the other members as the peers to monitor.
func (m *Member) updatePeers() {
	members, _ := m.owner.Members()
	var peers []string
	for _, n := range members {
		if n != m.name {
			peers = append(peers, n)
		}
	}
	m.monitor.SetPeers(Now(), peers)
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

// RequiredAddresses returns the addresses of the members and of the sources of
// pending handovers, and forgets all others.
func (m *Member) RequiredAddresses() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	members, _ := m.owner.Members()
	for _, d := range m.owner.PendingHandovers() {
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

// Address returns the address of a member or of a recently removed one.
func (m *Member) Address(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses[name]
}

// Members returns the members and the offset of the latest change applied.
func (m *Member) Members() ([]string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Members()
}

// Valid reports whether the member may grant claims now.
func (m *Member) Valid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return memberAuthority{m}.Valid(Now())
}

// RefusesFreshKeys reports whether the member must answer "unknown" for every
// key minted now.
func (m *Member) RefusesFreshKeys() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.RefusesFreshKeys(Now())
}

// Retire makes the member stop granting and acking permanently, for example
// before a planned leave. It returns the end of the last lease that it acked.
func (m *Member) Retire() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.Retire()
	return m.monitor.Retire()
}

// Step abandons overdue handovers of removed members and updates the trust in
// the peers. It returns the votes that are due.
func (m *Member) Step(logReachable bool) []claim.Vote {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := Now()
	m.owner.AbandonOverdueHandovers(now)
	return m.monitor.Step(now, logReachable)
}

// ConfirmTrust records that a trust vote was read back as effective.
func (m *Member) ConfirmTrust(v claim.Vote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.monitor.ConfirmTrust(v)
}

// SetElectorate sets the electorate from the folded state.
func (m *Member) SetElectorate(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.SetElectorate(names)
}

// ProposeElectorate must be called before a refresh record with the electorate
// is appended.
func (m *Member) ProposeElectorate(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.ProposeElectorate(names)
}

// ConfirmElectorate sets the electorate from the folded state after a refresh
// record was read back.
func (m *Member) ConfirmElectorate(folded []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.SetElectorate(folded)
	m.lease.ConfirmElectorate()
}

// PendingHandovers returns the handovers that the member awaits.
func (m *Member) PendingHandovers() []claim.PendingHandover {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.PendingHandovers()
}

// pullRequestFor returns the pull request for a pending handover.
func (m *Member) pullRequestFor(d claim.PendingHandover) (claim.PullRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.PullRequestFor(d)
}

// ApplyHandover takes over the state that was pulled for a pending handover.
func (m *Member) ApplyHandover(d claim.PendingHandover, h claim.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.ApplyHandover(d, h)
	m.waiters.wakeAll()
}

// handlePull answers a pull request of a peer.
func (m *Member) handlePull(req claim.PullRequest) (claim.Handover, claim.PullStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Pull(req)
}

// recordHandover records that a peer received a complete handover.
func (m *Member) recordHandover(offset uint64, puller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pulledOffsets[puller] = max(m.pulledOffsets[puller], offset)
}

// MembersYetToPull returns the members that have not pulled for the change at
// offset.
func (m *Member) MembersYetToPull(offset uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	members, _ := m.owner.Members()
	var list []string
	for _, n := range members {
		if n != m.name && m.pulledOffsets[n] < offset {
			list = append(list, n)
		}
	}
	return list
}

// handleLeaseRequest reports whether a lease request of a peer is acked.
func (m *Member) handleLeaseRequest(peer string, clock time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.HandleLeaseRequest(Now(), peer, clock)
}

// handleLeaseReply records a peer's reply to a lease request.
func (m *Member) handleLeaseReply(peer string, acked bool, clock time.Time, sent claim.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := Now()
	m.monitor.RecordAnswer(now, peer)
	m.clockCheck.Observe(peer, clock, sent, now)
	if acked {
		m.lease.RecordAck(peer, sent)
	}
}

// Stats holds figures of a Member for metrics.
type Stats struct {
	Records          int
	InProgress       int
	PendingHandovers int
	Floors           int
	Suspects         int
}

// Stats returns the current figures.
func (m *Member) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	records, running := m.owner.Counts()
	return Stats{
		Records:          records,
		InProgress:       running,
		PendingHandovers: len(m.owner.PendingHandovers()),
		Floors:           m.owner.Floors(),
		Suspects:         len(m.monitor.Suspects()),
	}
}

// distrusts reports whether this member does not trust the peer. Calls to it
// would then be pointless.
func (m *Member) distrusts(peer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.Distrusts(peer)
}

// route returns the owner of the key and its address.
func (m *Member) route(k claim.Key) (owner, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner = m.owner.OwnerOf(k)
	return owner, m.addresses[owner]
}
