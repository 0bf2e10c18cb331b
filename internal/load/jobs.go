package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// JobPlan describes a load of jobs.
type JobPlan struct {
	Targets           []string // callers' addresses of nodes (IP:port)
	Host              string   // Host header of the queues
	Queues            []string // path prefixes of the queues; a job's ID is appended
	Jobs              int
	Rate              float64 // jobs per second
	TaskDuration      time.Duration
	CompletionTimeout time.Duration // for each job, from its acceptance
	Seed              uint64
}

// JobReport is the result of a load of jobs.
type JobReport struct {
	Sent, Accepted, Refused, Completed, Incomplete int
	Slowest                                        time.Duration // longest time from the first attempt to submit a job until a node returned its state as completed
}

// Timeouts, intervals and attempts of calls.
const (
	jobCallTimeout      = 4 * time.Second
	submitRetryInterval = 200 * time.Millisecond
	statusPollInterval  = 50 * time.Millisecond
	maxSubmitAttempts   = 20
)

// maxFirstStepTasks bounds the number of tasks in the first step of a job.
const maxFirstStepTasks = 5

// jobSpec returns a job of two steps: width tasks, then one task that depends on
// them.
func (p JobPlan) jobSpec(width int) workload.Spec {
	first := workload.Step{Count: width, Resources: workload.Resources{CPU: 1000, MemoryMB: 500}, EstimateMS: p.TaskDuration.Milliseconds()}
	second := workload.Step{Count: 1, Resources: workload.Resources{CPU: 2000, MemoryMB: 500}, EstimateMS: p.TaskDuration.Milliseconds(), DependsOn: []int{0}}
	return workload.Spec{Payload: p.TaskDuration.String(), Steps: []workload.Step{first, second}}
}

// jobClient submits jobs and polls their states.
type jobClient struct {
	plan   JobPlan
	client *http.Client

	mu     sync.Mutex
	report JobReport
}

// RunJobs submits jobs and waits until each is completed, refused or not completed
// within plan.CompletionTimeout. A job that no node has accepted yet is submitted
// again to the next node, with the same ID. RunJobs returns an error if plan is
// incomplete or ctx ends.
func RunJobs(ctx context.Context, plan JobPlan) (JobReport, error) {
	if len(plan.Targets) == 0 || len(plan.Queues) == 0 || plan.Jobs < 1 || plan.Rate <= 0 {
		return JobReport{}, errors.New("a load of jobs needs targets, queues, jobs and a rate")
	}
	c := &jobClient{plan: plan, client: &http.Client{Timeout: jobCallTimeout}}
	rng := rand.New(rand.NewPCG(plan.Seed, 1))
	var jobs sync.WaitGroup
	for i := range plan.Jobs {
		id := fmt.Sprintf("%016x", rng.Uint64())
		queue := plan.Queues[i%len(plan.Queues)]
		body, err := platform.EncodeJob(plan.jobSpec(1 + rng.IntN(maxFirstStepTasks)))
		if err != nil {
			return c.report, err
		}
		jobs.Go(func() { c.runJob(ctx, i, queue+id, body) })
		if err := wait.Sleep(ctx, time.Duration(float64(time.Second)/plan.Rate)); err != nil {
			break
		}
	}
	jobs.Wait()
	return c.report, ctx.Err()
}

// runJob submits one job, waits for its completion and counts the result.
func (c *jobClient) runJob(ctx context.Context, i int, path string, body []byte) {
	startedAt := time.Now()
	accepted := c.submit(ctx, i, path, body)
	c.update(func(r *JobReport) {
		r.Sent++
		if accepted {
			r.Accepted++
		} else {
			r.Refused++
		}
	})
	if !accepted {
		return
	}
	done := c.awaitCompletion(ctx, i, path)
	took := time.Since(startedAt)
	c.update(func(r *JobReport) {
		if !done {
			r.Incomplete++
			return
		}
		r.Completed++
		r.Slowest = max(r.Slowest, took)
	})
}

func (c *jobClient) update(change func(r *JobReport)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.report)
}

func (c *jobClient) submit(ctx context.Context, i int, path string, body []byte) bool {
	for try := range maxSubmitAttempts {
		if status, _ := c.call(ctx, http.MethodPost, i+try, path, body); status == http.StatusOK {
			return true
		}
		if wait.Sleep(ctx, submitRetryInterval) != nil {
			return false
		}
	}
	return false
}

func (c *jobClient) awaitCompletion(ctx context.Context, i int, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.plan.CompletionTimeout)
	defer cancel()
	for try := i; ctx.Err() == nil; try++ {
		status, text := c.call(ctx, http.MethodGet, try, path, nil)
		if status == http.StatusOK && bytes.Equal(text, platform.EncodeState(workload.Completed)) {
			return true
		}
		wait.Pause(ctx, statusPollInterval)
	}
	return false
}

// call sends one request to the n-th target, modulo their number, and returns
// the status and body of the answer. The status is 0 without a complete answer.
func (c *jobClient) call(ctx context.Context, method string, n int, path string, body []byte) (int, []byte) {
	target := c.plan.Targets[n%len(c.plan.Targets)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = c.plan.Host
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}
