package dayreport

import (
	"slices"
	"time"
)

// Outage is a time in which the store didn't answer some nodes, and what became of the callers that met it.
type Outage struct {
	From  time.Time `json:"from"`
	To    time.Time `json:"to"`
	Nodes int       `json:"nodes"`
	// Callers counts the jobs whose submission was refused or held for the store, Accepted those of them
	// that were accepted in the end, and Held those that a node held.
	Callers  int `json:"callers"`
	Accepted int `json:"taken"`
	Held     int `json:"held"`
	// LongestReturn is the longest time after which a caller was told to return.
	LongestReturn time.Duration `json:"longest_return_ns"`
}

// outageMargin is how long after the store's return an answer may belong to an outage: a request that waited
// for it is answered then.
const outageMargin = time.Second

// findOutages returns the outages, in order. Periods of several nodes that overlap are one outage.
func findOutages(lines []Line, c *conditions) []Outage {
	type nodePeriod struct {
		period
		node string
	}
	var all []nodePeriod
	for node, periods := range c.storeUnavailable {
		for _, p := range periods {
			all = append(all, nodePeriod{p, node})
		}
	}
	slices.SortFunc(all, func(a, b nodePeriod) int { return a.from.Compare(b.from) })
	var outages []Outage
	nodes := map[string]bool{}
	for _, p := range all {
		if n := len(outages); n == 0 || p.from.After(outages[n-1].To) {
			outages = append(outages, Outage{From: p.from, To: p.to})
			clear(nodes)
		}
		o := &outages[len(outages)-1]
		nodes[p.node] = true
		o.Nodes = len(nodes)
		if p.to.After(o.To) {
			o.To = p.to
		}
	}
	countOutageCallers(lines, outages)
	return outages
}

// countOutageCallers counts each job in the first outage that it met.
func countOutageCallers(lines []Line, outages []Outage) {
	type caller struct {
		outage         *Outage
		held, accepted bool
	}
	callers := map[string]*caller{}
	for _, l := range lines {
		if l.Message != "answered" || l.Method != submitMethod || l.Job == "" {
			continue
		}
		c := callers[l.Job]
		if c == nil && (l.HeldMS > 0 || l.isRefusal() && refusalCause(l.Reason) == StoreUnavailable) {
			i := slices.IndexFunc(outages, func(o Outage) bool { return !l.At.Before(o.From) && l.At.Before(o.To.Add(outageMargin)) })
			if i < 0 {
				continue
			}
			c = &caller{outage: &outages[i]}
			c.outage.Callers++
			callers[l.Job] = c
		}
		if c == nil {
			continue
		}
		if l.HeldMS > 0 && !c.held {
			c.held = true
			c.outage.Held++
		}
		if l.isAcceptedJob() && !c.accepted {
			c.accepted = true
			c.outage.Accepted++
		}
		c.outage.LongestReturn = max(c.outage.LongestReturn, time.Duration(l.RetryAfterS)*time.Second)
	}
}
