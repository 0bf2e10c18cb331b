package dayreport

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Report explains a day.
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
	SlowStarts []SlowStart `json:"slow_starts"`
	Orders     []Order     `json:"orders"`
	// Takeovers are those of partitions of jobs.
	Takeovers []Takeover `json:"takeovers"`
	Seconds   []Second   `json:"seconds"`
}

// Jobs are the jobs that were taken. Open are those without an end in the logs.
type Jobs struct {
	Accepted  int `json:"taken"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// Started and Ended are how long after they were taken jobs began and ended.
	Started Percentiles `json:"started_ms"`
	Ended   Percentiles `json:"ended_ms"`
}

// Percentiles describe durations, in milliseconds.
type Percentiles struct {
	Median float64 `json:"half"`   // the median
	P95    float64 `json:"95_100"` // the 95th percentile
	Max    float64 `json:"most"`
}

// Refusal counts answers with an error that are alike.
type Refusal struct {
	Cause  Cause     `json:"cause"`
	Method string    `json:"method"`
	Status int       `json:"status"`
	Reason string    `json:"reason"`
	Count  int       `json:"count"`
	First  time.Time `json:"first"`
	Last   time.Time `json:"last"`
}

// SlowStart counts jobs that began late for the same cause, by service.
type SlowStart struct {
	Cause   Cause  `json:"cause"`
	Service string `json:"service"`
	Count   int    `json:"count"`
	MaxMS   int64  `json:"most_ms"`
}

// Order counts orders for VMs that are alike.
type Order struct {
	Kind    string `json:"kind"` // "move" or "maintenance"
	Pool    string `json:"pool"` // of a move
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

// Takeover is a change of a partition's owner. Gap is how long nobody owned it.
type Takeover struct {
	At         time.Time     `json:"at"`
	Partition  int           `json:"partition"`
	Node       string        `json:"node"`
	Gap        time.Duration `json:"gap_ns"`
	HandedOver bool          `json:"handed_over"`
}

// Second is what happened in a second of the day.
type Second struct {
	At       time.Time `json:"at"`
	Accepted int       `json:"taken"`
	Refused  int       `json:"refused"`
	Started  int       `json:"began"`
	// WaitMS is the 95th percentile of how long the jobs that began had waited.
	WaitMS float64 `json:"wait_ms"`
	// Ended counts jobs that were completed.
	Ended  int      `json:"ended"`
	Events []string `json:"events,omitempty"`
}

// Build explains what was read. A job that begins slow or more after it was taken counts as
// late. ok is false if there is no line of a node.
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
		Jobs: countJobs(lines), Refusals: groupRefusals(lines), SlowStarts: groupSlowStarts(lines, c, slowAfter),
		Orders: groupOrders(lines), Takeovers: takeovers,
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

// Answers to calls, as HTTP gives them.
const (
	firstNonSuccessStatus = 300
	firstErrorStatus      = 400
	submitMethod          = "POST"
)

// isRefusal tells whether a line is an answer that turns a call away.
func (l Line) isRefusal() bool {
	return l.Message == "answered" && l.Status >= firstErrorStatus
}

// isAcceptedJob tells whether a line is the answer that a job was taken.
func (l Line) isAcceptedJob() bool {
	return l.Message == "answered" && l.Method == submitMethod && l.Status < firstNonSuccessStatus && l.Job != ""
}

// countJobs counts jobs. An end may be told twice, by two owners: the last one holds.
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
	var endDelays []float64
	for _, l := range ends {
		switch l.Reason {
		case "completed":
			j.Completed++
			endDelays = append(endDelays, float64(l.AgeMS))
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
	j.Ended = percentilesOf(endDelays)
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

// refusalCause reads the cause from the reason that the caller was told.
func refusalCause(reason string) Cause {
	switch {
	case strings.HasPrefix(reason, "the store "):
		return StoreUnavailable
	case strings.HasPrefix(reason, "the owner "):
		return OwnerUnavailable
	case strings.HasPrefix(reason, "no configuration "):
		return NoConfiguration
	}
	return OtherCause
}

func groupRefusals(lines []Line) []Refusal {
	var all []Refusal
	for _, l := range lines {
		if !l.isRefusal() {
			continue
		}
		reason, _, _ := strings.Cut(l.Reason, ":") // what follows is of one call
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

// groupSlowStarts counts the jobs that began late. Lines on a job's start name its queue; those on
// answers tell whose service that is.
func groupSlowStarts(lines []Line, c *conditions, slowAfter time.Duration) []SlowStart {
	services := map[string]string{}
	for _, l := range lines {
		if l.Message == "answered" && l.Queue != "" {
			services[l.Queue] = l.Service
		}
	}
	var all []SlowStart
	for _, l := range lines {
		if l.Message != "first-placed" || l.AgeMS < slowAfter.Milliseconds() {
			continue
		}
		service := cmp.Or(services[l.Queue], l.Queue)
		cause := c.startDelayCause(l, service)
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

func groupOrders(lines []Line) []Order {
	var all []Order
	for _, l := range lines {
		if l.Message != "VM ordered" {
			continue
		}
		o := Order{Kind: "move", Pool: l.Pool, Outcome: l.Outcome}
		if l.Maintenance {
			o.Kind = "maintenance"
		}
		i := slices.IndexFunc(all, func(x Order) bool {
			return x.Kind == o.Kind && x.Pool == o.Pool && x.Outcome == o.Outcome
		})
		if i < 0 {
			i = len(all)
			all = append(all, o)
		}
		all[i].Count++
	}
	slices.SortStableFunc(all, func(a, b Order) int { return cmp.Compare(b.Count, a.Count) })
	return all
}
