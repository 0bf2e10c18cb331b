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

// Limits of the health checks.
const (
	// maxWatched is the maximum number of backend servers that one process checks, so
	// that the cost does not grow with the fleet. Of a larger number it checks those
	// selected by rendezvous hashing; failures of the others show in requests and in
	// the steward's records in the log.
	maxWatched = 64
	// maxChecksPerRound is how many of them are checked per interval in rotation, in
	// addition to those whose last check failed. A node's control traffic budget covers
	// the checks, the steward's checks, the leases and the log.
	maxChecksPerRound = 10
	// maxConcurrentChecks is the maximum number of concurrent checks.
	maxConcurrentChecks = 8
	// unhealthyAfterFailures consecutive failures make a backend server unhealthy; one
	// success makes it healthy.
	unhealthyAfterFailures = 2
	// checkJitter spreads the checks of several processes, as a fraction of the interval.
	checkJitter = 0.2
)

// watched is a backend server to check and its rendezvous weight.
type watched struct {
	target
	address string
	weight  uint64
}

// target identifies a backend server of a service.
type target struct{ service, vm string }

// checkHealth checks the health of backend servers periodically, so that a hung one
// is found before a caller's request is lost on it.
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

// checkAll checks the backend servers that are due and returns the consecutive
// failures of all that this process watches. A backend server that is no longer
// watched counts as healthy.
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

// dueForCheck returns the backend servers to check in a round: a part of the list in
// rotation, and all whose last check failed.
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
