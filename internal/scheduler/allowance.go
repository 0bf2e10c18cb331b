package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// A workspace's cap bounds what its tasks reserve on all workers together, but each partition has
// an owner of its own, and owners are cut off and replaced. So the cap is divided: an owner starts a
// task only within its allowance, and the allowances of all partitions together never exceed the
// cap. Each partition has an equal share of the cap and may lend parts of it (loans.go):
//
//	allowance = share + borrowed - lent
//
// What a task reserves counts from its start order until its run is known to have ended. An owner that
// takes over counts all that earlier owners have started, or may have started where it can't see yet
// (unseen.go), before it starts anything itself.
//
// A cap that is lowered below what runs stops nothing. But the shares shrink at once, and while one
// owner's runs exceed its allowance another one's start could exceed the cap. So a cap that is new or
// lower than before has to settle: nothing starts until all owners have reported that they use the
// configuration and that their runs are within their allowances. Owners lend what they don't use
// to those whose runs exceed theirs.

// unlimited replaces a resource without a cap: more than any fleet has, and small enough to be
// added up for all partitions.
const unlimited = 1 << 40

// account is what an owner knows of one workspace: its cap, its allowance here and its use of it.
type account struct {
	name string
	// isCapped is set if the workspace has a cap. Nothing else below is used otherwise, except for
	// reserved, unseen, weight and jobAllowance.
	isCapped bool
	cap      workload.Resources // a resource without a bound is unlimited
	share    workload.Resources // of the cap, of this partition
	reserved workload.Resources // by runs that are not known to have ended
	// unseen is the most that unknown runs of earlier owners may reserve. unseenBestEffort is the part of
	// best-effort tasks that their workers don't reserve.
	unseen, unseenBestEffort workload.Resources
	weight                   float64      // of the workspace, 0 if it has none
	jobAllowance             jobAllowance // for jobs at full rank
	// settledCap is the last cap that has settled, nil if none has. While settlingVersion is not 0
	// the current cap hasn't settled; it is the configuration that lowered it.
	settledCap      *workload.Resources
	settlingVersion int64
	lent            map[int]workload.Resources // by borrowing partition
	borrowed        map[int]workload.Resources // by lending partition
	// recalls are the requests of lenders that want back what this partition has borrowed, by
	// lender.
	recalls map[int]recall
	// blocked is the demand of the tasks that the last plan left idle for want of allowance.
	// blockedByOverCap is set if one of them exceeds the cap by itself.
	blocked          workload.Resources
	blockedByOverCap bool
	blockedSince     time.Time // since when each plan has left tasks idle, zero if the last one left none
	// minSurplus is the least unused allowance since surplusSince.
	minSurplus   workload.Resources
	surplusSince time.Time
}

func newAccount(name string) *account {
	return &account{name: name, lent: map[int]workload.Resources{}, borrowed: map[int]workload.Resources{}, recalls: map[int]recall{}}
}

// accountOf returns the account of a workspace and creates it if there is none. It returns nil for jobs
// of no workspace.
func (c *Core) accountOf(workspace string) *account {
	if workspace == "" {
		return nil
	}
	a, ok := c.accounts[workspace]
	if !ok {
		a = newAccount(workspace)
		c.accounts[workspace] = a
		c.applyCap(a)
	}
	return a
}

// sortedAccounts returns the accounts by name.
func (c *Core) sortedAccounts() []*account {
	list := slices.Collect(maps.Values(c.accounts))
	slices.SortFunc(list, func(a, b *account) int { return strings.Compare(a.name, b.name) })
	return list
}

// noCap is the cap of a workspace without one.
var noCap = workload.Resources{CPU: unlimited, MemoryMB: unlimited, GPU: unlimited}

// applyCaps applies a new configuration to the accounts. Each workspace with a cap gets an account, as
// its share may be lent.
func (c *Core) applyCaps() {
	for _, w := range c.config.Workspaces.List() {
		if w.Cap != (workload.Resources{}) {
			c.accountOf(w.Name)
		}
	}
	for _, a := range c.accounts {
		c.applyCap(a)
	}
}

// applyCap sets an account's cap and share from the configuration. A workspace that was removed keeps
// its last cap: its jobs go on.
func (c *Core) applyCap(a *account) {
	w, ok := c.config.Workspaces.ByName(a.name)
	if !ok {
		if !a.isCapped && a.settledCap != nil {
			a.isCapped, a.cap = *a.settledCap != noCap, *a.settledCap
		}
		a.share = c.shareOf(a.cap)
		return
	}
	a.weight = w.Weight
	a.isCapped = w.Cap != workload.Resources{}
	a.cap = workload.Resources{CPU: boundOf(w.Cap.CPU), MemoryMB: boundOf(w.Cap.MemoryMB), GPU: boundOf(w.Cap.GPU)}
	a.share = c.shareOf(a.cap)
	switch {
	case !a.isCapped && a.settledCap == nil:
	case !a.isCapped:
		c.settleCap(a, noCap)
	case a.settledCap != nil && a.settledCap.FitsIn(a.cap):
		c.settleCap(a, a.cap)
	default:
		a.settlingVersion = c.config.Version
	}
}

