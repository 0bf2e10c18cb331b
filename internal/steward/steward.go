// Package steward carries the fleet decisions: it watches the platform's list
// and the VMs' health, plans, appends what was planned, and carries out what
// took effect. Every node runs one; none leads.
package steward

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Config is what a Steward needs. Zero durations and counts take the defaults of
// the settings.
type Config struct {
	Node     string
	Follower *follower.Follower
	Fleet    platform.Fleet
	// Entries tells the requests in flight at the entry processes.
	Entries Entries
	// Health checks a backend server.
	Health Checker
	// Peers are the other stewards; nil means none.
	Peers  Peers
	Logger hclog.Logger
	// Metrics takes the steward's metrics; nil keeps them unseen.
	Metrics prometheus.Registerer

	Policy        pool.Policy
	PlanInterval  time.Duration
	ListInterval  time.Duration
	CheckInterval time.Duration
	MaxActions    int
	ActionTimeout time.Duration
}

const (
	// defaultCheckInterval is the pause between rounds of health checks.
	defaultCheckInterval = time.Second
	// freshWithin is how old the latest read of the log's end may be for a
	// disruptive decision. A steward that is cut off from the log decides
	// nothing: its picture may be hours old.
	freshWithin = 5 * time.Second
)

// Steward is the duties of one node over one follower.
type Steward struct {
	cfg      Config
	proposer *proposer
	shares   *workShares
	metrics  *metrics
}

// New returns a Steward; Duties are to be supervised by the caller.
func New(cfg Config) *Steward {
	cfg = withDefaults(cfg)
	m := newMetrics(cfg.Metrics)
	return &Steward{
		cfg:      cfg,
		proposer: &proposer{follower: cfg.Follower, author: cfg.Node, logger: cfg.Logger.Named("propose"), metrics: m},
		shares:   newWorkShares(cfg.Node),
		metrics:  m,
	}
}

func withDefaults(cfg Config) Config {
	orDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	orDefault(&cfg.PlanInterval, settings.DefaultPlanningInterval)
	orDefault(&cfg.ListInterval, settings.DefaultListInterval)
	orDefault(&cfg.CheckInterval, defaultCheckInterval)
	orDefault(&cfg.ActionTimeout, settings.DefaultActionTimeout)
	if cfg.Peers == nil {
		cfg.Peers = NoPeers{}
	}
	if cfg.MaxActions <= 0 {
		cfg.MaxActions = settings.DefaultMaxActions
	}
	if cfg.Policy.MaxProposals == 0 {
		cfg.Policy = pool.DefaultPolicy()
	}
	return cfg
}

// Duties returns the steward's duties.
func (s *Steward) Duties() []supervise.Duty {
	return []supervise.Duty{
		{Name: "list", Serve: newLister(s).serve},
		{Name: "health", Serve: newHealth(s).serve},
		{Name: "plan", Serve: newPlanner(s).serve},
		{Name: "act", Serve: newExecutor(s).serve},
	}
}

// Rank returns how many live stewards come before this one for a pool's jobs.
func (s *Steward) Rank(pool string) int { return s.shares.rank("jobs/"+pool, time.Now()) }

// MayDecide reports whether the folded state is recent enough for a decision
// that disturbs a VM.
func (s *Steward) MayDecide() bool {
	fresh := s.cfg.Follower.Fresh()
	return !fresh.IsZero() && time.Since(fresh) <= freshWithin
}

// vm returns a copy of a VM's state.
func (s *Steward) vm(id string) (ledger.VM, bool) {
	var vm ledger.VM
	found := false
	s.cfg.Follower.View(func(st *ledger.State) {
		if v, ok := st.VMs[id]; ok {
			vm, found = copyVM(v), true
		}
	})
	return vm, found
}

func copyVM(v *ledger.VM) ledger.VM {
	vm := *v
	if v.Drain != nil {
		d := *v.Drain
		vm.Drain = &d
	}
	return vm
}

// every calls f at once and then at each tick until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
