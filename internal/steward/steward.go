// Package steward decides about the fleet: it reads the platform's list of VMs,
// checks the VMs' health, plans, appends the planned decisions to the log, and
// carries out those that took effect. Every node runs a steward; there is no
// leader.
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

// Config configures a Steward. Zero durations and counts stand for the
// defaults.
type Config struct {
	Node     string
	Follower *follower.Follower
	Fleet    platform.Fleet
	// Entries reports the requests in flight at the entry processes.
	Entries Entries
	// Health checks a backend server.
	Health Checker
	// Peers gives access to the other stewards; nil means none.
	Peers  Peers
	Logger hclog.Logger
	// Metrics registers the steward's metrics; nil leaves them unregistered.
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
	// freshWithin is the maximum age of the last read of the log's end for a
	// decision. A steward that is cut off from the log decides nothing, since
	// its state may be hours old.
	freshWithin = 5 * time.Second
)

// Steward runs the fleet duties of one node on the state of one follower.
type Steward struct {
	cfg      Config
	proposer *proposer
	shares   *workShares
	metrics  *metrics
}

// New returns a Steward. The caller must supervise its Duties.
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

// Rank returns the number of live stewards that rank higher for a pool's jobs.
func (s *Steward) Rank(pool string) int { return s.shares.rank("jobs/"+pool, time.Now()) }

// MayDecide reports whether the folded state is recent enough for decisions.
func (s *Steward) MayDecide() bool {
	fresh := s.cfg.Follower.Fresh()
	return !fresh.IsZero() && time.Since(fresh) <= freshWithin
}

// vm returns a copy of a VM's state, and false if the VM is unknown.
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

// every calls f immediately and then at each tick until ctx ends.
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
