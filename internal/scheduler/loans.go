package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Loans of allowance between the owners of partitions (allowance.go).
//
// The lender is the authority on a loan. It stores a loan before it answers, so that its successors
// know it. The borrower keeps what it holds in memory, and holds at most what the lender has
// recorded:
//
//   - A loan grows at the lender before the answer, at the borrower with the answer. An answer that
//     is lost or late is never applied: the borrower's next request states that it holds less, and
//     the lender takes the difference back.
//   - A loan shrinks at the borrower first. The lender learns of it from the next request.
//   - Requests of an older borrower epoch, or overtaken by later ones, are refused. A borrower sends
//     none before all runs of earlier owners are known, and then these start nothing any more.
//   - A new lender knows the stored loans only, which may be too high. It changes none before the
//     borrower has answered to its epoch: an answer of the previous lender may still be under way,
//     and the borrower ignores it from then on.
//   - A new borrower holds nothing, while runs that it inherits may need a loan to its predecessor.
//     With the first answer of each lender it takes over as much of the recorded loan as these runs
//     need. That part was held by its predecessor, and so wasn't lent to others.
//
// What a lost owner held stays recorded as lent until its successor has asked.
const (
	// loanRetryInterval is the pause after a request whose demand was not met.
	loanRetryInterval = 50 * time.Millisecond
	// loanFailureInterval is the pause after a request without an answer.
	loanFailureInterval = 250 * time.Millisecond
	// recallTimeout is how long a request counts as a recall of what the lender wants back. The
	// lender repeats it while it lacks allowance.
	recallTimeout = 500 * time.Millisecond
	// loanUpdateInterval is the shortest pause between two updates, which examine all workspaces.
	loanUpdateInterval = 10 * time.Millisecond
	// surplusInterval is the time over which borrowed allowance must be unused to be given back.
	surplusInterval = time.Second
)

// recall is what a lender wants back.
type recall struct {
	amount workload.Resources
	until  time.Time
}

// counterparty is what an owner knows of the owner of another partition, as its lender and as its
// borrower.
type counterparty struct {
	partition int

	// As the lender.
	lenderEpoch     int64 // the highest in an answer, 0 before the first answer
	sequence        int64 // of the last request
	requestInFlight bool
	nextRequestAt   time.Time
	sent            workload.LoanRequest // the last request
	// mustReport is set if the lender records more than is held here, or must learn of this owner.
	mustReport bool

	// As the borrower.
	borrowerEpoch    int64 // the highest in a request
	borrowerSequence int64 // of the last request in that epoch
	// configVersion and uncovered are as in its last request.
	configVersion int64
	uncovered     workload.AmountsByWorkspace
}

// LoanOrder sends a request to the owner of another partition. Its outcome goes to
// HandleLoanResponse.
type LoanOrder struct {
	Lender  int
	Request workload.LoanRequest
}

// otherCapPartitions returns the partitions besides this one that share the caps.
func (c *Core) otherCapPartitions() []int {
	return slices.DeleteFunc(slices.Clone(c.capPartitions), func(p int) bool { return p == c.settings.Partition })
}

func (c *Core) counterparty(partition int) *counterparty {
	p := c.counterparties[partition]
	if p == nil {
		p = &counterparty{partition: partition}
		c.counterparties[partition] = p
	}
	return p
}

// updateLoans gives back what lenders want back or nobody uses here, and requests what is lacking.
func (c *Core) updateLoans(now time.Time) {
	if !c.hasCaps || now.Before(c.lastLoanUpdateAt.Add(loanUpdateInterval)) || c.mayHaveAnyUnknownRuns(now) {
		return
	}
	c.lastLoanUpdateAt = now
	c.applyShareGrowth(now)
	uncovered := workload.AmountsByWorkspace{}
	for _, a := range c.accounts {
		if a.isQuiet() {
			continue
		}
		c.giveBackRecalled(a, now)
		c.giveBackSurplus(a, now)
		if amount := a.uncovered(); a.isCapped && amount != (workload.Resources{}) {
			uncovered[a.name] = amount
		}
	}
	others := c.otherCapPartitions()
	if !maps.Equal(uncovered, c.reportedUncovered) || c.config.Version != c.reportedVersion {
		c.reportedUncovered, c.reportedVersion = uncovered, c.config.Version
		for _, partition := range others {
			c.counterparty(partition).mustReport = true
		}
	}
	c.settleCaps(others)
	c.requestLoans(others, now)
}