// settleCap records that a cap has settled.
func (c *Core) settleCap(a *account, settled workload.Resources) {
	a.settlingVersion = 0
	if a.settledCap == nil || *a.settledCap != settled {
		a.settledCap = &settled
		c.dirtyLoans[a.name] = a
		c.settledCapsUnstored = true
	}
	c.planStale = true
}

func boundOf(bound int) int {
	if bound == 0 {
		return unlimited
	}
	return bound
}

// setCapPartitions sets the partitions that share the caps: those of all services but the spare pool. A
// service whose partition isn't known yet counts as one more.
//
// Owners apply a change at different times. So a share that grows because there are fewer partitions
// grows only once the configuration is in force everywhere.
func (c *Core) setCapPartitions(now time.Time) {
	var partitions []int
	c.unassignedServices = 0
	for _, s := range c.config.Services {
		switch p, ok := c.settings.PartitionOf(s.Name); {
		case s.Standby:
		case !ok:
			c.unassignedServices++
		case !slices.Contains(partitions, p):
			partitions = append(partitions, p)
		}
	}
	slices.Sort(partitions)
	c.capPartitions = partitions
	c.hasCaps = slices.ContainsFunc(c.config.Workspaces.List(), func(w workload.Workspace) bool { return w.Cap != workload.Resources{} })
	if n := c.capSharers(); n >= c.shareDivisor || c.shareDivisor == 0 {
		c.shareDivisor = n
		c.shareDivisorFrom = time.Time{}
	} else {
		c.shareDivisorFrom = now.Add(c.settings.ConfigApplyTime)
	}
}

// capSharers returns into how many shares the caps are divided.
func (c *Core) capSharers() int { return max(1, len(c.capPartitions)+c.unassignedServices) }

// applyShareGrowth lets the shares grow once the configuration with fewer partitions is in force
// everywhere.
func (c *Core) applyShareGrowth(now time.Time) {
	if c.shareDivisorFrom.IsZero() || now.Before(c.shareDivisorFrom) {
		return
	}
	c.shareDivisor = c.capSharers()
	c.shareDivisorFrom = time.Time{}
	c.applyCaps()
}

// shareOf returns this partition's share of a cap.
func (c *Core) shareOf(bound workload.Resources) workload.Resources {
	if !slices.Contains(c.capPartitions, c.settings.Partition) {
		return workload.Resources{}
	}
	return bound.DividedBy(c.shareDivisor)
}

// allowance returns what the workspace may reserve here.
func (a *account) allowance() workload.Resources {
	sum := a.share
	for _, borrowed := range a.borrowed {
		sum = sum.Add(borrowed)
	}
	for _, lent := range a.lent {
		sum = sum.Sub(lent)
	}
	return sum
}

// usableAllowance returns the allowance without what lenders want back.
func (a *account) usableAllowance() workload.Resources {
	sum := a.allowance()
	for _, r := range a.recalls {
		sum = sum.Sub(r.amount)
	}
	return sum
}

// isWithinCap reports whether n more tasks of the step may start within its workspace's cap. A single
// task that exceeds the whole cap may run alone, while the partition holds all of the cap: it would
// never run otherwise.
func (c *Core) isWithinCap(s *step, n int, now time.Time) bool {
	a := s.job.account
	if a == nil || !a.isCapped {
		return true
	}
	if a.settlingVersion != 0 || now.Before(c.settings.AllowancesFrom) {
		return false
	}
	allowance := a.usableAllowance()
	reserved := a.reserved.Add(a.unseen)
	if reserved.Add(s.spec.Resources.Times(n)).FitsIn(allowance) {
		return true
	}
	exceedsCap := !s.spec.Resources.FitsIn(a.cap)
	return exceedsCap && n == 1 && reserved == workload.Resources{} && a.bounded(c.obtainable(a)).FitsIn(allowance)
}

// bounded returns r without the resources that the cap doesn't bound.
func (a *account) bounded(r workload.Resources) workload.Resources {
	if a.cap.CPU == unlimited {
		r.CPU = 0
	}
	if a.cap.MemoryMB == unlimited {
		r.MemoryMB = 0
	}
	if a.cap.GPU == unlimited {
		r.GPU = 0
	}
	return r
}

