package owner

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// carryOut sends orders, all beside the loop; the machine bounds how many are in
// flight to one worker, so their number is bounded too.
func (o *Owner) carryOut(ctx context.Context, orders scheduler.Orders) {
	for _, d := range orders.Decisions {
		o.logDecision(d)
	}
	for _, h := range orders.Polls {
		o.calls.do(ctx, func() { o.hold(ctx, h) })
	}
	for _, s := range orders.Stops {
		o.calls.do(ctx, func() { o.stop(ctx, s) })
	}
	for _, s := range orders.Starts {
		o.calls.do(ctx, func() { o.start(ctx, s) })
	}
	for _, p := range orders.Throttles {
		o.calls.do(ctx, func() { o.pace(ctx, p) })
	}
	for _, a := range orders.AdviceRequests {
		o.calls.do(ctx, func() { o.advise(ctx, a) })
	}
	if orders.Write != nil {
		o.unfinished = *orders.Write
		o.calls.do(ctx, func() { o.write(ctx, *orders.Write) })
	}
}

func (o *Owner) hold(ctx context.Context, h scheduler.PollOrder) {
	sent := time.Now()
	held, answer := o.deps.Workers.Hold(ctx, h.Worker, h.Poll)
	if h.Poll.MaxWait == 0 {
		o.deps.Metrics.order("hold", answer, sent)
	}
	result := scheduler.PollResult{Worker: h.Worker.ID, Token: h.Poll.Token, SentAt: sent, Extra: h.Extra, Report: held, Answer: answer}
	o.send(ctx, func(c *scheduler.Core, now time.Time) { c.HandlePollResult(result, now) })
}

func (o *Owner) start(ctx context.Context, s scheduler.StartOrder) {
	sent := time.Now()
	answer := o.deps.Workers.Start(ctx, s.Worker, s.Start)
	o.deps.Metrics.order("start", answer, sent)
	result := scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: answer}
	o.send(ctx, func(c *scheduler.Core, now time.Time) { c.HandleStartResult(result, now) })
}

func (o *Owner) stop(ctx context.Context, s scheduler.StopOrder) {
	sent := time.Now()
	answer := o.deps.Workers.Stop(ctx, s.Worker, s.Task, s.Run, s.Token)
	o.deps.Metrics.order("stop", answer, sent)
	result := scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Token: s.Token, Answer: answer}
	o.send(ctx, func(c *scheduler.Core, now time.Time) { c.HandleStopResult(result, now) })
}

func (o *Owner) pace(ctx context.Context, p scheduler.ThrottleOrder) {
	sent := time.Now()
	answer := o.deps.Workers.Pace(ctx, p.Worker, p.Task, p.Run, p.SpeedPercent, p.Token)
	o.deps.Metrics.order("pace", answer, sent)
	result := scheduler.OrderResult{Worker: p.Worker.ID, Task: p.Task, Run: p.Run, Token: p.Token, Answer: answer}
	o.send(ctx, func(c *scheduler.Core, now time.Time) { c.HandleThrottleResult(result, now) })
}

func (o *Owner) advise(ctx context.Context, a scheduler.AdviceOrder) {
	sent := time.Now()
	tickets, valid, err := o.deps.Adviser.Ask(ctx, a.Step, a.Workers)
	result := scheduler.AdviceResult{Order: a, SentAt: sent, OK: err == nil, ValidFor: valid, Tickets: map[string]string{}}
	if err != nil {
		o.logger.Warn("no advice", "step", a.Step.StepName(), "error", err)
	}
	for _, t := range tickets {
		result.Tickets[t.Worker] = t.Text
	}
	o.send(ctx, func(c *scheduler.Core, now time.Time) { c.HandleAdviceResult(result, now) })
}

// write stores records, and tries until it is known whether they are: a write
// whose answer was lost is sent again under its sequence, which has no second
// effect.
func (o *Owner) write(ctx context.Context, w scheduler.WriteOrder) {
	records, err := joblog.Encode(w.Records, w.DeleteJobs)
	if err != nil {
		o.logger.Error("records can't be encoded", "error", err)
		o.send(ctx, func(c *scheduler.Core, _ time.Time) { c.StepDown("records can't be encoded") })
		return
	}
	for ctx.Err() == nil {
		status, err := o.log.Write(ctx, o.epoch, w.Sequence, records)
		switch status {
		case platform.StoreOK:
			o.send(ctx, func(c *scheduler.Core, _ time.Time) { c.HandleWriteResult() })
			return
		case platform.StoreFenced, platform.StoreSequence, platform.StoreInvalid:
			reason := "write " + status.String() + ": " + err.Error()
			o.send(ctx, func(c *scheduler.Core, _ time.Time) { c.StepDown(reason) })
			return
		}
		o.logger.Debug("ends can't be stored yet", "sequence", w.Sequence, "status", status.String(), "error", err)
		wait.Pause(ctx, writeRetry)
	}
}

// finishWrite stores the write that was under way when the owner was stopped, as
// the next one must follow its sequence. Storing it twice has no second effect.
func (o *Owner) finishWrite(ctx context.Context) bool {
	records, err := joblog.Encode(o.unfinished.Records, o.unfinished.DeleteJobs)
	if err != nil {
		o.logger.Error("records can't be encoded", "error", err)
		return false
	}
	status, err := o.log.Write(ctx, o.epoch, o.unfinished.Sequence, records)
	if status != platform.StoreOK {
		o.logger.Warn("last write is not finished, no report of the runs is left", "status", status.String(), "error", err)
	}
	return status == platform.StoreOK
}

// logDecision writes one line for a decision. Single starts are lines for debugging:
// there are thousands a second, and even a line that is left out has its fields made.
func (o *Owner) logDecision(d scheduler.Decision) {
	if d.Verb == "placed" && !o.logger.IsDebug() {
		return
	}
	args := []any{"reason", d.Reason, "age_ms", d.Age.Milliseconds()}
	if d.Job != "" {
		args = append(args, "job", string(d.Job))
	}
	if d.Queue != "" {
		args = append(args, "queue", d.Queue)
	}
	if d.Task != "" {
		args = append(args, "task", d.Task, "run", d.Run)
	}
	if d.Worker != "" {
		args = append(args, "worker", d.Worker)
	}
	switch {
	case d.AlwaysLogged:
		o.logger.Warn(d.Verb, args...)
	case d.Verb == "placed":
		o.logger.Debug(d.Verb, args...)
	default:
		o.logger.Info(d.Verb, args...)
	}
}
