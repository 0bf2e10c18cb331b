// Command yuccadrift-bench measures the system's decisions, each beside a plain
// baseline in the same run, and prints the median and range over several seeds.
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
		Usage: "measure each decision beside a plain baseline",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "runs of each policy, by seeds from 0", Value: 7},
			&cli.StringFlag{Name: "output", Usage: "table, json or csv", Value: string(figure.FormatTable)},
			&cli.IntFlag{Name: "requests", Usage: "requests of a run of claims or path", Value: 4000},
			&cli.FloatSliceFlag{Name: "load", Usage: "multiples of the load that fills all slots, for overload (repeatable)", Value: []float64{0.5, 1, 2, 5}},
			&cli.StringFlag{Name: "examples", Usage: "`DIRECTORY` of the example deployments", Value: "examples"},
		},
		Commands: []*cli.Command{
			measurement("waves", "maintenance waves: planned against batches, in simulated time", overDeployments(waves.Policies)),
			measurement("buffer", "free VMs: a shared reserve against buffers of the pools", overDeployments(waves.Reserve)),
			measurement("moves", "patience with changing documents against none", overDeployments(waves.Patience)),
			measurement("turns", "the order of a wave's turns where reboot places are few", bySeeds(waves.FlowShop)),
			measurement("jobs", "placement, correction, quarantine and settling against first fit, in simulated time", bySeeds(jobs.Replay)),
			measurement("batch", "Min-Min against plain orders for a batch on unequal workers", bySeeds(jobs.Batch)),
			measurement("state", "state, planning and the platform's list as the fleet grows", bySeeds(state.Slopes)),
			measurement("history", "the fold of a busy fleet's history, and its snapshots", bySeeds(state.History)),
			measurement("rounds", "planning rounds as the fleet grows", bySeeds(planning.Rounds)),
			measurement("placement", "placement as the fleet grows", bySeeds(jobs.Speed)),
			measurement("steps", "a steward's care for running tasks as the fleet grows", bySeeds(jobs.Steady)),
			measurement("scrape", "a scrape of the metrics with a line for each service", bySeeds(requests.Scrape)),
			measurement("claims", "claims on request keys: owners in memory against the log", compareClaims),
			measurement("overload", "backend servers' slots: two choices against fixed parts, at several loads", overload),
			measurement("path", "a call through an entry against a direct one", path),
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
