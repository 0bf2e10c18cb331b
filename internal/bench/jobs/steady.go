package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
)

const (
	steadyPools    = 94
	steadyStewards = 8
	steadyTick     = 200 * time.Millisecond
	// warmUpSteps are two minutes of steps, after which the status of every task
	// is known.
	warmUpSteps = 600
	// steadyTime is how long steps are measured, in real time.
	steadyTime = 2 * time.Second
)

// Steady measures the job runner of one of eight stewards in steady state: 94
// pools, two running jobs on each worker with a lease of 30 s and a run time of
// an hour, and a step every 200 ms of a virtual clock. The results are the
// processor time as a share of one core and the calls to the platform, both per
// second of the virtual clock.
func Steady(runs int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      "one of eight stewards in steady state, two tasks a worker",
		Labels:     []string{"workers"},
		Quantities: []string{"share of a core, %", "calls to the platform a second"},
	}
	for _, workers := range []int{1000, 4000, 16000} {
		samples, err := figure.Collect(runs, func(uint64) ([]float64, error) { return steady(workers) })
		if err != nil {
			return nil, err
		}
		table.Add(samples, strconv.Itoa(workers))
	}
	return []figure.Table{table}, nil
}

func steady(workers int) ([]float64, error) {
	st, now := runningFleet(workers, steadyPools, 0)
	ids, calls := 0, 0
	var rankErr error
	core := jobrunner.NewCore(jobrunner.CoreConfig{
		Node:  "node-0",
		NewID: func() string { ids++; return fmt.Sprint("id-", ids) },
		Rank: func(pool string) int {
			n, err := strconv.Atoi(strings.TrimPrefix(pool, "pool-"))
			if err != nil {
				rankErr = errors.Wrap(err, "parse the name of a pool")
			}
			return n % steadyStewards // each steward owns an eighth of the pools
		},
	}, now)
	step := func() {
		now = now.Add(steadyTick)
		for _, a := range core.Step(st, now, now) {
			calls++
			core.Done(platformReply(st, a), now)
		}
	}
	for range warmUpSteps {
		step()
	}
	calls = 0
	began, steps := time.Now(), 0
	for time.Since(began) < steadyTime {
		step()
		steps++
	}
	seconds := float64(steps) * steadyTick.Seconds()
	return []float64{100 * time.Since(began).Seconds() / seconds, float64(calls) / seconds}, rankErr
}

// platformReply returns the platform's reply to an action while every task runs.
func platformReply(st *ledger.State, a jobrunner.Action) jobrunner.Result {
	res := jobrunner.Result{Action: a}
	if a.Verb == jobrunner.VerbStatus {
		for _, j := range st.WorkerJobs(a.Worker) {
			res.Statuses = append(res.Statuses, platform.TaskStatus{
				ID: jobrunner.TaskID(j.ID, j.Attempt), Worker: a.Worker, Phase: platform.TaskRunning,
			})
		}
	}
	return res
}
