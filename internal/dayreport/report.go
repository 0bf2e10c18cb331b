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
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Nodes    int       `json:"nodes"`
	Lines    int       `json:"lines"`
	Foreign  int       `json:"foreign_lines"`
	Cut      int       `json:"cut_lines"`
	Problems []Problem `json:"problems,omitempty"`
	Jobs     Jobs      `json:"jobs"`
	Refusals []Refusal `json:"refusals"`
	Slow     []Slow    `json:"slow_starts"`
	Orders   []Order   `json:"orders"`
	// Takeovers are those of partitions of jobs.
	Takeovers []Takeover `json:"takeovers"`
	Seconds   []Second   `json:"seconds"`
}

// Jobs are the jobs that were taken. Open are those without an end in the logs.
type Jobs struct {
	Taken     int `json:"taken"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// Started and Ended are how long after they were taken jobs began and ended.
	Started Times `json:"started_ms"`
	Ended   Times `json:"ended_ms"`
}

// Times describe durations, in milliseconds.
type Times struct {
	Half  float64 `json:"half"`   // the median
	Of100 float64 `json:"95_100"` // the 95th percentile
	Most  float64 `json:"most"`
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

// Slow counts jobs that began late for the same cause, by service.
type Slow struct {
	Cause   Cause  `json:"cause"`
	Service string `json:"service"`
	Count   int    `json:"count"`
	MostMS  int64  `json:"most_ms"`
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
	At      time.Time `json:"at"`
	Taken   int       `json:"taken"`
	Refused int       `json:"refused"`
	Began   int       `json:"began"`
	// WaitMS is the 95th percentile of how long the jobs that began had waited.
	WaitMS float64 `json:"wait_ms"`
	// Ended counts jobs that were completed.
	Ended  int      `json:"ended"`
	Events []string `json:"events,omitempty"`
}

// Of explains what was read. A job that begins slow or more after it was taken counts as
// late. ok is false if there is no line of a node.
func Of(log *Log, slow time.Duration) (r Report, ok bool) {
	if len(log.Lines) == 0 {
		return Report{}, false
	}
	lines := slices.Clone(log.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	c, takeovers := conditionsOf(lines)
	r = Report{
		From: lines[0].At, To: lines[len(lines)-1].At,
		Nodes: nodesOf(lines), Lines: len(lines),
		Foreign: log.Foreign, Cut: log.Cut, Problems: log.Problems,
		Jobs: jobsOf(lines), Refusals: refusalsOf(lines), Slow: slowOf(lines, c, slow),
		Orders: ordersOf(lines), Takeovers: takeovers,
	}
	r.Seconds = secondsOf(lines, takeovers)
	return r, true
}

func nodesOf(lines []Line) int {
	seen := map[string]bool{}
	for _, l := range lines {
		seen[l.Node] = true
	}
	return len(seen)
}

// Answers to calls, as HTTP gives them.
const (
	firstNoSuccess  = 300
	firstError      = 400
	submissionsCall = "POST"
)

// refused tells whether a line is an answer that turns a call away.
func (l Line) refused() bool {
	return l.Message == "answered" && l.Status >= firstError
}

// taken tells whether a line is the answer that a job was taken.
func (l Line) taken() bool {
	return l.Message == "answered" && l.Method == submissionsCall && l.Status < firstNoSuccess && l.Job != ""
}

// jobsOf counts jobs. An end may be told twice, by two owners: the last one holds.
func jobsOf(lines []Line) Jobs {
	taken, ends := map[string]bool{}, map[string]Line{}
	var began []float64
	for _, l := range lines {
		switch {
		case l.taken():
			taken[l.Job] = true
		case l.Message == "first-placed":
			began = append(began, float64(l.AgeMS))
		case l.Message == "ended":
			ends[l.Job] = l
		}
	}
	j := Jobs{Taken: len(taken), Started: timesOf(began)}
	var ended []float64
	for _, l := range ends {
		switch l.Reason {
		case "completed":
			j.Completed++
			ended = append(ended, float64(l.AgeMS))
		case "failed":
			j.Failed++
		case "cancelled":
			j.Cancelled++
		}
	}
	for job := range taken {
		if _, ok := ends[job]; !ok {
			j.Open++
		}
	}
	j.Ended = timesOf(ended)
	return j
}

func timesOf(ms []float64) Times {
	if len(ms) == 0 {
		return Times{}
	}
	slices.Sort(ms)
	return Times{Half: quantile(0.5, ms), Of100: quantile(0.95, ms), Most: ms[len(ms)-1]}
}

func quantile(p float64, sorted []float64) float64 {
	return math.Round(stat.Quantile(p, stat.Empirical, sorted, nil))
}

// causeOfRefusal reads the cause from the reason that the caller was told.
func causeOfRefusal(reason string) Cause {
	switch {
	case strings.HasPrefix(reason, "the store "):
		return StoreAway
	case strings.HasPrefix(reason, "the owner "):
		return OwnerAway
	case strings.HasPrefix(reason, "no configuration "):
		return NoConfig
	}
	return Other
}

func refusalsOf(lines []Line) []Refusal {
	var all []Refusal
	for _, l := range lines {
		if !l.refused() {
			continue
		}
		reason, _, _ := strings.Cut(l.Reason, ":") // what follows is of one call
		i := slices.IndexFunc(all, func(r Refusal) bool {
			return r.Method == l.Method && r.Status == l.Status && r.Reason == reason
		})
		if i < 0 {
			i = len(all)
			all = append(all, Refusal{Cause: causeOfRefusal(reason), Method: l.Method, Status: l.Status, Reason: reason, First: l.At})
		}
		all[i].Count++
		all[i].Last = l.At
	}
	slices.SortStableFunc(all, func(a, b Refusal) int { return cmp.Compare(b.Count, a.Count) })
	return all
}

// slowOf counts the jobs that began late. Lines on a job's start name its queue; those on
// answers tell whose service that is.
func slowOf(lines []Line, c *conditions, slow time.Duration) []Slow {
	services := map[string]string{}
	for _, l := range lines {
		if l.Message == "answered" && l.Queue != "" {
			services[l.Queue] = l.Service
		}
	}
	var all []Slow
	for _, l := range lines {
		if l.Message != "first-placed" || l.AgeMS < slow.Milliseconds() {
			continue
		}
		service := cmp.Or(services[l.Queue], l.Queue)
		cause := c.causeOf(l, service)
		i := slices.IndexFunc(all, func(s Slow) bool { return s.Cause == cause && s.Service == service })
		if i < 0 {
			i = len(all)
			all = append(all, Slow{Cause: cause, Service: service})
		}
		all[i].Count++
		all[i].MostMS = max(all[i].MostMS, l.AgeMS)
	}
	slices.SortStableFunc(all, func(a, b Slow) int { return cmp.Compare(b.Count, a.Count) })
	return all
}

func ordersOf(lines []Line) []Order {
	var all []Order
	for _, l := range lines {
		if l.Message != "VM ordered" {
			continue
		}
		o := Order{Kind: "move", Pool: l.Pool, Outcome: l.Outcome}
		if l.Maintain {
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
