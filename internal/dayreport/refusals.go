package dayreport

import (
	"cmp"
	"path"
	"slices"
	"time"
)

// HTTP status codes of answers, and the method that cancels jobs.
const (
	statusTooManyRequests    = 429
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
	cancelMethod             = "DELETE"
	jobIDLength              = 16
)

// Contradiction is how the answers to the requests for one job, or what became of it, contradict a
// refusal (429 or 503), which promises that the job was not accepted and never runs.
type Contradiction string

// The contradictions.
const (
	// AcceptedThenRefused: the job was accepted (2xx) before the refusal.
	AcceptedThenRefused Contradiction = "accepted, then refused"
	// RefusedAndRan: the job ran, and no attempt that was sent after the refusal explains it.
	RefusedAndRan Contradiction = "refused, and ran"
	// UnknownThenRefused: an earlier answer promised nothing (502 or 504). Nothing else shows that the
	// refusal was false.
	UnknownThenRefused Contradiction = "unknown, then refused"
)

// Contradictions returns all kinds.
func Contradictions() []Contradiction {
	return []Contradiction{AcceptedThenRefused, RefusedAndRan, UnknownThenRefused}
}

// RefusalReport compares the refusals of submissions and cancellations with all else that the logs have
// on their jobs. Times are those of the nodes' clocks.
type RefusalReport struct {
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Nodes    int       `json:"nodes"`
	Requests int       `json:"requests"` // jobs handed in, and jobs cancelled, each counted once
	// Accepted, Refused and Unknown count answers.
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Contradicted lists the refused requests that something contradicts, in the order of their
	// refusals.
	Contradicted []ContradictedRefusal `json:"contradicted"`
}

// ContradictedRefusal is a request whose refusal something contradicts.
type ContradictedRefusal struct {
	Kind      Contradiction `json:"kind"`
	Method    string        `json:"method"`
	Job       string        `json:"job"`
	EarlierAt time.Time     `json:"earlier_at"` // of the answer before, or of the first start
	EarlierBy string        `json:"earlier_by"` // the node that gave it
	RefusedAt time.Time     `json:"refused_at"` // of the first refusal that is contradicted
	RefusedBy string        `json:"refused_by"`
	Refusals  int           `json:"refusals"`
	Reason    string        `json:"reason"`
}

// Count returns the number of contradicted requests of one kind.
func (r RefusalReport) Count(kind Contradiction) int {
	n := 0
	for _, c := range r.Contradicted {
		if c.Kind == kind {
			n++
		}
	}
	return n
}

// requestKey identifies a submission or a cancellation.
type requestKey struct{ method, job string }

// requestKey returns the request that an answer is for. ok is false for other lines. A node without a
// configuration doesn't know the queue and logs only the path, which ends with the job's ID.
func (l Line) requestKey() (key requestKey, ok bool) {
	if l.Message != "answered" || l.Method != submitMethod && l.Method != cancelMethod {
		return requestKey{}, false
	}
	key = requestKey{l.Method, l.Job}
	if key.job == "" {
		key.job = path.Base(l.Path)
	}
	return key, len(key.job) == jobIDLength
}

// BuildRefusals returns the report on the lines of a log. ok is false if the log has no lines.
func BuildRefusals(log *Log) (r RefusalReport, ok bool) {
	if len(log.Lines) == 0 {
		return r, false
	}
	lines := slices.Clone(log.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	r.From, r.To = lines[0].At, lines[len(lines)-1].At
	answers := map[requestKey][]Line{}
	starts := map[requestKey]Line{} // the first start of each job
	nodes := map[string]bool{}
	for _, l := range lines {
		nodes[l.Node] = true
		if key, ok := l.requestKey(); ok {
			answers[key] = append(answers[key], l)
			r.countAnswer(l)
		}
		if key := (requestKey{submitMethod, l.Job}); l.Message == "first-placed" && starts[key].Message == "" {
			starts[key] = l
		}
	}
	r.Nodes, r.Requests = len(nodes), len(answers)
	for key, all := range answers {
		start, ran := starts[key]
		if c, found := contradictionOf(all, start, ran); found {
			c.Method, c.Job = key.method, key.job
			r.Contradicted = append(r.Contradicted, c)
		}
	}
	slices.SortFunc(r.Contradicted, func(a, b ContradictedRefusal) int {
		return cmp.Or(a.RefusedAt.Compare(b.RefusedAt), cmp.Compare(a.Job, b.Job))
	})
	return r, true
}

func isAcceptance(l Line) bool { return l.Status < firstNonSuccessStatus }

func promisesNoRun(l Line) bool {
	return l.Status == statusTooManyRequests || l.Status == statusServiceUnavailable
}

func isUnknown(l Line) bool {
	return l.Status == statusBadGateway || l.Status == statusGatewayTimeout
}

func (r *RefusalReport) countAnswer(l Line) {
	switch {
	case isAcceptance(l):
		r.Accepted++
	case promisesNoRun(l):
		r.Refused++
	case isUnknown(l):
		r.Unknown++
	}
}

// contradictionOf returns what contradicts the refusals among the answers to one request, in the order of
// their times. start is the first start of its job, if it ran.
func contradictionOf(answers []Line, start Line, ran bool) (c ContradictedRefusal, found bool) {
	if i := slices.IndexFunc(answers, isAcceptance); i >= 0 {
		if c = contradictedBy(AcceptedThenRefused, answers[i], answers[i:]); c.Refusals > 0 {
			return c, true
		}
	}
	refused := slices.IndexFunc(answers, promisesNoRun)
	if refused < 0 {
		return c, false
	}
	if ran && !explainsStart(answers[refused:], start) {
		return contradictedBy(RefusedAndRan, start, answers), true
	}
	if i := slices.IndexFunc(answers, isUnknown); i >= 0 {
		c = contradictedBy(UnknownThenRefused, answers[i], answers[i:])
	}
	return c, c.Refusals > 0
}

// explainsStart reports whether one of the answers to attempts after a refusal promises no refusal, and
// the attempt was sent before the start.
func explainsStart(answers []Line, start Line) bool {
	return slices.ContainsFunc(answers, func(l Line) bool {
		sentAt := l.At.Add(-time.Duration(l.TookMS) * time.Millisecond)
		return !promisesNoRun(l) && !sentAt.After(start.At)
	})
}

// contradictedBy returns the refusals among answers as contradicted by an earlier line.
func contradictedBy(kind Contradiction, earlier Line, answers []Line) ContradictedRefusal {
	c := ContradictedRefusal{Kind: kind, EarlierAt: earlier.At, EarlierBy: earlier.Node}
	for _, l := range answers {
		if !promisesNoRun(l) {
			continue
		}
		if c.Refusals == 0 {
			c.RefusedAt, c.RefusedBy, c.Reason = l.At, l.Node, l.Reason
		}
		c.Refusals++
	}
	return c
}
