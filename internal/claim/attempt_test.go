package claim

import "time"

// drive takes the next step of one attempt, as entrypeer.Node does.
func (n *simNode) drive(a *simAttempt) {
	switch {
	case a.report != nil:
		n.deliverReport(a)
	case a.phase == asking && n.w.now >= a.giveUpTick:
		n.giveUp(a, ReasonUnreachable)
	case a.phase == asking && n.w.now >= a.nextCallTick:
		n.ask(a)
	case a.phase == granted && n.w.now >= a.runTick:
		n.run(a)
	}
}

func (n *simNode) ask(a *simAttempt) {
	a.call++
	a.nextCallTick = n.w.now + 3
	call := a.call
	req := Request{Key: a.key.key, First: a.first}
	until := n.clock().Wall.Add(5 * time.Second)
	owner := n.owner.OwnerOf(a.key.key)
	if owner == n.name {
		n.handleReply(a, n.claim(req, a.id, until))
		return
	}
	p := n.peer(owner)
	if p == nil {
		return
	}
	a.mayBeGranted = true
	n.w.send(n, p, func() {
		if p.owner == nil {
			return
		}
		r := p.claim(req, a.id, until)
		n.w.send(p, n, func() {
			if a.phase == asking && a.call == call {
				n.handleReply(a, r)
			}
		})
	})
}

// claim lets the node decide on an attempt as the owner of its key.
func (n *simNode) claim(req Request, a Attempt, until time.Time) Reply {
	if n.w.missing == noAhead {
		n.owner.cfg.Ahead = time.Hour
		defer func() { n.owner.cfg.Ahead = modelClaim.Ahead }()
	}
	return n.owner.Claim(n.clock(), req, a, until)
}

func (n *simNode) handleReply(a *simAttempt, r Reply) {
	switch r.Code {
	case CodeGranted:
		a.phase = granted
		a.runTick = n.w.now + n.w.rng.IntN(15)
		n.w.grants++
	case CodeRan:
		if a.key.runs != 1 {
			n.w.fail("%s: the caller got ran after %d runs", a.key.key, a.key.runs)
		}
		n.end(a)
	case CodeNotRun:
		n.w.toldNotRun(a, r.Reason)
		n.end(a)
	case CodeUnknown:
		n.giveUp(a, r.Reason)
	}
}

// giveUp answers "not-run" if the caller asserted that this is its first
// attempt, and "unknown" otherwise.
func (n *simNode) giveUp(a *simAttempt, why Reason) {
	if a.first && why != ReasonHolderLost && why != ReasonEndUnknown {
		n.w.toldNotRun(a, why)
	} else {
		n.w.unknowns++
	}
	n.end(a)
}

// end ends an attempt without a grant. If a claim may have been granted in a
// reply that was lost, it is released.
func (n *simNode) end(a *simAttempt) {
	a.phase = ended
	if a.mayBeGranted {
		a.report = &Result{Key: a.key.key, Attempt: a.id, End: EndNotRun}
		a.nextCallTick = n.w.now
	}
}

func (n *simNode) run(a *simAttempt) {
	a.phase = ended
	res := &Result{Key: a.key.key, Attempt: a.id, End: EndRan}
	switch {
	case n.w.chance(0.1):
		res.End = EndNotRun // refused by the backend server
		n.w.toldNotRun(a, "refused")
	case n.w.chance(0.1):
		res.End = EndUnknown // the reply was lost
		n.w.backendRun(a)
	default:
		n.w.backendRun(a)
	}
	a.report = res
	a.nextCallTick = n.w.now
}

func (n *simNode) deliverReport(a *simAttempt) {
	if n.w.now < a.nextCallTick {
		return
	}
	a.nextCallTick = n.w.now + 3
	if a.reportCalls++; a.reportCalls > 50 {
		a.report = nil
		return
	}
	res := *a.report
	owner := n.owner.OwnerOf(res.Key)
	if owner == n.name {
		if n.owner.Report(n.clock(), res) {
			a.report = nil
		}
		return
	}
	if p := n.peer(owner); p != nil {
		n.w.send(n, p, func() {
			if p.owner == nil || !p.owner.Report(p.clock(), res) {
				return
			}
			n.w.send(p, n, func() { a.report = nil })
		})
	}
}
