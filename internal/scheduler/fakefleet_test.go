package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// partitionFleet runs the worlds of several partitions at the same time. Their owners exchange loans
// of workspaces' caps. It checks the caps against what the workers of all partitions run.
type partitionFleet struct {
	rng    *rand.Rand
	worlds []*world
	config *workload.Config
	// caps are the caps that may be in force: those of the current configuration, and earlier ones
	// until capsExpireAt.
	earlierCaps  map[string]workload.Resources
	capsExpireAt time.Time
	// loanFaults are the probabilities of faults of a loan request.
	loanFaults loanFaults
	lastLoanID int64
	loanCalls  map[loanCallID]*loanCall
	// fixedShares is set if owners exchange no loans.
	fixedShares bool
	// workspaces are drawn for new jobs.
	workspaces []string
	loans      int // requests with an answer that granted something
	// usedHalfOfCap are the workspaces that used half of their cap at some time of the last maxIdleTime.
	usedHalfOfCap map[string]bool
}

type loanFaults struct {
	lost       float64 // the request is lost
	lostAnswer float64 // the answer is lost or arrives after the timeout
	doubled    float64 // the request is handled a second time, later
	staleOwner float64 // the request reaches an earlier owner that still runs
}

// loanCallID identifies a loan request at the core that handles it.
type loanCallID struct {
	lender *fakeOwner
	id     int64
}

// loanCall is a loan request that awaits its answer.
type loanCall struct {
	order    scheduler.LoanOrder
	borrower *fakeOwner
	answered bool
}

// loanCallTimeout is how long the borrower waits for an answer.
const loanCallTimeout = 400 * time.Millisecond

// configApplyTime is how long a configuration takes until all owners use it.
const configApplyTime = 2 * time.Second

func serviceOf(partition int) string { return "service-" + strconv.Itoa(partition) }

func newPartitionFleet(seed uint64, partitions int, f faults, caps map[string]workload.Resources) *partitionFleet {
	fleet := &partitionFleet{rng: rand.New(rand.NewPCG(seed, 11)), loanCalls: map[loanCallID]*loanCall{}, usedHalfOfCap: map[string]bool{}}
	for i := range partitions {
		w := newWorld(seed*31+uint64(i), f)
		w.fleet, w.partition, w.service = fleet, i, serviceOf(i)
		fleet.worlds = append(fleet.worlds, w)
	}
	fleet.publish(caps)
	fleet.earlierCaps = nil
	return fleet
}

// publish puts a configuration with the given caps in force, in each partition at another time within
// configApplyTime.
func (p *partitionFleet) publish(caps map[string]workload.Resources) {
	previous := p.config
	p.config = &workload.Config{Version: 1, Workspaces: workload.NewWorkspaces()}
	if previous != nil {
		p.config.Version = previous.Version + 1
		p.earlierCaps = map[string]workload.Resources{}
		for _, w := range previous.Workspaces.List() {
			p.earlierCaps[w.Name] = w.Cap
		}
		p.capsExpireAt = p.worlds[0].now.Add(configApplyTime)
	}
	for _, w := range p.worlds {
		p.config.Services = append(p.config.Services, workload.Service{Name: w.service, EnforcesCapacity: true})
		p.config.Queues = append(p.config.Queues, workload.Queue{Name: "quick", Service: w.service, MaxAttempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond})
	}
	for name, bound := range caps {
		if err := p.config.Workspaces.Add(workload.Workspace{Name: name, Cap: bound}, nil); err != nil {
			panic(err)
		}
	}
	config := p.config
	for _, w := range p.worlds {
		if previous == nil {
			w.visibleConfig = config
			continue
		}
		w.after(w.durationBetween(0, configApplyTime-100*time.Millisecond), func() {
			if config.Version > w.visibleConfig.Version {
				w.visibleConfig = config
			}
		})
	}
}

func (w *world) config() *workload.Config {
	if w.fleet != nil {
		return w.visibleConfig
	}
	return testConfig
}

func (p *partitionFleet) drawWorkspace() string {
	if len(p.workspaces) == 0 {
		return ""
	}
	return p.workspaces[p.rng.IntN(len(p.workspaces))]
}

// setPartition sets the settings of an owner that depend on its partition.
func (p *partitionFleet) setPartition(s *scheduler.Settings, w *world) {
	s.Partition = w.partition
	s.ConfigApplyTime = configApplyTime
	s.PartitionOf = func(service string) (int, bool) {
		n, err := strconv.Atoi(service[len("service-"):])
		if err != nil {
			panic(err)
		}
		return n, true
	}
}