// settleCaps settles the caps that all owners have confirmed.
func (c *Core) settleCaps(others []int) {
	for _, a := range c.accounts {
		if a.settlingVersion != 0 && a.uncovered() == (workload.Resources{}) && c.isConfirmedByAll(a, others) {
			c.settleCap(a, a.cap)
		}
	}
}

// isConfirmedByAll reports whether all other owners use the configuration with the account's cap, and
// their runs are within their allowances.
func (c *Core) isConfirmedByAll(a *account, others []int) bool {
	return !slices.ContainsFunc(others, func(partition int) bool {
		p := c.counterparty(partition)
		_, isUncovered := p.uncovered[a.name]
		return p.configVersion < a.settlingVersion || isUncovered
	})
}

// giveBack returns up to amount of what an account has borrowed from a lender, and reports how much.
func (c *Core) giveBack(a *account, lender int, amount workload.Resources) workload.Resources {
	given := amount.Min(a.borrowed[lender]).AtLeastZero()
	if given == (workload.Resources{}) {
		return given
	}
	a.borrowed[lender] = a.borrowed[lender].Sub(given)
	if a.borrowed[lender] == (workload.Resources{}) {
		delete(a.borrowed, lender)
	}
	c.counterparty(lender).mustReport = true
	return given
}

// giveBackRecalled gives back what lenders have recalled as far as runs don't use it.
func (c *Core) giveBackRecalled(a *account, now time.Time) {
	for _, lender := range slices.Sorted(maps.Keys(a.recalls)) {
		r := a.recalls[lender]
		unused := a.allowance().Sub(a.reserved).AtLeastZero()
		r.amount = r.amount.Sub(c.giveBack(a, lender, r.amount.Min(unused))).Min(a.borrowed[lender])
		if r.amount == (workload.Resources{}) || !now.Before(r.until) {
			delete(a.recalls, lender)
			continue
		}
		a.recalls[lender] = r
	}
}

// giveBackSurplus gives back borrowed allowance that was unused for surplusInterval. If this owner
// were lost, it would be out of use until its successor has asked.
func (c *Core) giveBackSurplus(a *account, now time.Time) {
	if len(a.borrowed) == 0 {
		a.surplusSince = time.Time{}
		return
	}
	if a.surplusSince.IsZero() {
		a.surplusSince, a.minSurplus = now, a.surplus()
	}
	a.minSurplus = a.minSurplus.Min(a.surplus())
	if now.Sub(a.surplusSince) < surplusInterval {
		return
	}
	for _, lender := range slices.Sorted(maps.Keys(a.borrowed)) {
		a.minSurplus = a.minSurplus.Sub(c.giveBack(a, lender, a.minSurplus))
	}
	a.surplusSince = time.Time{}
}

// requestLoans sends a request to each other partition from which allowance is wanted, or which must
// learn what is held.
func (c *Core) requestLoans(others []int, now time.Time) {
	wanted := c.wantedLoans(others)
	for _, partition := range others {
		p := c.counterparty(partition)
		due := p.lenderEpoch == 0 || p.mustReport || len(wanted[partition]) > 0
		if !due || p.requestInFlight || now.Before(p.nextRequestAt) {
			continue
		}
		p.sequence++
		p.requestInFlight = true
		p.mustReport = false
		p.sent = workload.LoanRequest{
			Borrower:      c.settings.Partition,
			BorrowerEpoch: c.settings.Epoch,
			LenderEpoch:   p.lenderEpoch,
			Sequence:      p.sequence,
			Held:          c.heldFrom(partition),
			Wanted:        wanted[partition],
			NeedsWholeCap: c.needsWholeCap(),
			ConfigVersion: c.reportedVersion,
			Uncovered:     c.reportedUncovered,
		}
		c.orders.LoanRequests = append(c.orders.LoanRequests, LoanOrder{Lender: partition, Request: p.sent})
	}
}

