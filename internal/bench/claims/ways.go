// Package claims measures the latency and throughput of claims on request keys
// and their reports, with all entry VMs of a deployment in one process. It
// compares owners in memory, which are called over gRPC on loopback, with the
// plain alternative, an entry on the platform's log for each claim. Results are
// in docs/MEASUREMENTS.md, section "At most once".
package claims

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
)

// vms is the number of entry VMs.
const vms = 8

// service is the service whose request keys are claimed.
const service = "orders"

// claimStore is a place where claims are kept. start returns a claimer for each
// entry VM, which works until ctx ends, and a function that returns the number of
// appends to the log.
type claimStore struct {
	name  string
	start func(ctx context.Context) ([]entrypeer.Claimer, func() int64, error)
}

var claimStores = []claimStore{
	{"owner per key, in memory", startOwners},
	{"entry on the log, batched (plain)", startLogClaims(0)},
	{"the same, 5 ms per append and read", startLogClaims(5 * time.Millisecond)},
}

// Compare measures each store with 8 entry VMs, at one and at eight concurrent
// requests for each of them. One run has the given number of requests in total.
// Compare returns an error if a claim is not granted.
func Compare(ctx context.Context, runs, requests int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      fmt.Sprintf("claims and reports over %d entry VMs, %d requests", vms, requests),
		Labels:     []string{"way", "at a time"},
		Quantities: []string{"p50 ms", "p99 ms", "claims a second", "appends a second"},
	}
	for _, w := range claimStores {
		for _, callers := range []int{vms, 8 * vms} {
			samples, err := figure.Collect(runs, func(uint64) ([]float64, error) {
				return w.measure(ctx, callers, requests)
			})
			if err != nil {
				return nil, errors.Wrap(err, w.name)
			}
			table.Add(samples, w.name, strconv.Itoa(callers))
		}
	}
	return []figure.Table{table}, nil
}

func (w claimStore) measure(ctx context.Context, callers, requests int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	claimers, appends, err := w.start(ctx)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	took, err := claimAll(ctx, claimers, callers, requests)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	slices.Sort(took)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return []float64{
		ms(took[len(took)/2]), ms(took[len(took)*99/100]),
		float64(requests) / seconds, float64(appends()) / seconds,
	}, nil
}

// claimAll claims and reports a new key for each request, by concurrent callers
// that each have one claim at a time. It returns the duration of each claim.
func claimAll(ctx context.Context, claimers []entrypeer.Claimer, callers, requests int) ([]time.Duration, error) {
	var next atomic.Int64
	took := make([]time.Duration, requests)
	failed := make(chan error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		claimer := claimers[i%len(claimers)]
		wg.Go(func() {
			for n := next.Add(1) - 1; n < int64(requests); n = next.Add(1) - 1 {
				var err error
				if took[n], err = claimOne(ctx, claimer); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return took, nil
	}
}

func claimOne(ctx context.Context, claimer entrypeer.Claimer) (time.Duration, error) {
	req := claim.Request{Key: claim.Key{Service: service, ID: ulid.Make()}}
	began := time.Now()
	d := claimer.Claim(ctx, req)
	took := time.Since(began)
	if d.Verdict != claim.Granted {
		return 0, errors.Errorf("claim was not granted, verdict %v: %s", d.Verdict, d.Reason)
	}
	claimer.Report(claim.Result{Key: req.Key, Attempt: d.Attempt, End: claim.EndRan})
	return took, nil
}
