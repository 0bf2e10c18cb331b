package dayreport

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// WorkspaceDay summarizes the jobs of one workspace.
type WorkspaceDay struct {
	Workspace string `json:"workspace"`
	Accepted  int    `json:"taken"`
	Refused   int    `json:"refused"`     // calls, for any cause
	Hopeless  int    `json:"no_prospect"` // of these, jobs that could not be done in time
	Slow      int    `json:"slow_starts"`
	// Cause is that of most of its slow starts, Beside names the workspaces that asked for more than the
	// others while it waited, most often first.
	Cause   Cause       `json:"cause,omitempty"`
	Beside  []string    `json:"beside,omitempty"`
	Started Percentiles `json:"started_ms"`
}

// shareLineInterval is the time before a "workspace-share" line that the line covers.
const shareLineInterval = time.Second

// Endings of reasons in lines of the owner and of the front.
const (
	asksForMore    = "asks for more than the others true"
	hopelessReason = "the job can't be done in time"
)

// askers are the periods in which workspaces asked for more than the others of a partition.
type askers map[capKey][]period

func collectAskers(lines []Line) askers {
	all := askers{}
	for _, l := range lines {
		if l.Message == "workspace-share" && strings.HasSuffix(l.Reason, asksForMore) {
			key := capKey{l.Partition, l.Workspace}
			all[key] = append(all[key], period{l.At.Add(-shareLineInterval), l.At})
		}
	}
	return all
}

// workspaceTally adds up the lines of one workspace.
type workspaceTally struct {
	day    WorkspaceDay
	waits  []float64
	causes map[Cause]int
	beside map[string]int
}

// groupByWorkspace summarizes the jobs of each workspace, those with the most slow starts first. It returns
// nil if no line names one.
func groupByWorkspace(lines []Line, c *conditions, slowAfter time.Duration) []WorkspaceDay {
	services, asking, tallies := servicesByQueue(lines), collectAskers(lines), map[string]*workspaceTally{}
	for _, l := range lines {
		if l.Workspace == "" {
			continue
		}
		t := tallies[l.Workspace]
		if t == nil {
			t = &workspaceTally{day: WorkspaceDay{Workspace: l.Workspace}, causes: map[Cause]int{}, beside: map[string]int{}}
			tallies[l.Workspace] = t
		}
		switch {
		case l.isAcceptedJob():
			t.day.Accepted++
		case l.isRefusal():
			t.day.Refused++
			if strings.HasPrefix(l.Reason, hopelessReason) {
				t.day.Hopeless++
			}
		case l.Message == "first-placed":
			t.addStart(l, c.slowStartCause(l, cmp.Or(services[l.Queue], l.Queue)), asking, slowAfter)
		}
	}
	var all []WorkspaceDay
	for _, t := range tallies {
		all = append(all, t.result())
	}
	slices.SortFunc(all, func(a, b WorkspaceDay) int {
		return cmp.Or(cmp.Compare(b.Slow+b.Refused, a.Slow+a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return all
}

// addStart adds the first start of a job.
func (t *workspaceTally) addStart(l Line, cause Cause, asking askers, slowAfter time.Duration) {
	t.waits = append(t.waits, float64(l.AgeMS))
	if l.AgeMS < slowAfter.Milliseconds() {
		return
	}
	t.day.Slow++
	t.causes[cause]++
	waited := period{l.At.Add(-time.Duration(l.AgeMS) * time.Millisecond), l.At}
	for key, periods := range asking {
		if key.partition == l.Partition && key.workspace != l.Workspace && coveredDuration(waited, periods) > 0 {
			t.beside[key.workspace]++
		}
	}
}

// maxBeside bounds the workspaces that are named beside one.
const maxBeside = 3

func (t *workspaceTally) result() WorkspaceDay {
	t.day.Started = percentilesOf(t.waits)
	if causes := byCount(t.causes); len(causes) > 0 {
		t.day.Cause = causes[0]
	}
	beside := byCount(t.beside)
	t.day.Beside = beside[:min(len(beside), maxBeside)]
	return t.day
}

// byCount returns the keys, those with the highest counts first.
func byCount[K cmp.Ordered](counts map[K]int) []K {
	var keys []K
	for k := range counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	return keys
}

// servicesByQueue returns the service of each queue that a line on an answer names.
func servicesByQueue(lines []Line) map[string]string {
	services := map[string]string{}
	for _, l := range lines {
		if l.Message == "answered" && l.Queue != "" {
			services[l.Queue] = l.Service
		}
	}
	return services
}
