package steward

import (
	"context"
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// planner runs the planning rounds.
type planner struct {
	*Steward
	offset  uint64 // of the state at the latest round
	changed <-chan struct{}
	spareAt time.Time
	waiting map[string]bool // by wave and pool
}

func newPlanner(s *Steward) *planner {
	return &planner{Steward: s, changed: s.cfg.Follower.Changed()}
}

// Pauses between rounds. A burst of records is met by one round, not by one
// each, and planning takes at most one part in pausePerRound of a core, however
// large the fleet is.
const (
	minRoundPause = 200 * time.Millisecond
	pausePerRound = 50
	// quietIntervals is how many planning intervals pass between rounds while
	// the state stays the same and nothing is planned: only time can bring a
	// decision then, and those that wait for time wait for minutes.
	quietIntervals = 5
)

// serve plans at each interval, and sooner after a change.
func (p *planner) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		took, quiet := p.round(ctx)
		least := max(minRoundPause, pausePerRound*took)
		wait.Sleep(ctx, least)
		longest := p.cfg.PlanInterval
		if quiet {
			longest *= quietIntervals
		}
		wait.SleepUntil(ctx, longest-least, p.changed)
	}
	return ctx.Err()
}

// round plans once and appends what falls to this steward. It returns how long
// planning took, and whether it found nothing to do on a state that it had
// planned on before.
func (p *planner) round(ctx context.Context) (took time.Duration, quiet bool) {
	if !p.MayDecide() {
		return 0, false
	}
	start := time.Now()
	var view *pool.View
	p.cfg.Follower.View(func(st *ledger.State) {
		p.shares.follow(st, p.cfg.Peers)
		view = pool.NewView(st, start)
	})
	plan := maintenance.Round(view, p.cfg.Policy)
	took = time.Since(start)
	quiet = len(plan.Proposals) == 0 && view.Offset == p.offset
	p.offset = view.Offset
	p.metrics.planned(took)
	var mine []pool.Proposal
	for _, d := range plan.Proposals {
		item := fmt.Sprintf("plan/%s/%s/%d", d.Body.Kind(), d.Subject, d.Base)
		if p.shares.mine(d.Share, item, view.Now) {
			mine = append(mine, d)
		}
	}
	p.propose.all(ctx, view.Offset, mine)
	p.showSpare(view)
	p.showWaits(plan.Waits)
	return took, quiet
}

// showWaits logs when a wave begins to hold back from a pool, and when it goes on.
func (p *planner) showWaits(waits []pool.Wait) {
	now := map[string]bool{}
	for _, w := range waits {
		key := w.Wave + "/" + w.Pool
		now[key] = true
		if !p.waiting[key] {
			p.cfg.Logger.Info("wave waits", "wave", w.Wave, "pool", w.Pool, "reason", w.Reason)
		}
	}
	for key := range p.waiting {
		if !now[key] {
			p.cfg.Logger.Info("wave goes on", "wave", key)
		}
	}
	p.waiting = now
}

// spareInterval is the pause between sizings of the spare VMs, which change
// only with documents and pools.
const spareInterval = time.Minute

func (p *planner) showSpare(view *pool.View) {
	if view.Now.Sub(p.spareAt) < spareInterval {
		return
	}
	p.spareAt = view.Now
	spare := pool.SpareFor(view.Pools, p.cfg.Policy.Rates, p.cfg.Policy.FailureShare)
	p.metrics.spare.WithLabelValues(string(pool.ReserveShared)).Set(float64(spare.Shared))
	p.metrics.spare.WithLabelValues(string(pool.ReserveOwn)).Set(float64(spare.OwnTotal()))
}
