// Command yuccadrift-bench compares the system's decisions with plain baselines in
// the same run, and prints the median and range over several seeds.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/bench/claims"
	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/bench/jobs"
	"github.com/yuccadrift/yuccadrift/internal/bench/planning"
	"github.com/yuccadrift/yuccadrift/internal/bench/requests"
	"github.com/yuccadrift/yuccadrift/internal/bench/state"
	"github.com/yuccadrift/yuccadrift/internal/bench/waves"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "yuccadrift-bench",
		Usage: "compare the system's decisions with plain baselines",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "number of runs of each measurement, with the seeds from 0", Value: 7},
			&cli.StringFlag{Name: "output", Usage: "output format: table, json or csv", Value: string(figure.FormatTable)},
			&cli.IntFlag{Name: "requests", Usage: "number of requests in a run of claims or path", Value: 4000},
			&cli.FloatSliceFlag{Name: "load", Usage: "load of overload, as a multiple of the load that uses all slots (repeatable)", Value: []float64{0.5, 1, 2, 5}},
			&cli.StringFlag{Name: "examples", Usage: "`DIRECTORY` of the example deployments", Value: "examples"},
		},
		Commands: []*cli.Command{
			measurement("waves", "maintenance waves: planned compared with batches, in simulated time", overDeployments(waves.Policies)),
			measurement("buffer", "free VMs: a shared reserve compared with a buffer for each pool", overDeployments(waves.Reserve)),
			measurement("moves", "changing documents: planning with and without patience", overDeployments(waves.ChangingDocuments)),
			measurement("turns", "the order of a wave's turns when reboot places are few", bySeeds(waves.FlowShop)),
			measurement("jobs", "placement, correction, quarantine and waiting for cancelled batches compared with first fit, in simulated time", bySeeds(jobs.Replay)),
			measurement("batch", "Min-Min compared with plain orders, for a batch on workers of different speeds", bySeeds(jobs.Batch)),
			measurement("state", "folded state, planning and the platform's VM list at several fleet sizes", bySeeds(state.Slopes)),
			measurement("history", "the fold of a busy fleet's history, and its snapshots, at several fleet sizes", bySeeds(state.History)),
			measurement("rounds", "planning rounds at several fleet sizes", bySeeds(planning.Rounds)),
			measurement("placement", "placement of jobs at several fleet sizes", bySeeds(jobs.Speed)),
			measurement("steps", "a steward's job runner in steady state at several fleet sizes", bySeeds(jobs.Steady)),
			measurement("scrape", "a scrape of the metrics with series for each service", bySeeds(requests.Scrape)),
			measurement("claims", "claims on request keys: owners in memory compared with the log", compareClaims),
			measurement("overload", "sharing of backend servers' slots: two choices compared with fixed parts, at several loads", overload),
			measurement("path", "calls through an entry compared with direct calls", path),
		},
	}
}

func measurement(name, usage string, run func(context.Context, *cli.Command) ([]figure.Table, error)) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: func(ctx context.Context, cmd *cli.Command) error {
		tables, err := run(ctx, cmd)
		if err != nil {
			return err
		}
		return figure.Write(os.Stdout, figure.Format(cmd.String("output")), tables)
	}}
}

func overDeployments(run func([]deployment.Deployment, int) ([]figure.Table, error)) func(context.Context, *cli.Command) ([]figure.Table, error) {
	return func(_ context.Context, cmd *cli.Command) ([]figure.Table, error) {
		deployments, err := deployment.Examples(cmd.String("examples"))
		if err != nil {
			return nil, err
		}
		return run(deployments, cmd.Int("seeds"))
	}
}

func bySeeds(run func(int) ([]figure.Table, error)) func(context.Context, *cli.Command) ([]figure.Table, error) {
	return func(_ context.Context, cmd *cli.Command) ([]figure.Table, error) { return run(cmd.Int("seeds")) }
}

func compareClaims(ctx context.Context, cmd *cli.Command) ([]figure.Table, error) {
	return claims.Compare(ctx, cmd.Int("seeds"), cmd.Int("requests"))
}

func overload(ctx context.Context, cmd *cli.Command) ([]figure.Table, error) {
	return requests.Overload(ctx, cmd.FloatSlice("load"), cmd.Int("seeds"))
}

func path(ctx context.Context, cmd *cli.Command) ([]figure.Table, error) {
	return requests.Path(ctx, cmd.Int("seeds"), cmd.Int("requests"))
}
