package node

import (
	"context"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// requestLoan sends a loan request to the owner of a partition, once. An answer after the call has
// timed out is dropped, as the borrower requires.
func (o *ownerDirectory) requestLoan(ctx context.Context, lender int, req workload.LoanRequest) *workload.LoanResponse {
	response, ok := o.callOnce(ctx, nodepeer.MethodLoan, nodepeer.Request{Partition: lender, Loan: &req}, false)
	if !ok || !response.IsOwner {
		return nil
	}
	return response.Loan
}

// ServeLoan serves MethodLoan.
func (o *ownerDirectory) ServeLoan(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil || req.Loan == nil {
		return nodepeer.Response{}, nil
	}
	loan, ok := localOwner.HandleLoanRequest(ctx, *req.Loan)
	if !ok {
		return nodepeer.Response{}, nil
	}
	return nodepeer.Response{IsOwner: true, Loan: &loan}, nil
}