// wantedLoans divides each account's deficit among the other partitions in equal parts. A partition that
// has borrowed from this one is asked for all of that, up to the deficit. It doesn't count toward what
// the others are asked for: the borrower may have lent it on. What is too much is given back, and the
// next request follows soon if some have less than their part.
func (c *Core) wantedLoans(others []int) map[int]workload.AmountsByWorkspace {
	wanted := map[int]workload.AmountsByWorkspace{}
	if len(others) == 0 {
		return wanted
	}
	roundUp := workload.Resources{CPU: 1, MemoryMB: 1, GPU: 1}.Times(len(others) - 1)
	want := func(partition int, a *account, amount workload.Resources) {
		if amount == (workload.Resources{}) {
			return
		}
		if wanted[partition] == nil {
			wanted[partition] = workload.AmountsByWorkspace{}
		}
		wanted[partition][a.name] = wanted[partition][a.name].Add(amount)
	}
	for _, a := range c.accounts {
		if !a.isCapped || a.isQuiet() {
			continue
		}
		deficit := a.deficit(c.obtainable(a))
		if deficit == (workload.Resources{}) {
			continue
		}
		part := deficit.Add(roundUp).DividedBy(len(others))
		for _, partition := range others {
			want(partition, a, part.Max(deficit.Min(a.lent[partition])))
		}
	}
	return wanted
}

// needsWholeCap returns the workspaces that have a task which exceeds their cap and waits.
func (c *Core) needsWholeCap() []string {
	var names []string
	for _, a := range c.accounts {
		if a.blockedByOverCap {
			names = append(names, a.name)
		}
	}
	slices.Sort(names)
	return names
}

// heldFrom returns what is borrowed from a partition.
func (c *Core) heldFrom(partition int) workload.AmountsByWorkspace {
	held := workload.AmountsByWorkspace{}
	for _, a := range c.accounts {
		if borrowed, ok := a.borrowed[partition]; ok {
			held[a.name] = borrowed
		}
	}
	return held
}

// HandleLoanResponse handles the outcome of a LoanOrder; response is nil if there was no answer or the
// lender refused the request.
func (c *Core) HandleLoanResponse(order LoanOrder, response *workload.LoanResponse, now time.Time) {
	p := c.counterparty(order.Lender)
	if order.Request.Sequence != p.sequence {
		return
	}
	p.requestInFlight = false
	if response == nil {
		p.mustReport = true
		p.nextRequestAt = now.Add(loanFailureInterval)
		return
	}
	p.nextRequestAt = now.Add(loanRetryInterval)
	switch {
	case response.LenderEpoch < p.lenderEpoch:
		p.mustReport = true // an earlier owner has answered
	case response.LenderEpoch != order.Request.LenderEpoch:
		isFirstContact := p.lenderEpoch == 0
		p.lenderEpoch = response.LenderEpoch
		p.mustReport = true
		p.nextRequestAt = now
		if isFirstContact {
			c.adoptLoans(order.Lender, response.Lent)
		}
	default:
		c.applyLoans(order, response.Lent)
	}
	c.planStale = true
}

// adoptLoans takes over as much of the loans to earlier owners of this partition as the runs need that
// they have left.
func (c *Core) adoptLoans(lender int, lent workload.AmountsByWorkspace) {
	for name, amount := range lent {
		a := c.accountOf(name)
		needed := a.reserved.Sub(a.allowance()).AtLeastZero().Min(amount)
		if needed != (workload.Resources{}) {
			a.borrowed[lender] = a.borrowed[lender].Add(needed)
		}
	}
}

// applyLoans adds what the lender has granted in answer to a request. What was given back since the
// request was sent stays given back.
func (c *Core) applyLoans(order LoanOrder, lent workload.AmountsByWorkspace) {
	var granted []string
	for name, amount := range lent {
		grant := amount.Sub(order.Request.Held[name]).AtLeastZero()
		if grant == (workload.Resources{}) {
			continue
		}
		a := c.accountOf(name)
		a.borrowed[order.Lender] = a.borrowed[order.Lender].Add(grant)
		granted = append(granted, name+" "+grant.String())
		c.Counts.LoansReceived++
	}
	if len(granted) > 0 {
		slices.Sort(granted)
		c.recordDecision(Decision{Verb: "borrowed", Reason: fmt.Sprintf("from partition %d: %s", order.Lender, strings.Join(granted, ", "))})
	}
}