// runUntil runs the events of all partitions in order, up to an offset from historyStart.
func (p *partitionFleet) runUntil(offset time.Duration) {
	stopAt := historyStart.Add(offset)
	for {
		var next *world
		for _, w := range p.worlds {
			if len(w.pendingEvents) > 0 && (next == nil || w.pendingEvents[0].at.Before(next.pendingEvents[0].at)) {
				next = w
			}
		}
		if next == nil || next.pendingEvents[0].at.After(stopAt) {
			break
		}
		e := heap.Pop(&next.pendingEvents).(event)
		for _, w := range p.worlds {
			w.now = e.at
		}
		e.action()
	}
	for _, w := range p.worlds {
		w.now = stopAt
	}
}

// violations returns the violations in all partitions.
func (p *partitionFleet) violations() []string {
	var all []string
	for _, w := range p.worlds {
		all = append(all, w.violations...)
	}
	return all
}

// reservedBy returns what a workspace's runs reserve on all workers whose process is up.
func (p *partitionFleet) reservedBy(workspace string) workload.Resources {
	var sum workload.Resources
	for _, w := range p.worlds {
		for _, f := range w.workers {
			if f.terminated {
				continue
			}
			for _, r := range f.runs {
				if job := w.jobs[r.task.Job]; job.submission.Workspace == workspace {
					sum = sum.Add(job.submission.Spec.Steps[r.task.Step].Resources)
				}
			}
		}
	}
	return sum
}

// checkCap checks the start of a task against its workspace's cap. A task may exceed the cap if nothing
// else of its workspace runs.
func (p *partitionFleet) checkCap(w *world, job *fakeJob, spec *workload.Step) {
	name := job.submission.Workspace
	current, ok := p.config.Workspaces.ByName(name)
	bound := current.Cap
	if earlier, known := p.earlierCaps[name]; known && w.now.Before(p.capsExpireAt) {
		bound = bound.Max(earlier)
		ok = true
	}
	before := p.reservedBy(name)
	if !ok || bound == (workload.Resources{}) || before == (workload.Resources{}) {
		return
	}
	if after := before.Add(spec.Resources); !after.FitsIn(unboundedIfZero(bound)) {
		w.recordViolation("QUOTA", fmt.Sprintf("a start in partition %d brings workspace %s to %s, its cap is %s", w.partition, name, after, bound))
	}
}

func unboundedIfZero(bound workload.Resources) workload.Resources {
	const unbounded = 1 << 50
	if bound.CPU == 0 {
		bound.CPU = unbounded
	}
	if bound.MemoryMB == 0 {
		bound.MemoryMB = unbounded
	}
	if bound.GPU == 0 {
		bound.GPU = unbounded
	}
	return bound
}

// sendLoanRequest delivers a loan request to the owner of the lending partition, subject to faults.
func (p *partitionFleet) sendLoanRequest(borrower *fakeOwner, order scheduler.LoanOrder) {
	call := &loanCall{order: order, borrower: borrower}
	borrower.world.after(loanCallTimeout, func() { p.answerLoan(call, nil) })
	if p.fixedShares || borrower.world.chance(p.loanFaults.lost) {
		return
	}
	latency := borrower.world.durationBetween(time.Millisecond, 6*time.Millisecond)
	borrower.world.after(latency, func() { p.handleLoanRequest(call) })
	if borrower.world.chance(p.loanFaults.doubled) {
		borrower.world.after(latency+borrower.world.durationBetween(0, 3*time.Second), func() { p.handleLoanRequest(call) })
	}
}

func (p *partitionFleet) handleLoanRequest(call *loanCall) {
	w := p.worlds[call.order.Lender]
	lender := w.owner
	if w.chance(p.loanFaults.staleOwner) {
		lender = w.owners[w.rng.IntN(len(w.owners))]
	}
	if lender == nil || lender.stopped || !lender.coreStarted {
		return
	}
	p.lastLoanID++
	p.loanCalls[loanCallID{lender, p.lastLoanID}] = call
	lender.core.HandleLoanRequest(p.lastLoanID, call.order.Request, w.now)
	lender.step()
}

// deliverLoanReply delivers a reply to the borrower, unless it is lost or late.
func (p *partitionFleet) deliverLoanReply(lender *fakeOwner, reply scheduler.LoanReply) {
	id := loanCallID{lender, reply.ID}
	call := p.loanCalls[id]
	delete(p.loanCalls, id)
	if lender.world.chance(p.loanFaults.lostAnswer) {
		return
	}
	lender.world.after(lender.world.durationBetween(time.Millisecond, 6*time.Millisecond), func() { p.answerLoan(call, reply.Response) })
}

// answerLoan passes the first outcome of a request to the borrower.
func (p *partitionFleet) answerLoan(call *loanCall, response *workload.LoanResponse) {
	if call.answered {
		return
	}
	call.answered = true
	if o := call.borrower; !o.stopped {
		if response != nil && len(response.Lent) > 0 {
			p.loans++
		}
		o.core.HandleLoanResponse(call.order, response, o.world.now)
		o.step()
	}
}
