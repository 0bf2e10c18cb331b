package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// Range and precision of the latency histograms, in microseconds.
const (
	histogramMax    = int64(15 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Counts counts requests by their result as seen by the caller.
type Counts struct {
	Sent    int `json:"sent"` // requests due after the warm-up, without retries
	Good    int `json:"good"` // complete answer, status below 500
	Failed  int `json:"failed"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Broken counts failed connections and answers that were cut off, which the
	// caller can detect.
	Broken int `json:"broken"`
	// Wrong counts answers to another request, partial answers that look complete,
	// and answers without an outcome. Each is a violated guarantee.
	Wrong   int `json:"wrong"`
	Retries int `json:"retries"`
	NotSent int `json:"not_sent"` // due beyond the limit of requests in flight
	// Reasons counts the answers that carry a reason of the system, by reason.
	Reasons map[outcome.Reason]int `json:"reasons,omitempty"`
}

// RouteReport is the result of one route's requests. Latencies are those of good
// answers.
type RouteReport struct {
	Name string `json:"name"`
	Counts
	GoodPerSecond float64       `json:"good_per_second"`
	P50           time.Duration `json:"p50"`
	P90           time.Duration `json:"p90"`
	P99           time.Duration `json:"p99"`
	Max           time.Duration `json:"max"`
	// P99NotRun is the 99th percentile of the latencies of not-run answers.
	P99NotRun time.Duration `json:"p99_not_run"`
}

// Report is the result of a plan.
type Report struct {
	Seconds float64       `json:"seconds"` // duration without the warm-up
	Routes  []RouteReport `json:"routes"`
}

// Route returns the report of the named route, or an empty one.
func (r Report) Route(name string) RouteReport {
	for _, route := range r.Routes {
		if route.Name == name {
			return route
		}
	}
	return RouteReport{}
}

// Wrong returns the number of wrong answers over all routes.
func (r Report) Wrong() int {
	n := 0
	for _, route := range r.Routes {
		n += route.Wrong
	}
	return n
}

// WriteTable writes the report as text for a terminal.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "route\tsent\tgood\tgood/s\tfailed\tnot-run\tunknown\tbroken\twrong\tretries\tnot sent\tp50\tp99\tmax\t")
	for _, c := range r.Routes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n",
			c.Name, c.Sent, c.Good, c.GoodPerSecond, c.Failed, c.NotRun, c.Unknown, c.Broken, c.Wrong,
			c.Retries, c.NotSent, c.P50, c.P99, c.Max)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, c := range r.Routes {
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
			fmt.Fprintf(w, "%s: %d %s\n", c.Name, c.Reasons[reason], reason)
		}
	}
	return nil
}

// recorder collects the results of one route. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	counts Counts
	good   *hdrhistogram.Histogram
	notRun *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		counts: Counts{Reasons: map[outcome.Reason]int{}},
		good:   hdrhistogram.New(1, histogramMax, histogramDigits),
		notRun: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (r *recorder) add(a attempt, retries int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	r.counts.Retries += retries
	if a.reason != "" {
		r.counts.Reasons[a.reason]++
	}
	us := min(max(1, took.Microseconds()), histogramMax)
	switch {
	case a.wrong:
		r.counts.Wrong++
	case a.broken:
		r.counts.Broken++
	case a.outcome == outcome.NotRun:
		r.counts.NotRun++
		recordLatency(r.notRun, us)
	case a.outcome == outcome.Unknown:
		r.counts.Unknown++
	case a.failed:
		r.counts.Failed++
	default:
		r.counts.Good++
		recordLatency(r.good, us)
	}
}

// recordLatency adds us, which must be within the histogram's range.
func recordLatency(h *hdrhistogram.Histogram, us int64) {
	err := h.RecordValue(us)
	invariant.Check(err == nil, "latency of %d us is out of the histogram's range: %v", us, err)
}

func (r *recorder) notSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	r.counts.NotSent++
}

func (r *recorder) report(name string, seconds float64) RouteReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return RouteReport{
		Name:          name,
		Counts:        r.counts,
		GoodPerSecond: float64(r.counts.Good) / seconds,
		P50:           at(r.good, 50),
		P90:           at(r.good, 90),
		P99:           at(r.good, 99),
		Max:           time.Duration(r.good.Max()) * time.Microsecond,
		P99NotRun:     at(r.notRun, 99),
	}
}
