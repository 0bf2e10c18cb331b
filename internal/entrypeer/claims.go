package entrypeer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
)

// Pauses between two calls for a claim that its owner cannot grant yet.
const (
	retryMin = 10 * time.Millisecond
	retryMax = 80 * time.Millisecond
	// awaitMax limits one wait at a remote owner, so that the loss of the owner is
	// noticed.
	awaitMax = 2 * time.Second
)

// ownerUnreachable stands for the reply of an owner that did not answer.
var ownerUnreachable = claim.Reply{Code: claim.CodeNoLease, Reason: claim.ReasonUnreachable}

// Claim implements Claimer.
func (n *Node) Claim(ctx context.Context, req claim.Request) claim.Decision {
	m := n.current()
	if m == nil {
		return decide(req, claim.Attempt{}, ownerUnreachable)
	}
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(maxRun)
	}
	t := &claimCall{
		node:       n,
		req:        req,
		attempt:    claim.Attempt{Holder: m.Name(), ID: ulid.Make()},
		until:      until.Add(reportSlack),
		retryUntil: time.Now().Add(n.cfg.ClaimRetryTimeout),
	}
	reply := t.run(ctx, m)
	if reply.Code != claim.CodeGranted && t.mayBeGranted {
		n.Report(claim.Result{Key: req.Key, Attempt: t.attempt, End: claim.EndNotRun})
	}
	return decide(req, t.attempt, reply)
}

// claimCall obtains the final reply for one attempt. All calls carry the same
// attempt ID: an owner that granted the claim in a reply that was lost grants
// it again, and no second claim remains.
type claimCall struct {
	node       *Node
	req        claim.Request
	attempt    claim.Attempt
	until      time.Time
	retryUntil time.Time
	// mayBeGranted is set once a call got no answer. Its claim may have been
	// granted and must be released if the attempt ends without a grant.
	mayBeGranted bool
}

func (t *claimCall) run(ctx context.Context, m *Member) claim.Reply {
	pause := retryMin
	for {
		owner, address := m.route(t.req.Key)
		reply := t.ask(ctx, m, owner, address)
		switch reply.Code {
		case claim.CodeInProgress:
			if ctx.Err() != nil || !t.await(ctx, m, owner, address) {
				return reply
			}
			continue
		case claim.CodeNotOwner, claim.CodeMoving, claim.CodeNoLease:
			if ctx.Err() != nil || !time.Now().Before(t.retryUntil) || m.distrusts(owner) {
				return reply
			}
		default:
			return reply
		}
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, retryMax)
	}
}

// ask sends the claim to the owner once.
func (t *claimCall) ask(ctx context.Context, m *Member, owner, address string) claim.Reply {
	if owner == m.Name() {
		return m.claim(t.req, t.attempt, t.until)
	}
	reply, err := t.call(ctx, owner, address)
	if err != nil {
		t.mayBeGranted = true
		t.node.cfg.Logger.Debug("the owner of a key does not answer", "owner", owner, "error", err)
		return ownerUnreachable
	}
	return reply
}

func (t *claimCall) call(ctx context.Context, owner, address string) (claim.Reply, error) {
	c, err := t.node.conns.client(address)
	if err != nil {
		return claim.Reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.node.cfg.CallTimeout)
	defer cancel()
	r, err := c.Claim(ctx, &pb.ClaimRequest{
		Owner:       owner,
		Key:         keyProto(t.req.Key),
		Attempt:     attemptProto(t.attempt),
		Fingerprint: t.req.Fingerprint,
		Until:       timeProto(t.until),
	})
	if err != nil {
		return claim.Reply{}, err
	}
	if r.GetCode() > uint32(claim.CodeNoLease) {
		return claim.Reply{}, errors.Wrapf(errMalformed, "code %d", r.GetCode())
	}
	return claim.Reply{
		Code:   claim.Code(r.GetCode()),
		Reason: claim.Reason(r.GetReason()),
		Answer: answerOf(r.GetAnswer()),
		Offset: r.GetOffset(),
	}, nil
}

// await waits at the owner until another attempt ends. It returns false if too
// many attempts wait there already.
func (t *claimCall) await(ctx context.Context, m *Member, owner, address string) bool {
	if owner == m.Name() {
		return m.await(ctx, t.req.Key, t.attempt)
	}
	c, err := t.node.conns.client(address)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, awaitMax)
	defer cancel()
	r, err := c.Await(ctx, &pb.AwaitRequest{
		Owner:   owner,
		Key:     keyProto(t.req.Key),
		Attempt: attemptProto(t.attempt),
	})
	if err != nil {
		sleep(ctx, retryMin)
		return true
	}
	return !r.GetFull()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
