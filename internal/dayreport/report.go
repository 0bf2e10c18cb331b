package dayreport

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Report summarizes the logs of a deployment.
type Report struct {
	From       time.Time   `json:"from"`
	To         time.Time   `json:"to"`
	Nodes      int         `json:"nodes"`
	Lines      int         `json:"lines"`
	Foreign    int         `json:"foreign_lines"`
	Truncated  int         `json:"cut_lines"`
	Problems   []Problem   `json:"problems,omitempty"`
	Jobs       Jobs        `json:"jobs"`
	Refusals   []Refusal   `json:"refusals"`
	Outages    []Outage    `json:"outages"` // of the store
	SlowStarts []SlowStart `json:"slow_starts"`
	// Workspaces is empty if no line names one.
	Workspaces []WorkspaceDay `json:"workspaces,omitempty"`
	Orders     []VMOrder      `json:"orders"`
	// Takeovers lists the takeovers of partitions of the jobs topic.
	Takeovers []Takeover `json:"takeovers"`
	Seconds   []Second   `json:"seconds"`
}

// Jobs counts jobs. Accepted counts the jobs whose acceptance is in the logs, and Open those of them
// whose end is not. Completed, Failed and Cancelled count all jobs whose end is in the logs, including
// jobs that were accepted before the logs begin.
type Jobs struct {
	Accepted  int `json:"taken"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// Started summarizes the times from the acceptance of a job to its first start. A job whose first
	// start two owners logged counts twice. Ended summarizes the times from the acceptance of a job to
	// its completion; failed and cancelled jobs don't count.
	Started Percentiles `json:"started_ms"`
	Ended   Percentiles `json:"ended_ms"`
}

// Percentiles summarizes durations, in milliseconds.
type Percentiles struct {
	Median float64 `json:"half"`
	P95    float64 `json:"95_100"`
	Max    float64 `json:"most"`
}

// Refusal counts error answers (HTTP status of at least 400) with the same method, status and reason.
// They include answers to calls that were not refused but invalid, such as those for unknown jobs.
type Refusal struct {
	Cause  Cause     `json:"cause"`
	Method string    `json:"method"`
	Status int       `json:"status"`
	Reason string    `json:"reason"`
	Count  int       `json:"count"`
	First  time.Time `json:"first"`
	Last   time.Time `json:"last"`
}

// SlowStart counts the slow starts of jobs of one service with the same cause.
type SlowStart struct {
	Cause   Cause  `json:"cause"`
	Service string `json:"service"`
	Count   int    `json:"count"`
	MaxMS   int64  `json:"most_ms"`
}

// VMOrder counts orders for VMs of the same kind, pool and outcome.
type VMOrder struct {
	Kind    string `json:"kind"` // "move" or "maintenance"
	Pool    string `json:"pool"` // target of a move
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

// Takeover is a change of a partition's owner. Gap is an estimate of how long the partition had no
// owner; see ownershipTracker.recordTakeover.
type Takeover struct {
	At         time.Time     `json:"at"`
	Partition  int           `json:"partition"`
	Node       string        `json:"node"`
	Gap        time.Duration `json:"gap_ns"`
	HandedOver bool          `json:"handed_over"`
}

// Second summarizes one second of the logs.
type Second struct {
	At       time.Time `json:"at"`
	Accepted int       `json:"taken"`
	Refused  int       `json:"refused"`
	Started  int       `json:"began"` // first starts of jobs
	// WaitMS is the 95th percentile of the times from acceptance to first start of these jobs.
	WaitMS float64 `json:"wait_ms"`
	// Ended counts completed jobs; unlike the log's "ended", it excludes failed and cancelled ones.
	Ended  int      `json:"ended"`
	Events []string `json:"events,omitempty"`
}

// Build returns the report on log. The start of a job is slow if it comes slowAfter or more after its
// acceptance. ok is false if the log has no line of a node.
func Build(log *Log, slowAfter time.Duration) (r Report, ok bool) {
	if len(log.Lines) == 0 {
		return Report{}, false
	}
	lines := slices.Clone(log.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	c, takeovers := collectConditions(lines)
	r = Report{
		From: lines[0].At, To: lines[len(lines)-1].At,
		Nodes: countNodes(lines), Lines: len(lines),
		Foreign: log.Foreign, Truncated: log.Truncated, Problems: log.Problems,
		Jobs: countJobs(lines), Refusals: groupRefusals(lines), Outages: findOutages(lines, c), SlowStarts: groupSlowStarts(lines, c, slowAfter),
		Workspaces: groupByWorkspace(lines, c, slowAfter),
		Orders:     groupVMOrders(lines), Takeovers: takeovers,
	}
	r.Seconds = groupBySecond(lines, takeovers)
	return r, true
}

func countNodes(lines []Line) int {
	seen := map[string]bool{}
	for _, l := range lines {
		seen[l.Node] = true
	}
	return len(seen)
}

// HTTP status codes and the method that submits jobs.
const (
	firstNonSuccessStatus = 300
	firstErrorStatus      = 400
	submitMethod          = "POST"
)

// isRefusal reports whether l is an answer with an error status.
func (l Line) isRefusal() bool {
	return l.Message == "answered" && l.Status >= firstErrorStatus
}

// isAcceptedJob reports whether l is an answer that accepts a job.
func (l Line) isAcceptedJob() bool {
	return l.Message == "answered" && l.Method == submitMethod && l.Status < firstNonSuccessStatus && l.Job != ""
}

// countJobs counts the jobs. If two owners log the end of a job, the later line counts.
func countJobs(lines []Line) Jobs {
	accepted, ends := map[string]bool{}, map[string]Line{}
	var startDelays []float64
	for _, l := range lines {
		switch {
		case l.isAcceptedJob():
			accepted[l.Job] = true
		case l.Message == "first-placed":
			startDelays = append(startDelays, float64(l.AgeMS))
		case l.Message == "ended":
			ends[l.Job] = l
		}
	}
	j := Jobs{Accepted: len(accepted), Started: percentilesOf(startDelays)}
	var completionTimes []float64
	for _, l := range ends {
		switch l.Reason {
		case "completed":
			j.Completed++
			completionTimes = append(completionTimes, float64(l.AgeMS))
		case "failed":
			j.Failed++
		case "cancelled":
			j.Cancelled++
		}
	}
	for job := range accepted {
		if _, ok := ends[job]; !ok {
			j.Open++
		}
	}
	j.Ended = percentilesOf(completionTimes)
	return j
}

func percentilesOf(ms []float64) Percentiles {
	if len(ms) == 0 {
		return Percentiles{}
	}
	slices.Sort(ms)
	return Percentiles{Median: quantile(0.5, ms), P95: quantile(0.95, ms), Max: ms[len(ms)-1]}
}

func quantile(p float64, sorted []float64) float64 {
	return math.Round(stat.Quantile(p, stat.Empirical, sorted, nil))
}

// refusalCause derives the cause from the beginning of the reason in the answer. Package front writes
// these reasons.
func refusalCause(reason string) Cause {
	switch {
	case strings.HasPrefix(reason, "the store "):
		return StoreUnavailable
	case strings.HasPrefix(reason, "the owner "):
		return OwnerUnavailable
	case strings.HasPrefix(reason, "no configuration "):
		return NoConfiguration
	case strings.HasPrefix(reason, hopelessReason):
		return NoProspect
	}
	return OtherCause
}

func groupRefusals(lines []Line) []Refusal {
	var all []Refusal
	for _, l := range lines {
		if !l.isRefusal() {
			continue
		}
		reason, _, _ := strings.Cut(l.Reason, ":") // the rest differs from call to call
		i := slices.IndexFunc(all, func(r Refusal) bool {
			return r.Method == l.Method && r.Status == l.Status && r.Reason == reason
		})
		if i < 0 {
			i = len(all)
			all = append(all, Refusal{Cause: refusalCause(reason), Method: l.Method, Status: l.Status, Reason: reason, First: l.At})
		}
		all[i].Count++
		all[i].Last = l.At
	}
	slices.SortStableFunc(all, func(a, b Refusal) int { return cmp.Compare(b.Count, a.Count) })
	return all
}

// groupSlowStarts counts the slow starts by cause and service. A line on a start names only the job's
// queue; the queue's service is taken from the lines on answers.
func groupSlowStarts(lines []Line, c *conditions, slowAfter time.Duration) []SlowStart {
	services := servicesByQueue(lines)
	var all []SlowStart
	for _, l := range lines {
		if l.Message != "first-placed" || l.AgeMS < slowAfter.Milliseconds() {
			continue
		}
		service := cmp.Or(services[l.Queue], l.Queue)
		cause := c.slowStartCause(l, service)
		i := slices.IndexFunc(all, func(s SlowStart) bool { return s.Cause == cause && s.Service == service })
		if i < 0 {
			i = len(all)
			all = append(all, SlowStart{Cause: cause, Service: service})
		}
		all[i].Count++
		all[i].MaxMS = max(all[i].MaxMS, l.AgeMS)
	}
	slices.SortStableFunc(all, func(a, b SlowStart) int { return cmp.Compare(b.Count, a.Count) })
	return all
}

func groupVMOrders(lines []Line) []VMOrder {
	var all []VMOrder
	for _, l := range lines {
		if l.Message != "VM ordered" {
			continue
		}
		o := VMOrder{Kind: "move", Pool: l.Pool, Outcome: l.Outcome}
		if l.Maintenance {
			o.Kind = "maintenance"
		}
		i := slices.IndexFunc(all, func(x VMOrder) bool {
			return x.Kind == o.Kind && x.Pool == o.Pool && x.Outcome == o.Outcome
		})
		if i < 0 {
			i = len(all)
			all = append(all, o)
		}
		all[i].Count++
	}
	slices.SortStableFunc(all, func(a, b VMOrder) int { return cmp.Compare(b.Count, a.Count) })
	return all
}
