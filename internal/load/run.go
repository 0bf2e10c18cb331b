package load

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// attemptTimeout bounds one attempt.
const attemptTimeout = 5 * time.Minute

// retryInterval is the time between attempts, in addition to Retry-After.
const retryInterval = 20 * time.Millisecond

// Run sends the requests of the plan and waits for all answers. It returns an
// error if the plan is invalid or ctx ends.
func Run(ctx context.Context, p Plan) (Report, error) {
	if err := p.Check(); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: p.InFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{plan: p, client: &http.Client{Transport: transport}, slots: make(chan struct{}, p.InFlight)}
	report := Report{Seconds: (p.Duration - p.WarmUp).Seconds()}
	var arrivals sync.WaitGroup
	recorders := make([]*recorder, len(p.Routes))
	for i, route := range p.Routes {
		recorders[i] = newRecorder()
		arrivals.Go(func() { g.generateArrivals(ctx, route, recorders[i], rand.New(rand.NewPCG(p.Seed, uint64(i)))) })
	}
	arrivals.Wait()
	g.requests.Wait()
	for i, route := range p.Routes {
		report.Routes = append(report.Routes, recorders[i].report(route.Name, report.Seconds))
	}
	return report, ctx.Err()
}

type generator struct {
	plan     Plan
	client   *http.Client
	slots    chan struct{}
	requests sync.WaitGroup
}

// generateArrivals starts the route's requests at the times of a Poisson process,
// whether or not earlier requests were answered.
func (g *generator) generateArrivals(ctx context.Context, route Route, rec *recorder, rnd *rand.Rand) {
	if route.Rate == 0 {
		return
	}
	startedAt := time.Now()
	due := time.Duration(0)
	for n := 0; ; n++ {
		due += time.Duration(rnd.ExpFloat64() / route.Rate * float64(time.Second))
		if due > g.plan.Duration || !sleepUntil(ctx, startedAt.Add(due)) {
			return
		}
		dueAt, counted := startedAt.Add(due), due >= g.plan.WarmUp
		target := g.plan.Targets[rnd.IntN(len(g.plan.Targets))]
		select {
		case g.slots <- struct{}{}:
		default:
			if counted {
				rec.notSent()
			}
			continue
		}
		g.requests.Go(func() {
			defer func() { <-g.slots }()
			last, retries := g.send(ctx, route, target)
			if counted {
				rec.add(last, retries, time.Since(dueAt))
			}
		})
	}
}

func sleepUntil(ctx context.Context, deadline time.Time) bool {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt is the result of one attempt.
type attempt struct {
	outcome    outcome.Outcome
	reason     outcome.Reason
	failed     bool // status of at least 500
	broken     bool
	wrong      bool
	retryAfter time.Duration // from the Retry-After header
}

// send sends one request and retries it at the next targets. It returns the last
// attempt and the number of retries.
func (g *generator) send(ctx context.Context, route Route, target string) (last attempt, retries int) {
	key := ""
	if route.Keyed {
		key = ulid.Make().String()
	}
	for {
		last = g.try(ctx, route, target, key, retries+1)
		retryable := last.broken || last.outcome == outcome.NotRun || last.outcome == outcome.Unknown
		if !retryable || retries == g.plan.MaxRetries {
			return last, retries
		}
		if !sleepUntil(ctx, time.Now().Add(retryInterval+last.retryAfter)) {
			return last, retries
		}
		retries++
		target = g.plan.Targets[(indexOf(g.plan.Targets, target)+1)%len(g.plan.Targets)]
	}
}

func indexOf(list []string, s string) int {
	for i, v := range list {
		if v == s {
			return i
		}
	}
	return 0
}

func (g *generator) try(ctx context.Context, route Route, target, key string, n int) attempt {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	echo := strconv.FormatUint(rand.Uint64(), 36)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+route.Path, bytes.NewReader(make([]byte, route.BodyBytes)))
	if err != nil {
		return attempt{broken: true}
	}
	req.GetBody = nil // keeps the client from resending a request by itself
	route.setHeaders(req.Header, key, n)
	req.Header.Set(standin.HeaderEcho, echo)
	res, err := g.client.Do(req)
	if err != nil {
		return attempt{broken: true}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return attempt{broken: true}
	}
	return checkAnswer(route, res, body, echo)
}

func (r Route) setHeaders(h http.Header, key string, n int) {
	h.Set(standin.HeaderReplyBytes, strconv.Itoa(r.ReplyBytes))
	if r.Work > 0 {
		h.Set(standin.HeaderWorkMS, strconv.FormatFloat(r.Work.Seconds()*1000, 'f', -1, 64))
	}
	if r.Deadline > 0 {
		h.Set(outcome.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if key != "" {
		h.Set(outcome.HeaderKey, key)
		h.Set(outcome.HeaderAttempt, strconv.Itoa(n))
	}
}

// checkAnswer classifies an answer that was read to its end.
func checkAnswer(route Route, res *http.Response, body []byte, echo string) attempt {
	a := attempt{
		outcome: outcome.Outcome(res.Header.Get(outcome.HeaderOutcome)),
		reason:  outcome.Reason(res.Header.Get(outcome.HeaderReason)),
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(s) * time.Second
	}
	switch a.outcome {
	case outcome.NotRun, outcome.Unknown:
	case outcome.Ran:
		a.failed = res.StatusCode >= http.StatusInternalServerError
		if res.StatusCode == http.StatusOK {
			a.wrong = res.Header.Get(standin.HeaderEcho) != echo || !bytes.Equal(body, standin.ReplyBody(echo, route.ReplyBytes))
		}
	default:
		a.wrong = true
	}
	return a
}
