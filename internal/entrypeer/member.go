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

	mu            sync.Mutex
	owner         *claim.Owner
	lease         *claim.Lease
	monitor       *claim.PeerMonitor
	clockCheck    *claim.ClockCheck
	addresses     map[string]string // of members and of those removed lately
	waiters       waiters
	pulledOffsets map[string]uint64 // highest change that each peer pulled for
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

// memberAuthority is the member's right to grant: a lease and a clock that peers agree
// with.
type memberAuthority struct{ m *Member }

// Valid implements claim.Right. The Member's lock is held.
func (r memberAuthority) Valid(now claim.Instant) bool {
	return r.m.lease.Valid(now) && r.m.clockCheck.Agrees(now)
}

// Name returns the member's name.
func (m *Member) Name() string { return m.name }

// Join makes the process a member by the change that joined it. before are the
// members before the change.
func (m *Member) Join(before []ledger.MemberRef, change ledger.MemberChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordAddresses(before)
	m.recordAddresses(change.Joined)
	m.owner.Join(Now(), names(before), claimChange(change))
	m.updatePeers()
}

// Apply takes a change of the membership.
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

// updatePeers takes the members other than this one as peers to watch.
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

// RequiredAddresses returns the addresses that this member may still have to call: of the
// members and of those that owe it claims. It forgets all others.
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
	return memberAuthority{m}.Valid(Now())
}

// RefusesFreshKeys reports whether the member must answer "unknown" to every key that is
// minted now.
func (m *Member) RefusesFreshKeys() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.RefusesFreshKeys(Now())
}

// Retire makes the member stop granting and giving acks for good, as before a
// planned leave. It returns when the last lease runs out that it acked.
func (m *Member) Retire() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.Retire()
	return m.monitor.Retire()
}

// Step moves the watch over the peers on, and the debts to removed ones. It
// returns the votes that are due.
func (m *Member) Step(logReachable bool) []claim.Vote {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := Now()
	m.owner.AbandonOverdueHandovers(now)
	return m.monitor.Step(now, logReachable)
}

// ConfirmTrust notes that a trust vote was read back as effective.
func (m *Member) ConfirmTrust(v claim.Vote) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.monitor.ConfirmTrust(v)
}

// SetElectorate takes the electorate that was folded.
func (m *Member) SetElectorate(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.SetElectorate(names)
}

// ProposeElectorate must be called before a refresh of the electorate is appended.
func (m *Member) ProposeElectorate(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.ProposeElectorate(names)
}

// ConfirmElectorate takes the electorate after the refresh was read back.
func (m *Member) ConfirmElectorate(folded []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.SetElectorate(folded)
	m.lease.ConfirmElectorate()
}

// PendingHandovers returns the claims that the member has yet to pull.
func (m *Member) PendingHandovers() []claim.PendingHandover {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.PendingHandovers()
}

// pullRequestFor returns the request that settles a debt.
func (m *Member) pullRequestFor(d claim.PendingHandover) (claim.PullRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.PullRequestFor(d)
}

// ApplyHandover takes the handover for a debt.
func (m *Member) ApplyHandover(d claim.PendingHandover, h claim.Handover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owner.ApplyHandover(d, h)
	m.waiters.wakeAll()
}

// handlePull answers a peer's pull.
func (m *Member) handlePull(req claim.PullRequest) (claim.Handover, claim.PullStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Pull(req)
}

// recordHandover notes that a peer received a whole handover.
func (m *Member) recordHandover(offset uint64, puller string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pulledOffsets[puller] = max(m.pulledOffsets[puller], offset)
}

// MembersYetToPull returns the members that have yet to pull for the change at offset.
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

// handleLeaseRequest answers a peer's lease request.
func (m *Member) handleLeaseRequest(peer string, clock time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.monitor.HandleLeaseRequest(Now(), peer, clock)
}

// handleLeaseReply takes a peer's answer to a lease request.
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

// Stats are figures of a Member.
type Stats struct {
	Records          int
	InProgress       int
	PendingHandovers int
	Floors           int
	Suspects         int
}

// Stats returns the member's figures.
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

// distrusts reports whether this member has no trust in a peer, so that asking
// it is vain.
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
