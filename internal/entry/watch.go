package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/backend"
)

// Bounds of the health checks.
const (
	// maxWatched is how many backend servers one process checks at most, so that
	// its cost does not grow with the fleet. Of more it takes those that a
	// rendezvous hash gives it; the others show by requests, and by the steward's
	// word on the log.
	maxWatched = 64
	// maxChecksPerRound is how many of them are checked in one interval, by turns,
	// beside those that failed: a node's control traffic has to bear the checks
	// beside those of the steward, the leases and the log.
	maxChecksPerRound = 10
	// maxConcurrentChecks is how many checks run at once.
	maxConcurrentChecks = 8
	// unhealthyAfterFailures in a row make a backend server unhealthy, one success heals.
	unhealthyAfterFailures = 2
	// checkJitter spreads the checks of several processes, as a share of the
	// interval.
	checkJitter = 0.2
)

// watched is a backend server to check.
type watched struct {
	target
	address string
	weight  uint64
}

// target names a backend server of a service.
type target struct{ service, vm string }

// checkHealth checks backend servers, so that a hung one is found without a caller's
// request being lost on it.
func (e *Entry) checkHealth(ctx context.Context) error {
	interval := e.cfg.Settings.Backends.CheckInterval.Duration
	checker := backend.NewHealthChecker()
	failures := map[target]int{}
	for round := 0; ; round++ {
		spread := 1 + checkJitter*(2*rand.Float64()-1)
		timer := time.NewTimer(time.Duration(float64(interval) * spread))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		failures = e.checkAll(ctx, checker, failures, round)
	}
}

// checkAll checks the backend servers whose turn it is and returns the failures in
// a row of this process's share. One that left the share counts as healthy again.
func (e *Entry) checkAll(ctx context.Context, checker *backend.HealthChecker, before map[target]int, round int) map[target]int {
	share := e.watchedBackends()
	list := dueForCheck(share, before, round)
	results := make([]int, len(list))
	slots := make(chan struct{}, maxConcurrentChecks)
	var wg sync.WaitGroup
	for i, w := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i] = e.check(ctx, checker, w, before[w.target])
		})
	}
	wg.Wait()
	after := make(map[target]int, len(share))
	for _, w := range share {
		after[w.target] = before[w.target]
	}
	for i, w := range list {
		after[w.target] = results[i]
		e.dispatcher.SetHealthy(w.service, w.vm, results[i] < unhealthyAfterFailures)
	}
	for t := range before {
		if _, ok := after[t]; !ok {
			e.dispatcher.SetHealthy(t.service, t.vm, true)
		}
	}
	return after
}

// dueForCheck returns the backend servers of a share to check in a round: a part of
// them by turns, and those whose latest check failed.
func dueForCheck(share []watched, failures map[target]int, round int) []watched {
	turns := max(1, (len(share)+maxChecksPerRound-1)/maxChecksPerRound)
	var list []watched
	for i, w := range share {
		if i%turns == round%turns || failures[w.target] > 0 {
			list = append(list, w)
		}
	}
	return list
}

func (e *Entry) check(ctx context.Context, checker *backend.HealthChecker, w watched, before int) int {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Settings.Backends.CheckTimeout.Duration)
	defer cancel()
	if err := checker.Check(ctx, w.address); err != nil {
		if before+1 == unhealthyAfterFailures {
			e.cfg.Logger.Warn("a backend server is unhealthy", "vm", w.vm, "error", err)
		}
		return before + 1
	}
	return 0
}

// watchedBackends returns the backend servers that this process checks.
func (e *Entry) watchedBackends() []watched {
	var list []watched
	for name, svc := range e.dispatcher.Table().Services {
		for _, b := range svc.Backends {
			weight := xxhash.Sum64String(e.cfg.Settings.Node.ID + "/" + b.VM)
			list = append(list, watched{target: target{name, b.VM}, address: b.Address, weight: weight})
		}
	}
	slices.SortFunc(list, func(a, b watched) int { return cmp.Compare(a.weight, b.weight) })
	return list[:min(len(list), maxWatched)]
}
