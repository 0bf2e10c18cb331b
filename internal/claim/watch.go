package claim

import (
	"maps"
	"slices"
	"time"
)

// Vote is a suspect or trust record that is due on the log.
type Vote struct {
	Member  string
	Suspect bool
	Seq     uint64
	// Until is the end of the last lease that this member acked, by the suspected
	// member's wall clock. Every key that the member could grant under that ack
	// was minted before Until plus the clock allowance.
	Until time.Time
}

type trust uint8

const (
	// trusted: lease requests are acked.
	trusted trust = iota
	// suspected: a suspicion is on the log or may be.
	suspected
	// trustPending: a trust record that withdraws the suspicion was proposed and
	// not read back yet.
	trustPending
)

// peerState is what a PeerMonitor records about one peer. Durations are
// readings of the monotonic clock.
type peerState struct {
	trust       trust
	seq         uint64
	lastRequest time.Duration // when the last request of the peer arrived
	lastAnswer  time.Duration // when the last answer of the peer arrived
	ackedUntil  time.Time     // end of the last lease acked, by the peer's wall clock
}

// PeerMonitor acks the lease requests of a member's peers and votes on their
// eviction.
//
// Three rules keep an ack valid. A suspicion states the end of the last lease
// that was acked. No ack is given after a suspicion was appended. Acks resume
// only after a trust record with a higher sequence number was read back: it
// voids every copy of the suspicion, including one still in flight.
type PeerMonitor struct {
	cfg      LeaseConfig
	peers    map[string]*peerState
	lastStep time.Duration
	// ackedUntil is the end of the latest lease acked of any peer, including peers
	// that are no longer members. No lease request is acked once retired is set.
	ackedUntil time.Time
	retired    bool
}

// NewPeerMonitor returns a PeerMonitor without peers.
func NewPeerMonitor(cfg LeaseConfig) *PeerMonitor {
	return &PeerMonitor{cfg: cfg, peers: map[string]*peerState{}}
}

// SetPeers sets the other members. A new peer has PeerTimeout to make contact.
func (w *PeerMonitor) SetPeers(now Instant, names []string) {
	for _, n := range names {
		if w.peers[n] == nil {
			w.peers[n] = &peerState{lastRequest: now.Mono, lastAnswer: now.Mono}
		}
	}
	maps.DeleteFunc(w.peers, func(n string, _ *peerState) bool { return !contains(names, n) })
}

// HandleLeaseRequest records a lease request that a peer sent at the given time
// of its wall clock, and reports whether it is acked. A peer whose clock is
// ahead by more than Skew gets no ack: it would admit keys that a new owner
// must refuse for just as long after the peer's eviction.
func (w *PeerMonitor) HandleLeaseRequest(now Instant, peer string, sent time.Time) bool {
	p := w.peers[peer]
	if p == nil {
		return false
	}
	p.lastRequest = now.Mono
	if w.retired || p.trust != trusted || sent.After(now.Wall.Add(w.cfg.Skew)) {
		return false
	}
	if until := sent.Add(w.cfg.Duration); until.After(p.ackedUntil) {
		p.ackedUntil = until
	}
	if p.ackedUntil.After(w.ackedUntil) {
		w.ackedUntil = p.ackedUntil
	}
	return true
}

// Retire ends the acks permanently, for example before a planned leave. It
// returns the end of the last lease acked, by the wall clock of its holder, or
// the zero time if there was none.
func (w *PeerMonitor) Retire() time.Time {
	w.retired = true
	return w.ackedUntil
}

// RecordAnswer records that a peer answered a lease request of this member.
func (w *PeerMonitor) RecordAnswer(now Instant, peer string) {
	if p := w.peers[peer]; p != nil {
		p.lastAnswer = now.Mono
	}
}

// Step updates the state of all peers and returns the votes that are due, by
// name. It must be called several times in PeerTimeout. No vote is started
// unless logReachable is set: while the outcome of a vote is not known, this
// member may not ack, and that would last for the whole outage of the log.
//
// After a pause of this process, the silence of its peers is no evidence
// against them, so all of them count as just heard.
func (w *PeerMonitor) Step(now Instant, logReachable bool) []Vote {
	paused := now.Mono-w.lastStep > w.cfg.PeerTimeout/2
	w.lastStep = now.Mono
	var votes []Vote
	for _, name := range slices.Sorted(maps.Keys(w.peers)) {
		p := w.peers[name]
		if paused {
			p.lastRequest, p.lastAnswer = now.Mono, now.Mono
		}
		if w.advance(now, p, logReachable) {
			p.seq++
			votes = append(votes, Vote{Member: name, Suspect: p.trust == suspected, Seq: p.seq, Until: p.ackedUntil})
		}
	}
	return votes
}

// advance moves one peer to its next trust state and reports whether a vote is
// due.
func (w *PeerMonitor) advance(now Instant, p *peerState, logReachable bool) bool {
	silent := now.Mono-min(p.lastRequest, p.lastAnswer) > w.cfg.PeerTimeout
	switch p.trust {
	case trusted:
		if silent && logReachable {
			p.trust = suspected
			return true
		}
	case suspected:
		if !silent && logReachable {
			p.trust = trustPending
			return true
		}
	case trustPending:
		if silent && logReachable {
			p.trust = suspected
			return true
		}
	}
	return false
}

// ConfirmTrust records that a trust vote was read back as effective. Acks to
// the peer then resume.
func (w *PeerMonitor) ConfirmTrust(v Vote) {
	p := w.peers[v.Member]
	if p != nil && !v.Suspect && p.trust == trustPending && p.seq == v.Seq {
		p.trust = trusted
	}
}

// Distrusts reports whether this member does not trust the peer.
func (w *PeerMonitor) Distrusts(peer string) bool {
	p := w.peers[peer]
	return p != nil && p.trust != trusted
}

// Suspects returns the peers that this member does not trust, by name.
func (w *PeerMonitor) Suspects() []string {
	var names []string
	for n, p := range w.peers {
		if p.trust != trusted {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}
