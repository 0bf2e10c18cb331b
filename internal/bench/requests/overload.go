package requests

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/load"
	"github.com/yuccadrift/yuccadrift/internal/routing"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Parameters of the overload measurement: 8 entry VMs in front of 8 backend
// servers with 8 slots each. At load 1, requests use all slots, 70 % of them for
// quick requests.
const (
	overloadEntries  = 8
	overloadBackends = 8
	overloadSlots    = 8 * overloadBackends
	overloadInFlight = 3000
	quickShare       = 0.7
	quickWork        = 50 * time.Millisecond
	longWork         = 2 * time.Second
	overloadReply    = 500 // bytes
	overloadTime     = 6 * time.Second
	overloadWarmUp   = 2 * time.Second
	// slowFactor is how many times longer the slow backend server takes.
	slowFactor = 5
)

// sharingModes are the ways to share the backend servers' slots among the entry
// VMs. Fixed parts are the plain baseline.
var sharingModes = []struct {
	name string
	way  routing.Sharing
}{{"fixed (plain)", routing.SharingFixed}, {"choices", routing.SharingAny}}

// overloadCase is one case of the overload measurement.
type overloadCase struct {
	sharing  routing.Sharing
	multiple float64 // of the load that uses all slots
	faults   bool
}

// Overload measures the goodput and latency of quick requests while long requests
// use the same backend servers, for each way to share slots. It does so with
// healthy backend servers, and with one that is 5 times slower and another that
// fails every request immediately.
func Overload(ctx context.Context, loads []float64, seeds int) ([]figure.Table, error) {
	var tables []figure.Table
	for _, faulty := range []bool{false, true} {
		table := figure.Table{
			Title:  map[bool]string{false: "all backend servers healthy", true: "one backend server slow by 5, one that fails at once"}[faulty],
			Labels: []string{"load", "sharing"},
			Quantities: []string{
				"quick answered, a second", "of quick sent %", "errors %", "quick p50 ms", "quick p99 ms", "not-run p99 ms",
				"long answered, a second", "refusals by backend servers", "connections they refused",
			},
		}
		for _, multiple := range loads {
			for _, sharing := range sharingModes {
				o := overloadCase{sharing.way, multiple, faulty}
				samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) { return o.run(ctx, seed+1) })
				if err != nil {
					return nil, err
				}
				table.Add(samples, fmt.Sprint(multiple), sharing.name)
			}
		}
		tables = append(tables, table)
	}
	return tables, nil
}

// run measures the case once. It returns an error if a caller got a wrong answer.
func (o overloadCase) run(ctx context.Context, seed uint64) ([]float64, error) {
	r, err := Open(ctx, Options{
		Zones: []string{"a", "b"}, Backends: overloadBackends, Entries: overloadEntries,
		Sharing: o.sharing, Claims: LocalClaims(), Logger: hclog.NewNullLogger(),
	})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if o.faults {
		if err := r.injectFaults(ctx); err != nil {
			return nil, err
		}
	}
	report, err := load.Run(ctx, o.plan(r, seed))
	if err != nil {
		return nil, err
	}
	if wrong := report.Wrong(); wrong > 0 {
		return nil, errors.Errorf("callers got %d wrong answers", wrong)
	}
	return reportValues(report, r.Server.Counters(false).Backends), nil
}

func (o overloadCase) plan(r *Rig, seed uint64) load.Plan {
	plan := load.Plan{Duration: overloadTime, WarmUp: overloadWarmUp, InFlight: overloadInFlight, Seed: seed}
	for _, e := range r.Entries {
		plan.Targets = append(plan.Targets, e.Target)
	}
	rate := func(share float64, work time.Duration) float64 {
		return o.multiple * share * overloadSlots / work.Seconds()
	}
	plan.Routes = []load.Route{
		{Name: "quick", Path: "/booking/lookup", Rate: rate(quickShare, quickWork), Work: quickWork, ReplyBytes: overloadReply},
		{Name: "long", Path: "/booking/audit", Rate: rate(1-quickShare, longWork), Work: longWork, ReplyBytes: overloadReply},
	}
	return plan
}

// injectFaults slows down one backend server and makes another one fail every
// request immediately.
func (r *Rig) injectFaults(ctx context.Context) error {
	list, err := r.Platform.List(ctx)
	if err != nil {
		return err
	}
	_, err = r.Platform.ActivateFaults(
		standin.Fault{Kind: standin.BackendSlow, Target: list.VMs[0].ID, Factor: slowFactor},
		standin.Fault{Kind: standin.BackendError, Target: list.VMs[1].ID},
	)
	return err
}

func reportValues(report load.Report, backends standin.BackendCounters) []float64 {
	quick, long := report.Route("quick"), report.Route("long")
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(1, quick.Sent)) }
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	return []float64{
		quick.GoodPerSecond, percent(quick.Good), percent(quick.Failed + quick.Unknown + quick.Broken),
		ms(quick.P50), ms(quick.P99), ms(quick.P99NotRun),
		long.GoodPerSecond, float64(backends.Refused), float64(backends.RefusedConnections),
	}
}
