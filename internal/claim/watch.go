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
	// Until is when the last lease that was acked runs out, by the member's own
	// wall clock. Every key that the member could grant under that ack was
	// minted before Until plus the allowance.
	Until time.Time
}

type trust uint8

const (
	// trusted: acks are given.
	trusted trust = iota
	// suspected: a suspicion is on the log or may be.
	suspected
	// trustPending: a record that takes the suspicion back is on its way.
	trustPending
)

// peerState is one peer as the Watch sees it. Times are of the monotonic clock.
type peerState struct {
	trust       trust
	seq         uint64
	lastRequest time.Duration // last request from the peer
	lastAnswer  time.Duration // last answer from the peer
	ackedUntil  time.Time     // end of the last lease acked, by the peer's wall clock
}

// PeerMonitor is a member's part in the leases and the eviction of its peers.
//
// The meaning of an ack is kept by three rules. A suspicion says until when the
// last lease runs that was acked. No ack is given once a suspicion was appended.
// And acks are given again only after a trust record with a higher sequence
// number was read back, which makes every copy of the suspicion void, also one
// still under way.
type PeerMonitor struct {
	cfg      LeaseConfig
	peers    map[string]*peerState
	lastStep time.Duration
	// ackedUntil is the end of the latest lease acked of all peers, those that are
	// gone included. No ack is given once retired is set.
	ackedUntil time.Time
	retired    bool
}

// NewPeerMonitor returns a Watch without peers.
func NewPeerMonitor(cfg LeaseConfig) *PeerMonitor {
	return &PeerMonitor{cfg: cfg, peers: map[string]*peerState{}}
}

// SetPeers takes the other members. A new one has Silence to be heard of.
func (w *PeerMonitor) SetPeers(now Instant, names []string) {
	for _, n := range names {
		if w.peers[n] == nil {
			w.peers[n] = &peerState{lastRequest: now.Mono, lastAnswer: now.Mono}
		}
	}
	maps.DeleteFunc(w.peers, func(n string, _ *peerState) bool { return !contains(names, n) })
}

// HandleLeaseRequest notes a lease request that a peer sent at the given time of its wall
// clock, and returns whether it is acked. A peer whose clock is ahead gets no
// ack: it would admit keys that a new owner must refuse for as long after its
// eviction.
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

// Retire ends the acks for good, as before a planned leave, and returns when the
// last of the leases runs out that were acked, by their holders' wall clocks;
// zero when there were none.
func (w *PeerMonitor) Retire() time.Time {
	w.retired = true
	return w.ackedUntil
}

// RecordAnswer notes that a peer answered a lease request of this member.
func (w *PeerMonitor) RecordAnswer(now Instant, peer string) {
	if p := w.peers[peer]; p != nil {
		p.lastAnswer = now.Mono
	}
}

// Step moves on and returns the votes that are due, by name. It must be called
// several times in Silence. logUp says that the log can be written: without it
// no vote is begun, since one whose outcome stays open would keep this member
// from giving acks for as long as the log is out.
//
// After a pause of this process nothing was heard for as long, which is no
// evidence against the peers.
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

// advance returns whether a vote is due.
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

// ConfirmTrust notes that a trust vote was read back as effective.
func (w *PeerMonitor) ConfirmTrust(v Vote) {
	p := w.peers[v.Member]
	if p != nil && !v.Suspect && p.trust == trustPending && p.seq == v.Seq {
		p.trust = trusted
	}
}

// Distrusts reports whether the peer has not this member's trust.
func (w *PeerMonitor) Distrusts(peer string) bool {
	p := w.peers[peer]
	return p != nil && p.trust != trusted
}

// Suspects returns the peers without this member's trust, by name.
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
