package claim

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// simNode is one entry process of the model. Like internal/membership it feeds
// the package's types from the folded log and from messages.
type simNode struct {
	w       *world
	name    string
	address string
	alive   bool
	// paused: the process does not run, but its clocks advance. suspended: its
	// clocks stop, too.
	paused, suspended bool
	skew              time.Duration
	lagMono, lagWall  time.Duration
	cut               map[*simNode]bool
	logCut            bool

	state            *ledger.State
	reading          bool
	readDue          int
	readTo           int
	joinID           string
	owner            *Owner
	lease            *Lease
	monitor          *PeerMonitor
	removedOrLeaving bool
	refreshID        string
	trustVotes       map[string]Vote // proposed trust votes by record ID
	attempts         []*simAttempt
	nextPullTick     map[PendingHandover]int
	rejoinTick       int
}

func (n *simNode) running() bool { return n.alive && !n.paused && !n.suspended }

func (n *simNode) cutFrom(o *simNode) bool { return n.cut[o] || o.cut[n] }

func (n *simNode) tickClock() {
	if n.suspended {
		n.lagMono += tick
		n.lagWall += tick
	}
}

func (n *simNode) clock() Instant {
	t := time.Duration(n.w.now) * tick
	return Instant{Wall: epoch.Add(t + n.skew - n.lagWall), Mono: t - n.lagMono}
}

// Valid implements Authority, without the safeguard that is missing.
func (n *simNode) Valid(now Instant) bool {
	switch n.w.missing {
	case noLease:
		return true
	case noWallClock:
		now.Wall = epoch.Add(-time.Hour)
	}
	return n.lease.Valid(now)
}

func (n *simNode) step() {
	n.read()
	if n.owner == nil {
		if n.joinID == "" && n.state.Offset == uint64(len(n.w.log)) && !n.w.logDown && !n.logCut {
			n.joinID = n.w.propose(n, n.name, record.MemberJoin{
				Node:      n.name,
				Address:   n.address,
				AcksUntil: n.clock().Wall.Add(modelLease.Duration + 2*modelLease.Skew),
			})
		}
		return
	}
	now := n.clock()
	n.owner.AbandonOverdueHandovers(now)
	switch n.w.missing {
	case noFloor:
		n.owner.floors = nil
	case noAskAll:
		n.owner.pending = slices.DeleteFunc(n.owner.pending, func(d pendingHandover) bool { return d.Lost != "" })
	case lowFloor:
		for i := range n.owner.floors {
			n.owner.floors[i].Until = n.owner.floors[i].Until.Add(-modelLease.Duration - modelClaim.Ahead - modelClaim.Skew)
		}
	}
	for _, a := range n.attempts {
		n.drive(a)
	}
	n.attempts = slices.DeleteFunc(n.attempts, func(a *simAttempt) bool { return a.phase == ended && a.report == nil })
	n.pull()
	if n.removedOrLeaving {
		return
	}
	for _, v := range n.monitor.Step(now, !n.w.logDown && !n.logCut) {
		var body record.Body = record.MemberTrust{By: n.name, Seq: v.Seq}
		if v.Suspect {
			body = record.MemberSuspect{By: n.name, Seq: v.Seq, Until: v.Until}
		}
		n.trustVotes[n.w.propose(n, v.Member, body)] = v
		if n.w.missing == hastyTrust {
			n.monitor.ConfirmTrust(v)
		}
	}
	if n.w.now%2 == 0 {
		n.renew()
	}
	n.refresh()
}

// read follows the log with one read in flight at a time. A reply holds the log
// as of the time the read was sent, however late the node applies it.
func (n *simNode) read() {
	if !n.reading {
		if n.w.logDown || n.logCut {
			return
		}
		n.reading, n.readTo, n.readDue = true, len(n.w.log), n.w.now+n.w.rng.IntN(3)
		return
	}
	if n.readDue > n.w.now {
		return
	}
	n.reading = false
	before, changed := n.members(), false
	var last Change
	for int(n.state.Offset) < n.readTo {
		members := n.members()
		out := n.state.Apply(n.state.Offset+1, n.w.log[n.state.Offset])
		if v, ok := n.trustVotes[out.ID]; ok && out.Status == ledger.Effective {
			n.monitor.ConfirmTrust(v)
		}
		if c, ok := n.change(out.Offset); ok {
			changed, last = true, c
			if n.w.missing != jumpedChanges || n.owner == nil {
				n.apply(members, c)
				before = n.members()
			}
		}
		if m := n.state.Members[n.name]; m != nil && n.lease != nil && n.refreshID == "" {
			n.lease.SetElectorate(m.Electorate)
		}
		if out.ID == n.refreshID && n.refreshID != "" {
			n.refreshID = ""
			if m := n.state.Members[n.name]; m != nil {
				n.lease.SetElectorate(m.Electorate)
			}
			n.lease.ConfirmElectorate()
		}
	}
	if after := n.members(); n.w.missing == jumpedChanges && changed && !slices.Equal(before, after) {
		n.apply(before, Change{Offset: last.Offset, Until: last.Until, Joined: without(after, before), Removed: without(before, after)})
	}
}

