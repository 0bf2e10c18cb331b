package owner

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// loanReplies are the channels of the loan requests that wait for the core's reply, by the ID that
// was passed to the core. They are used by the goroutine that steps the core only.
type loanReplies struct {
	lastID  int64
	waiting map[int64]chan<- *workload.LoanResponse
}

// requestLoan sends a request to the owner of another partition.
func (o *Owner) requestLoan(ctx context.Context, order scheduler.LoanOrder) {
	response := o.deps.RequestLoan(ctx, order.Lender, order.Request)
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { c.HandleLoanResponse(order, response, now) })
}

// HandleLoanRequest handles a request of the owner of another partition. ok is false if this owner
// can't answer it, and it may be sent again.
func (o *Owner) HandleLoanRequest(ctx context.Context, req workload.LoanRequest) (response workload.LoanResponse, ok bool) {
	select {
	case <-o.loaded:
	default:
		return workload.LoanResponse{}, false
	}
	replies := make(chan *workload.LoanResponse, 1)
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) {
		o.loanReplies.lastID++
		o.loanReplies.waiting[o.loanReplies.lastID] = replies
		c.HandleLoanRequest(o.loanReplies.lastID, req, now)
	})
	select {
	case r := <-replies:
		if r == nil {
			return workload.LoanResponse{}, false
		}
		return *r, true
	case <-ctx.Done():
		return workload.LoanResponse{}, false
	}
}

// answerLoan passes a reply of the core to its request.
func (o *Owner) answerLoan(r scheduler.LoanReply) {
	o.loanReplies.waiting[r.ID] <- r.Response
	delete(o.loanReplies.waiting, r.ID)
}

// restoreLoans passes the stored loans of earlier owners to the core.
func restoreLoans(core *scheduler.Core, records []workload.Record) {
	for _, r := range records {
		if r.Loans != nil {
			core.RestoreLoans(r.Loans)
		}
	}
}

// allowancesFrom returns when an owner may begin to use the partition's shares of workspaces' caps.
// The first owner of a partition waits until the configuration with its service is in force at the
// owners of the others, which use larger shares until then.
func (o *Owner) allowancesFrom(lastTakeover *workload.Takeover, now time.Time) time.Time {
	if lastTakeover != nil {
		return time.Time{}
	}
	return now.Add(o.deps.Bounds.MaxConfigApplyTime)
}
