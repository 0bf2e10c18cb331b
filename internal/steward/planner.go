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
	plannedOffset  uint64 // of the state of the last round
	changed        <-chan struct{}
	spareUpdatedAt time.Time
	waitingWaves   map[string]bool // by wave and pool
}

func newPlanner(s *Steward) *planner {
	return &planner{Steward: s, changed: s.cfg.Follower.Changed()}
}

// Pauses between rounds. One round handles a burst of records, and planning
// takes at most 1/pauseFactor of a core, however large the fleet is.
const (
	minRoundPause = 200 * time.Millisecond
	pauseFactor   = 50
	// idleIntervals is the number of planning intervals between rounds while
	// the state is unchanged and nothing is planned. Only the passage of time
	// can then cause a decision, and such decisions wait for minutes.
	idleIntervals = 5
)

// serve plans at each interval, and earlier after a change.
func (p *planner) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		took, idle := p.runRound(ctx)
		minPause := max(minRoundPause, pauseFactor*took)
		wait.Sleep(ctx, minPause)
		maxPause := p.cfg.PlanInterval
		if idle {
			maxPause *= idleIntervals
		}
		wait.SleepUntil(ctx, maxPause-minPause, p.changed)
	}
	return ctx.Err()
}

// runRound plans once and appends the proposals that fall to this steward. It
// returns the duration of the planning, and idle if nothing was planned on a
// state that an earlier round has already planned on.
func (p *planner) runRound(ctx context.Context) (took time.Duration, idle bool) {
	if !p.MayDecide() {
		return 0, false
	}
	start := time.Now()
	var view *pool.View
	p.cfg.Follower.View(func(st *ledger.State) {
		p.shares.updateNodes(st, p.cfg.Peers)
		view = pool.NewView(st, start)
	})
	plan := maintenance.Round(view, p.cfg.Policy)
	took = time.Since(start)
	idle = len(plan.Proposals) == 0 && view.Offset == p.plannedOffset
	p.plannedOffset = view.Offset
	p.metrics.observeRound(took)
	var ownProposals []pool.Proposal
	for _, d := range plan.Proposals {
		item := fmt.Sprintf("plan/%s/%s/%d", d.Body.Kind(), d.Subject, d.Base)
		if p.shares.responsibleFor(d.Share, item, view.Now) {
			ownProposals = append(ownProposals, d)
		}
	}
	p.proposer.proposeAll(ctx, view.Offset, ownProposals)
	p.updateSpareMetrics(view)
	p.logWaits(plan.Waits)
	return took, idle
}

// logWaits logs when a wave starts to wait for a pool, and when it continues.
func (p *planner) logWaits(waits []pool.Wait) {
	current := map[string]bool{}
	for _, w := range waits {
		key := w.Wave + "/" + w.Pool
		current[key] = true
		if !p.waitingWaves[key] {
			p.cfg.Logger.Info("wave waits", "wave", w.Wave, "pool", w.Pool, "reason", w.Reason)
		}
	}
	for key := range p.waitingWaves {
		if !current[key] {
			p.cfg.Logger.Info("wave goes on", "wave", key)
		}
	}
	p.waitingWaves = current
}

// spareInterval is the pause between computations of the spare VMs, which
// depend only on documents and pools.
const spareInterval = time.Minute

func (p *planner) updateSpareMetrics(view *pool.View) {
	if view.Now.Sub(p.spareUpdatedAt) < spareInterval {
		return
	}
	p.spareUpdatedAt = view.Now
	spare := pool.SpareFor(view.Pools, p.cfg.Policy.Rates, p.cfg.Policy.FailureShare)
	p.metrics.spare.WithLabelValues(string(pool.ReserveShared)).Set(float64(spare.Shared))
	p.metrics.spare.WithLabelValues(string(pool.ReserveOwn)).Set(float64(spare.OwnTotal()))
}
