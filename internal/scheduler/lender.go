package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// LoanReply answers a request that was passed to HandleLoanRequest with the same ID.
type LoanReply struct {
	ID       int64
	Response *workload.LoanResponse // nil if the request is refused
}

// pendingLoanReply is a reply that waits until the loans that it states are stored.
type pendingLoanReply struct {
	reply      LoanReply
	afterWrite int64 // sequence of the write
}

// RestoreLoans applies the stored loans of a workspace.
func (c *Core) RestoreLoans(loans *workload.Loans) {
	a := c.accountOf(loans.Workspace)
	clear(a.lent)
	maps.Copy(a.lent, loans.Lent)
	a.settledCap = loans.SettledCap
	c.applyCap(a)
}

// HandleLoanRequest handles a request of the owner of another partition. The reply with the same id
// follows in the orders of a later step.
func (c *Core) HandleLoanRequest(id int64, req workload.LoanRequest, now time.Time) {
	p := c.counterparty(req.Borrower)
	isOvertaken := req.BorrowerEpoch < p.borrowerEpoch || req.BorrowerEpoch == p.borrowerEpoch && req.Sequence <= p.borrowerSequence
	if isOvertaken || c.mayHaveAnyUnknownRuns(now) || now.Before(c.settings.AllowancesFrom) {
		c.orders.LoanReplies = append(c.orders.LoanReplies, LoanReply{ID: id})
		return
	}
	isNewBorrower := req.BorrowerEpoch > p.borrowerEpoch
	p.borrowerEpoch, p.borrowerSequence = req.BorrowerEpoch, req.Sequence
	p.configVersion, p.uncovered = req.ConfigVersion, req.Uncovered
	switch {
	case isNewBorrower:
		p.mustReport = true // a new owner may have recorded more than is held here
	case req.LenderEpoch == c.settings.Epoch:
		c.takeBackLoans(req)
		c.grantLoans(req, now)
	}
	c.pendingLoanReplies = append(c.pendingLoanReplies, pendingLoanReply{
		reply:      LoanReply{ID: id, Response: &workload.LoanResponse{LenderEpoch: c.settings.Epoch, Lent: c.lentTo(req.Borrower)}},
		afterWrite: c.loansStoredAfterWrite(),
	})
	c.planStale = true
}

// takeBackLoans reduces the loans to what the borrower still holds.
func (c *Core) takeBackLoans(req workload.LoanRequest) {
	for _, a := range c.accounts {
		held, lent := req.Held[a.name], a.lent[req.Borrower]
		if held == lent {
			continue
		}
		a.lent[req.Borrower] = held
		if held == (workload.Resources{}) {
			delete(a.lent, req.Borrower)
		}
		c.dirtyLoans[a.name] = a
	}
}

// grantLoans lends what the borrower wants as far as it is unused here. What this partition has
// borrowed from the borrower itself is given back instead, also if it must end runs first.
func (c *Core) grantLoans(req workload.LoanRequest, now time.Time) {
	var granted []string
	for name, wanted := range req.Wanted {
		a := c.accountOf(name)
		wanted = wanted.AtLeastZero()
		keepsAll := a.blockedByOverCap && c.settings.Partition < req.Borrower
		if owed := wanted.Min(a.borrowed[req.Borrower]); owed != (workload.Resources{}) && !keepsAll {
			a.recalls[req.Borrower] = recall{amount: owed, until: now.Add(recallTimeout)}
			c.giveBackRecalled(a, now)
			wanted = wanted.Sub(owed)
		}
		grant := wanted.Min(a.lendable(req, c.settings.Partition))
		if grant == (workload.Resources{}) {
			continue
		}
		a.lent[req.Borrower] = a.lent[req.Borrower].Add(grant)
		c.dirtyLoans[name] = a
		c.loansGrown = true
		c.Counts.LoansGranted++
		granted = append(granted, name+" "+grant.String())
	}
	if len(granted) > 0 {
		slices.Sort(granted)
		c.recordDecision(Decision{Verb: "lent", Reason: fmt.Sprintf("to partition %d: %s", req.Borrower, strings.Join(granted, ", "))})
	}
}

// lendable returns how much a borrower may get of what runs don't use here. It gets what its runs
// exceed its allowance by before tasks start here. Of the partitions that need the whole cap for a
// task, the one with the lowest number gets it first.
func (a *account) lendable(req workload.LoanRequest, self int) workload.Resources {
	unused := a.usableAllowance().Sub(a.reserved).AtLeastZero()
	if slices.Contains(req.NeedsWholeCap, a.name) && (!a.blockedByOverCap || req.Borrower < self) {
		return unused
	}
	return a.surplus().Max(unused.Min(req.Uncovered[a.name]))
}

// lentTo returns the loans to a partition.
func (c *Core) lentTo(partition int) workload.AmountsByWorkspace {
	lent := workload.AmountsByWorkspace{}
	for _, a := range c.accounts {
		if amount, ok := a.lent[partition]; ok {
			lent[a.name] = amount
		}
	}
	return lent
}

// loansStoredAfterWrite returns the sequence of the write after which all loans are stored.
func (c *Core) loansStoredAfterWrite() int64 {
	switch {
	case c.loansGrown:
		return c.lastWriteSeq + 1
	case c.loansInWrite > c.storedWriteSeq:
		return c.loansInWrite
	}
	return 0
}

// loanRecords returns the records of the loans that have changed, for the write with the given
// sequence.
func (c *Core) loanRecords(sequence int64) []workload.Record {
	var records []workload.Record
	for _, name := range slices.Sorted(maps.Keys(c.dirtyLoans)) {
		a := c.dirtyLoans[name]
		records = append(records, workload.Record{Loans: &workload.Loans{Workspace: name, Lent: maps.Clone(a.lent), SettledCap: a.settledCap}})
	}
	if c.loansGrown {
		c.loansInWrite = sequence
		c.loansGrown = false
	}
	clear(c.dirtyLoans)
	c.settledCapsUnstored = false
	return records
}

// sendLoanReplies orders the replies whose loans are stored.
func (c *Core) sendLoanReplies() {
	c.pendingLoanReplies = slices.DeleteFunc(c.pendingLoanReplies, func(p pendingLoanReply) bool {
		if p.afterWrite > c.storedWriteSeq {
			return false
		}
		c.orders.LoanReplies = append(c.orders.LoanReplies, p.reply)
		return true
	})
}
