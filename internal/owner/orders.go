package owner

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

// execute logs the decisions and carries out the orders of a step of the core without
// blocking the loop. The core bounds the orders in flight to each worker, and so the goroutines here.
func (o *Owner) execute(ctx context.Context, orders scheduler.Orders) {
	for _, decision := range orders.Decisions {
		o.logDecision(decision)
	}
	for _, p := range orders.Polls {
		o.executor.run(ctx, func() { o.poll(ctx, p) })
	}
	for _, s := range orders.Stops {
		o.executor.run(ctx, func() { o.stop(ctx, s) })
	}
	for _, s := range orders.Starts {
		o.executor.run(ctx, func() { o.start(ctx, s) })
	}
	for _, p := range orders.Throttles {
		o.executor.run(ctx, func() { o.throttle(ctx, p) })
	}
	for _, a := range orders.AdviceRequests {
		o.executor.run(ctx, func() { o.requestTickets(ctx, a) })
	}
	for _, l := range orders.LoanRequests {
		o.executor.run(ctx, func() { o.requestLoan(ctx, l) })
	}
	for _, r := range orders.LoanReplies {
		o.answerLoan(r)
	}
	if orders.WorkerCheck != nil {
		o.executor.run(ctx, func() { o.checkWorkers(ctx, *orders.WorkerCheck) })
	}
	if orders.Write != nil {
		o.lastWrite = *orders.Write
		o.executor.run(ctx, func() { o.write(ctx, *orders.Write) })
	}
}

func (o *Owner) poll(ctx context.Context, order scheduler.PollOrder) {
	sentAt := time.Now()
	report, answer := o.deps.Workers.Poll(ctx, order.Worker, order.Poll)
	if order.Poll.MaxWait == 0 {
		o.deps.Metrics.observeOrder("hold", answer, sentAt)
	}
	result := scheduler.PollResult{Worker: order.Worker.ID, Token: order.Poll.Token, SentAt: sentAt, Extra: order.Extra, Probe: order.Probe, AckedUpTo: order.Poll.AckedUpTo, Report: report, Answer: answer}
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { c.HandlePollResult(result, now) })
}

func (o *Owner) start(ctx context.Context, s scheduler.StartOrder) {
	sentAt := time.Now()
	answer := o.deps.Workers.Start(ctx, s.Worker, s.Start)
	o.deps.Metrics.observeOrder("start", answer, sentAt)
	result := scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: answer}
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { c.HandleStartResult(result, now) })
}

func (o *Owner) stop(ctx context.Context, s scheduler.StopOrder) {
	sentAt := time.Now()
	answer := o.deps.Workers.Stop(ctx, s.Worker, s.Task, s.Run, s.Token)
	o.deps.Metrics.observeOrder("stop", answer, sentAt)
	result := scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Token: s.Token, Answer: answer}
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { c.HandleStopResult(result, now) })
}

func (o *Owner) throttle(ctx context.Context, p scheduler.ThrottleOrder) {
	sentAt := time.Now()
	answer := o.deps.Workers.Throttle(ctx, p.Worker, p.Task, p.Run, p.SpeedPercent, p.Token)
	o.deps.Metrics.observeOrder("pace", answer, sentAt)
	result := scheduler.OrderResult{Worker: p.Worker.ID, Task: p.Task, Run: p.Run, Token: p.Token, Answer: answer}
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { c.HandleThrottleResult(result, now) })
}

func (o *Owner) requestTickets(ctx context.Context, a scheduler.AdviceOrder) {
	sentAt := time.Now()
	tickets, valid, err := o.deps.Adviser.RequestTickets(ctx, a.Step, a.Workers)
	result := scheduler.AdviceResult{Order: a, SentAt: sentAt, OK: err == nil, ValidFor: valid, Tickets: map[string]string{}}
	if err != nil {
		o.logger.Warn("advice request failed", "step", a.Step.StepName(), "error", err)
	}
	for _, t := range tickets {
		result.Tickets[t.Worker] = t.Text
	}
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { c.HandleAdviceResult(result, now) })
}

func (o *Owner) checkWorkers(ctx context.Context, order scheduler.WorkerCheckOrder) {
	vms, err := o.deps.VMs.List(ctx)
	if err != nil {
		o.logger.Warn("VMs can't be listed, tasks of lost workers wait", "error", err)
		vms = nil // also a partial list, which may lack a worker's VM
	}
	ended := endedWorkers(order.Workers, vms)
	o.enqueue(ctx, func(c *scheduler.Core, now time.Time) { c.HandleWorkerCheck(ended, now) })
}

// logDecision logs a decision. Placements other than a job's first are logged at level
// debug: there are thousands a second, so their fields are built only if they are written.
func (o *Owner) logDecision(decision scheduler.Decision) {
	if decision.Verb == "placed" && !o.logger.IsDebug() {
		return
	}
	args := []any{"reason", decision.Reason, "age_ms", decision.Age.Milliseconds()}
	if decision.Job != "" {
		args = append(args, "job", string(decision.Job))
	}
	if decision.Queue != "" {
		args = append(args, "queue", decision.Queue)
	}
	if decision.Workspace != "" {
		args = append(args, "workspace", decision.Workspace)
	}
	if decision.Task != "" {
		args = append(args, "task", decision.Task, "run", decision.Run)
	}
	if decision.Rack != "" {
		args = append(args, "rack", decision.Rack)
	}
	if decision.Worker != "" {
		args = append(args, "worker", decision.Worker)
	}
	switch {
	case decision.AlwaysLogged:
		o.logger.Warn(decision.Verb, args...)
	case decision.Verb == "placed":
		o.logger.Debug(decision.Verb, args...)
	default:
		o.logger.Info(decision.Verb, args...)
	}
}