// obtainable returns the allowance of a partition that has borrowed the shares of all others: the cap,
// but for the remainder of its division.
func (c *Core) obtainable(a *account) workload.Resources {
	return a.cap.DividedBy(c.shareDivisor).Times(len(c.capPartitions))
}

// beginPlan forgets the blocked demand of the last plan.
func (a *account) beginPlan() {
	if !a.isBlocked() {
		a.blockedSince = time.Time{}
	}
	a.blocked, a.blockedByOverCap = workload.Resources{}, false
}

// isQuiet reports whether the workspace has nothing here: no run, no blocked task, no loan. Most of many
// workspaces are quiet.
func (a *account) isQuiet() bool {
	return a.reserved == workload.Resources{} && !a.isBlocked() && len(a.lent) == 0 && len(a.borrowed) == 0 && len(a.recalls) == 0
}

// isBlocked reports whether the plan in progress, or the last one, has left tasks idle for want of
// allowance.
func (a *account) isBlocked() bool { return a.blocked != workload.Resources{} }

// recordBlocked records the demand of a step's idle tasks, which its workspace's allowance doesn't
// cover.
func (c *Core) recordBlocked(s *step, tasks int, now time.Time) {
	a := s.job.account
	if a.blockedSince.IsZero() {
		a.blockedSince = now
	}
	a.blocked = a.blocked.Add(s.spec.Resources.Times(tasks))
	a.blockedByOverCap = a.blockedByOverCap || !s.spec.Resources.FitsIn(a.cap)
	c.Counts.CapBlockedSteps++
}

// admitSuspect reports whether a suspect of the step may start within its workspace's cap, and records
// it as blocked otherwise.
func (c *Core) admitSuspect(s *step, now time.Time) bool {
	if c.isWithinCap(s, 1, now) {
		return true
	}
	c.recordBlocked(s, 1, now)
	return false
}

// uncovered returns what the runs reserve beyond the allowance.
func (a *account) uncovered() workload.Resources {
	return a.reserved.Sub(a.allowance()).AtLeastZero()
}

// deficit returns what the allowance lacks for the runs and the blocked tasks, up to the obtainable
// allowance. Tasks that wait until the cap has settled need none yet.
func (a *account) deficit(obtainable workload.Resources) workload.Resources {
	wanted := a.reserved.Add(a.blocked).Min(obtainable)
	switch {
	case a.settlingVersion != 0:
		wanted = a.reserved.Min(obtainable)
	case a.blockedByOverCap:
		wanted = wanted.Max(a.bounded(obtainable))
	}
	return wanted.Sub(a.usableAllowance()).AtLeastZero()
}

// surplus returns the allowance that neither runs nor blocked tasks need.
func (a *account) surplus() workload.Resources {
	return a.usableAllowance().Sub(a.reserved).Sub(a.blocked).AtLeastZero()
}

// remainingUnderCap returns what the workspace could still reserve if this partition got all of its
// cap.
func (a *account) remainingUnderCap() workload.Resources {
	return a.cap.Sub(a.reserved).AtLeastZero()
}

// blockedLogInterval is the time between two log lines on a workspace that waits for its cap.
const blockedLogInterval = time.Second

// logBlocked logs the workspaces whose tasks wait for their cap, with the inputs.
func (c *Core) logBlocked(now time.Time) {
	if now.Before(c.blockedLoggedAt.Add(blockedLogInterval)) {
		return
	}
	c.blockedLoggedAt = now
	for _, a := range c.sortedAccounts() {
		if !a.isBlocked() {
			continue
		}
		c.recordDecision(Decision{Verb: "waits-for-cap", Workspace: a.name, Reason: a.String(), Age: now.Sub(a.blockedSince)})
	}
}

// String describes the account for the log. In the cap and the share, 0 is no bound.
func (a *account) String() string {
	var lent, borrowed workload.Resources
	for _, r := range a.lent {
		lent = lent.Add(r)
	}
	for _, r := range a.borrowed {
		borrowed = borrowed.Add(r)
	}
	state := ""
	if a.settlingVersion != 0 {
		state = fmt.Sprintf(", not all owners have confirmed the cap of configuration %d", a.settlingVersion)
	}
	if a.unseen != (workload.Resources{}) {
		state += fmt.Sprintf(", up to %s on workers that have not answered yet", a.unseen)
	}
	return fmt.Sprintf("cap %s, share %s, borrowed %s, lent %s, reserved %s, waiting %s%s",
		a.bounded(a.cap), a.bounded(a.share), borrowed, lent, a.reserved, a.blocked, state)
}