func (n *simNode) members() []string { return n.state.MemberNames() }

func (n *simNode) change(offset uint64) (Change, bool) {
	all := n.state.MemberChanges
	if len(all) == 0 || all[len(all)-1].Offset != offset {
		return Change{}, false
	}
	c := all[len(all)-1]
	return Change{Offset: offset, Joined: refNames(c.Joined), Removed: refNames(c.Removed), Until: c.Until}, true
}

func refNames(refs []ledger.MemberRef) (names []string) {
	for _, r := range refs {
		names = append(names, r.Name)
	}
	return names
}

func (n *simNode) apply(before []string, c Change) {
	now := n.clock()
	switch {
	case n.owner == nil && contains(c.Joined, n.name):
		n.owner = NewOwner(modelClaim, n.name, n)
		n.lease = NewLease(modelLease, n.name)
		n.monitor = NewPeerMonitor(modelLease)
		n.trustVotes = map[string]Vote{}
		n.nextPullTick = map[PendingHandover]int{}
		n.owner.Join(now, before, c)
		if n.w.missing == noFirstFloor {
			n.owner.floors = nil
		}
	case n.owner == nil:
		return
	default:
		if contains(c.Removed, n.name) && !n.removedOrLeaving {
			n.removedOrLeaving = true
			n.rejoinTick = n.w.now + 30
		}
		n.owner.Apply(now, c)
		n.w.evictions += len(c.Removed)
	}
	n.monitor.SetPeers(now, without(n.members(), []string{n.name}))
}

func (n *simNode) peer(name string) *simNode {
	for _, o := range n.w.nodes {
		if o.name == name {
			return o
		}
	}
	return nil
}

// renew sends a lease request to all peers.
func (n *simNode) renew() {
	sent := n.clock()
	for _, name := range without(n.members(), []string{n.name}) {
		p := n.peer(name)
		n.w.send(n, p, func() {
			if p.monitor == nil || p.removedOrLeaving {
				return
			}
			acked := p.monitor.HandleLeaseRequest(p.clock(), n.name, sent.Wall)
			if n.w.missing == ackSuspected {
				acked = true
			}
			n.w.send(p, n, func() {
				n.monitor.RecordAnswer(n.clock(), p.name)
				if acked {
					n.lease.RecordAck(p.name, sent)
				}
			})
		})
	}
}

func (n *simNode) refresh() {
	m := n.state.Members[n.name]
	if m == nil || n.refreshID != "" || n.w.logDown || n.logCut || !n.w.chance(0.1) {
		return
	}
	if members := n.members(); !slices.Equal(members, m.Electorate) {
		if n.w.missing != oldElectorate {
			n.lease.ProposeElectorate(members)
		}
		n.refreshID = n.w.propose(n, n.name, record.MemberRefresh{Electorate: members})
	}
}

// pull sends a pull request for each pending handover.
func (n *simNode) pull() {
	for _, d := range n.owner.PendingHandovers() {
		if n.nextPullTick[d] > n.w.now {
			continue
		}
		n.nextPullTick[d] = n.w.now + 5
		src := n.peer(d.Source)
		req, _ := n.owner.PullRequestFor(d)
		n.w.send(n, src, func() {
			if src.owner == nil {
				return
			}
			h, status := src.handOver(req)
			n.w.send(src, n, func() {
				if status != PullDone {
					return
				}
				n.w.handovers += len(h.Records)
				if n.w.missing == noHandover {
					h.Records = nil
				}
				n.owner.ApplyHandover(d, h)
			})
		})
	}
}

func (n *simNode) handOver(req PullRequest) (Handover, PullStatus) {
	switch n.w.missing {
	case earlyPull:
		req.Offset = 0
		h, status := n.owner.Pull(req)
		if status == PullRefused { // the puller is not a member yet: hand over all records
			for _, r := range n.owner.table.records {
				h.Records = append(h.Records, *r)
			}
			status = PullDone
		}
		return h, status
	case hungryPull:
		req.RequireComplete = false
	case presentOwner:
		if req.RequireComplete {
			req.Members = n.owner.members
		}
	}
	return n.owner.Pull(req)
}

// leave starts a planned leave.
func (n *simNode) leave() {
	if n.owner != nil && !n.removedOrLeaving {
		n.owner.Retire()
		n.removedOrLeaving = true
		until := n.monitor.Retire()
		if n.w.missing == silentLeave {
			until = epoch
		}
		n.w.propose(n, n.name, record.MemberLeave{AcksUntil: until})
	}
}
