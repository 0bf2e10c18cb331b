// Package scheduler is the machine that runs the jobs of services on their
// workers. It is deterministic and pure: messages and the time go in, orders and
// records to be stored come out. One node, the owner, runs it for the services
// of one partition of the store.
//
// What it rests on:
//
//   - Every accepted job is stored before its caller hears of it, and every end
//     that matters is stored before it is acknowledged to the worker, which
//     keeps it until then. So what a new owner reads from the store, together
//     with what the workers list, is all that has happened.
//   - A worker refuses orders with a lower fencing token than one it has seen.
//     A new owner holds each worker with its own token before it starts
//     anything: from that answer on, no order of an earlier owner has effect
//     there, and the answer lists all that runs.
//   - A run lives only while its lease does. What a worker that does not answer
//     may run is over once the last lease it may have got has lapsed.
package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Settings of a Core.
type Settings struct {
	// Epoch is unique to this ownership and above all earlier ones.
	Epoch int64
	// Address is where the owner's node answers others.
	Address string
	// Lease is how long a run lives without renewal.
	Lease time.Duration
	// Overlap is for how long an owner may go on after its successor has begun.
	Overlap time.Duration
	// MaxLease is the longest lease that a worker gives, whatever it is asked for.
	MaxLease time.Duration
	// StateKept is for how long an ended job is known.
	StateKept time.Duration
	// Stop is what a stop takes at most.
	Stop time.Duration
	// GangTimeout is how long a member of a gang waits for the others; 0 is the
	// default.
	GangTimeout time.Duration
	// RemoteFactor is how many times as long a task takes away from its data.
	RemoteFactor float64
}

// Times that decisions rest on.
const (
	// clockMargin is what a worker's clock may be slow, as a share of a lease;
	// the platform says 2%.
	clockMargin = 0.03
	// lapseSlack is added to a lease before it counts as lapsed: the way of the
	// order and the turn of timers at both ends.
	lapseSlack = 150 * time.Millisecond
	// tokenStep leaves room below the epoch for raising the token at one worker.
	tokenStep = 1 << 10
	// runStep leaves room below the epoch for the runs of one step, so that a new
	// owner needs to know nothing of earlier runs to number higher.
	runStep = 1 << 16
	// sweepInterval is the pause between looks for jobs to be forgotten.
	sweepInterval = 5 * time.Second
)

// Core holds the jobs and workers of one partition. It is not safe for
// concurrent use.
type Core struct {
	cfg    Settings
	config *workload.Config

	jobs    map[workload.JobID]*job
	active  []*job // not ended, in the order of their acceptance here
	ranking ranking
	shares  map[string]*queueShares // by queue
	workers map[string]*worker
	order   []*worker // sorted by ID
	// lastTokens are the tokens that were in use at workers that are forgotten, by ID: one
	// of that ID may come back.
	lastTokens map[string]int64

	// authority is until when tasks may be started and leases renewed, if that is bounded.
	authority time.Time
	bounded   bool
	// blockedUntil is when the last lease of an earlier owner has lapsed. Until
	// then a worker that has not answered may run any task.
	blockedUntil time.Time
	// unheld are the workers that may run what an earlier owner started. There
	// are none where that owner has left a report of its runs.
	unheld map[string]bool
	// doubtful is set while the list of workers may lack some that run tasks.
	doubtful bool

	// What is to be stored, and is being stored.
	dirty     map[workload.JobID]*job
	expired   []workload.JobID // to be deleted
	writing   *write           // nil if none is under way
	writeSeq  int64
	storedSeq int64 // of the latest write that is stored
	opened    bool  // this owner has stored that it took over

	// elsewhere are the addresses at which workers of other partitions' services are
	// registered.
	elsewhere map[string]bool

	arrived map[string]workload.Work // by service
	// required are the labels that a service's jobs have asked for so far.
	required map[string][]string
	starting inFlight
	// extraPolls is how many are under way.
	extraPolls int
	forming    []forming
	// crashedSteps are those under whose tasks workers have crashed.
	crashedSteps []*step
	// busyUntil is until when a service counts as busy with tasks that are no suspects.
	busyUntil map[string]time.Time
	// suspectsWait is set while what is known of some suspects is being stored.
	suspectsWait bool
	// dirtyPlan is set when something has changed that a plan rests on.
	dirtyPlan bool
	// stalledUntil is until when the process counts as stalled: it hardly gets on.
	stalledUntil time.Time
	unblocked    bool // nothing waits for an earlier owner's runs any more

	// When things were done last.
	startedAt, steppedAt, sweptAt, plannedAt, copiedAt, wroteAt, suspectsNotedAt time.Time

	lost   string // why the ownership is lost, "" while it is not
	out    Orders // of the present step
	Counts Counts
}

