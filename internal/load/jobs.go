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

// JobPlan is a load of jobs.
type JobPlan struct {
	Targets  []string // callers' addresses of nodes
	Host     string   // of the queues
	Queues   []string // path prefixes
	Jobs     int
	Rate     float64 // jobs a second
	Takes    time.Duration
	Patience time.Duration // for all jobs to be completed, after the last was sent
	Seed     uint64
}

// JobReport is what came of it.
type JobReport struct {
	Sent, Taken, Refused, Completed, Open int
	Slowest                               time.Duration // from the first try until shown as completed
}

// Times of a caller of jobs.
const (
	jobCallTimeout = 4 * time.Second
	jobRetry       = 200 * time.Millisecond
	jobPoll        = 50 * time.Millisecond
	jobTries       = 20
)

// maxWidth is how many tasks the first step of a job has at most.
const maxWidth = 5

// spec is a job of two steps.
func (p JobPlan) spec(width int) workload.Spec {
	first := workload.Step{Count: width, Resources: workload.Resources{CPU: 1000, MemoryMB: 500}, EstimateMS: p.Takes.Milliseconds()}
	second := workload.Step{Count: 1, Resources: workload.Resources{CPU: 2000, MemoryMB: 500}, EstimateMS: p.Takes.Milliseconds(), DependsOn: []int{0}}
	return workload.Spec{Payload: p.Takes.String(), Steps: []workload.Step{first, second}}
}

// jobCaller submits jobs and asks for them.
type jobCaller struct {
	plan   JobPlan
	client *http.Client

	mu     sync.Mutex
	report JobReport
}

// RunJobs sends jobs and waits until each is shown as completed, asking another
// node with the same ID after anything but an answer that it was taken.
func RunJobs(ctx context.Context, plan JobPlan) (JobReport, error) {
	if len(plan.Targets) == 0 || len(plan.Queues) == 0 || plan.Jobs < 1 || plan.Rate <= 0 {
		return JobReport{}, errors.New("a load of jobs needs targets, queues, jobs and a rate")
	}
	c := &jobCaller{plan: plan, client: &http.Client{Timeout: jobCallTimeout}}
	rng := rand.New(rand.NewPCG(plan.Seed, 1))
	var jobs sync.WaitGroup
	for i := range plan.Jobs {
		id := fmt.Sprintf("%016x", rng.Uint64())
		queue := plan.Queues[i%len(plan.Queues)]
		body, err := platform.EncodeJob(plan.spec(1 + rng.IntN(maxWidth)))
		if err != nil {
			return c.report, err
		}
		jobs.Go(func() { c.job(ctx, i, queue+id, body) })
		if err := wait.Sleep(ctx, time.Duration(float64(time.Second)/plan.Rate)); err != nil {
			break
		}
	}
	jobs.Wait()
	return c.report, ctx.Err()
}

// job takes one job from its submission to its end.
func (c *jobCaller) job(ctx context.Context, i int, path string, body []byte) {
	began := time.Now()
	taken := c.submit(ctx, i, path, body)
	c.count(func(r *JobReport) {
		r.Sent++
		if taken {
			r.Taken++
		} else {
			r.Refused++
		}
	})
	if !taken {
		return
	}
	done := c.await(ctx, i, path)
	took := time.Since(began)
	c.count(func(r *JobReport) {
		if !done {
			r.Open++
			return
		}
		r.Completed++
		r.Slowest = max(r.Slowest, took)
	})
}

func (c *jobCaller) count(add func(r *JobReport)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.report)
}

func (c *jobCaller) submit(ctx context.Context, i int, path string, body []byte) bool {
	for try := range jobTries {
		if status, _ := c.call(ctx, http.MethodPost, i+try, path, body); status == http.StatusOK {
			return true
		}
		if wait.Sleep(ctx, jobRetry) != nil {
			return false
		}
	}
	return false
}

func (c *jobCaller) await(ctx context.Context, i int, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.plan.Patience)
	defer cancel()
	for try := i; ctx.Err() == nil; try++ {
		status, text := c.call(ctx, http.MethodGet, try, path, nil)
		if status == http.StatusOK && bytes.Equal(text, platform.EncodeState(workload.Completed)) {
			return true
		}
		wait.Pause(ctx, jobPoll)
	}
	return false
}

// call sends one call; the status is 0 without an answer.
func (c *jobCaller) call(ctx context.Context, method string, n int, path string, body []byte) (int, []byte) {
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