// Counts are totals for metrics.
type Counts struct {
	Started, Done, FailedRuns, Lapsed, Refused, Uncertain int
	Completed, Failed, Cancelled                          int
	// Crashes is how many workers crashed, and RunsLost how many runs with them.
	Crashes, RunsLost int
	// Restarts is how many workers came back under their ID, and EndsUnread how many runs
	// vanished from a worker that listed no end of them.
	Restarts, EndsUnread int
	// SecondRuns is how many runs were found beside another run of their task.
	SecondRuns int
	// Trials is how many starts were of suspects, Cleared how many of these got on, and
	// GivenUp how many jobs failed as one of their tasks crashes workers.
	Trials, Cleared, GivenUp int
	// PolledAgain is how many polls of workers were sent beside one whose answer was late.
	PolledAgain int
	// Ranked is how many jobs were ranked, and Looks how many workers and runs were
	// looked at, to decide on starts: what planning costs.
	Ranked, Looks int
	// Plans is how many plans were made, and CutShort how many of them ended before
	// all that has room was started, as too many starts had no answer yet.
	Plans, CutShort int
}

// New returns a core that takes over at now. unheld are the workers that an
// earlier owner may have given work to; doubtful says that there may be more.
func New(cfg Settings, now time.Time, unheld []string, doubtful bool) *Core {
	if cfg.GangTimeout == 0 {
		cfg.GangTimeout = defaultGangTimeout
	}
	cfg.MaxLease = max(cfg.MaxLease, cfg.Lease)
	c := &Core{
		cfg:          cfg,
		config:       &workload.Config{},
		jobs:         map[workload.JobID]*job{},
		workers:      map[string]*worker{},
		lastTokens:   map[string]int64{},
		busyUntil:    map[string]time.Time{},
		dirty:        map[workload.JobID]*job{},
		unheld:       map[string]bool{},
		elsewhere:    map[string]bool{},
		arrived:      map[string]workload.Work{},
		required:     map[string][]string{},
		shares:       map[string]*queueShares{},
		blockedUntil: earlierLeases(cfg, now),
		doubtful:     doubtful,
		startedAt:    now,
	}
	for _, id := range unheld {
		c.unheld[id] = true
	}
	return c
}

// lapse is the time after which a lease given now is over on every clock.
func lapse(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*clockMargin) + lapseSlack
}

// Lost tells why the ownership is lost, "" while it is not.
func (c *Core) Lost() string { return c.lost }

// SetConfig puts a configuration in force.
func (c *Core) SetConfig(config *workload.Config) {
	if config.Version < c.config.Version {
		return
	}
	c.config = config
	for _, j := range c.active {
		j.queue = config.Queue(j.sub.Queue)
	}
	c.ranking.stale = true
	c.dirtyPlan = true
}

// Submitted takes a stored job. The first record of an ID counts.
func (c *Core) Submitted(id workload.JobID, s *workload.Submission) {
	j := c.job(id)
	if j.sub != nil {
		return
	}
	j.open(s)
	j.queue = c.config.Queue(s.Queue)
	if j.progress != nil {
		c.restore(j)
	}
	c.settle(j)
	c.countArrival(j)
	c.noteLabels(s)
	c.active = append(c.active, j)
	if len(j.steps) > 0 {
		c.rerank(j.steps[0])
	}
	c.dirtyPlan = true
}

// noteLabels notes which labels the jobs of a service ask for.
func (c *Core) noteLabels(s *workload.Submission) {
	for i := range s.Spec.Steps {
		label := s.Spec.Steps[i].Label
		if label != "" && !slices.Contains(c.required[s.Service], label) {
			c.required[s.Service] = append(c.required[s.Service], label)
		}
	}
}

// CancelRequested takes a stored cancel, also one that is read before its job.
func (c *Core) CancelRequested(id workload.JobID, now time.Time) {
	j := c.job(id)
	if j.final.Ended() || j.cancelled {
		return
	}
	j.cancelled = true
	if j.sub == nil {
		return
	}
	c.end(j, workload.Cancelled, now)
}

// Recalled takes what an earlier owner stored of a job.
func (c *Core) Recalled(id workload.JobID, p *workload.Progress) {
	j := c.job(id)
	j.progress = p
	if j.sub != nil {
		c.restore(j)
		c.settle(j)
	}
}

// job returns the job of an ID, made if need be.
func (c *Core) job(id workload.JobID) *job {
	j, ok := c.jobs[id]
	if !ok {
		j = &job{id: id, shown: workload.Pending}
		c.jobs[id] = j
	}
	return j
}

// State returns a job's state as callers may be told it. ok is false if there
// is no such job. An end is shown only once it is stored: an owner that shows
// it and is lost would otherwise be followed by one that runs the job again.
func (c *Core) State(id workload.JobID) (s workload.State, ok bool) {
	j, ok := c.jobs[id]
	if !ok || j.sub == nil {
		return "", false
	}
	if j.shown.Ended() {
		return j.shown, true
	}
	if j.begun {
		return workload.Running, true
	}
	return workload.Pending, true
}

// Waiting is how many accepted jobs of a queue have not begun.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.active {
		if j.sub.Queue == queue && !j.begun && !j.final.Ended() {
			n++
		}
	}
	return n
}

// SetWorkers takes the list of workers that are registered.
func (c *Core) SetWorkers(list []workload.Worker, now time.Time) {
	present := map[string]bool{}
	for _, info := range list {
		present[info.ID] = true
		w := c.worker(info.ID, now)
		c.takeEntry(w, info, now)
		w.missing = false
	}
	for _, w := range c.order {
		if !present[w.info.ID] {
			w.missing = true
		}
		c.clarify(w, now)
	}
	c.dirtyPlan = true
}

// SetElsewhere takes the addresses at which workers of services that other owners run
// are registered. An address may pass from one service to another.
func (c *Core) SetElsewhere(addresses []string) {
	clear(c.elsewhere)
	for _, a := range addresses {
		c.elsewhere[a] = true
	}
}

// worker returns the worker of an ID, made if need be.
func (c *Core) worker(id string, now time.Time) *worker {
	if w, ok := c.workers[id]; ok {
		return w
	}
	w := &worker{info: workload.Worker{ID: id}, token: c.cfg.Epoch * tokenStep, pace: fullPace, since: now, unreachable: true, missing: true, unsettled: true}
	if last, ok := c.lastTokens[id]; ok {
		w.token = last
		c.raiseToken(w)
	}
	c.workers[id] = w
	c.order = append(c.order, w)
	slices.SortFunc(c.order, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return w
}

// Step returns what is due.
func (c *Core) Step(now time.Time) Orders {
	c.noteStall(now)
	c.expireRuns(now)
	c.doubtStarts(now)
	c.forgetWorkers(now)
	c.holdWorkers(now)
	c.evacuate(now)
	c.watchGangs(now)
	c.place(now)
	c.copyStragglers(now)
	c.forgetJobs(now)
	c.write(now)
	out := c.out
	c.out = Orders{}
	return out
}

// forgetWorkers drops workers that are gone and run nothing any more. One that is
// closed is kept: it may be on no list yet, and open when it comes.
func (c *Core) forgetWorkers(now time.Time) {
	c.order = slices.DeleteFunc(c.order, func(w *worker) bool {
		if !w.missing || len(w.runs) > 0 || now.Before(w.evacuateUntil) || now.Before(w.unclearUntil) {
			return false
		}
		if c.unheld[w.info.ID] && now.Before(c.blockedUntil) {
			return false // it may be cut off from the store and run what an earlier owner started
		}
		delete(c.workers, w.info.ID)
		delete(c.unheld, w.info.ID)
		c.lastTokens[w.info.ID] = w.token
		return true
	})
}

// forgetJobs drops jobs that ended long ago, here and in the store.
func (c *Core) forgetJobs(now time.Time) {
	c.noteUnblocked(now)
	c.active = slices.DeleteFunc(c.active, func(j *job) bool { return j.shown.Ended() && j.live == 0 })
	if now.Before(c.sweptAt.Add(sweepInterval)) {
		return
	}
	for id, j := range c.jobs {
		if j.shown.Ended() && j.live == 0 && now.UnixMilli()-j.endedMS > (2*c.cfg.StateKept).Milliseconds() {
			c.expired = append(c.expired, id)
			delete(c.jobs, id)
		}
	}
	slices.Sort(c.expired)
	c.sweptAt = now
}
