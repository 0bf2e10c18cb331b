package dayreport

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// secondStats accumulates the events of one second.
type secondStats struct {
	Second
	waits              []float64
	nodesStarted       int
	nodesLostStore     int
	nodesRegainedStore int
	overloadedOwners   int
	takeovers          int
	longestGap         time.Duration
	vmsMoved           int
	vmsMaintained      int
	otherEvents        []string
}

// groupBySecond summarizes the lines second by second. Seconds without events are left out.
func groupBySecond(lines []Line, takeovers []Takeover) []Second {
	var all []*secondStats
	at := func(t time.Time) *secondStats {
		t = t.Truncate(time.Second)
		if n := len(all); n > 0 && all[n-1].At.Equal(t) {
			return all[n-1]
		}
		all = append(all, &secondStats{Second: Second{At: t}})
		return all[len(all)-1]
	}
	for _, l := range lines {
		at(l.At).add(l)
	}
	for _, t := range takeovers {
		i, _ := slices.BinarySearchFunc(all, t.At.Truncate(time.Second), func(m *secondStats, t time.Time) int { return m.At.Compare(t) })
		all[i].takeovers++
		all[i].longestGap = max(all[i].longestGap, t.Gap)
	}
	var out []Second
	for _, m := range all {
		if s := m.result(); s.Accepted+s.Refused+s.Started+s.Ended+len(s.Events) > 0 {
			out = append(out, s)
		}
	}
	return out
}

func (m *secondStats) add(l Line) {
	switch l.Message {
	case "answered":
		if l.isAcceptedJob() {
			m.Accepted++
		}
		if l.isRefusal() {
			m.Refused++
		}
	case "first-placed":
		m.Started++
		m.waits = append(m.waits, float64(l.AgeMS))
	case "ended":
		if l.Reason == "completed" {
			m.Ended++
		}
	case "started":
		m.nodesStarted++
	case "store does not answer":
		m.nodesLostStore++
	case "store answers again":
		m.nodesRegainedStore++
	case "owner is behind":
		m.overloadedOwners++
	case "VM ordered":
		if l.Maintenance {
			m.vmsMaintained++
		} else {
			m.vmsMoved++
		}
	case "rack-suspect":
		m.otherEvents = append(m.otherEvents, fmt.Sprintf("rack %s suspect: %s", l.Rack, l.Reason))
	case "rack-trusted":
		m.otherEvents = append(m.otherEvents, fmt.Sprintf("rack %s trusted after %s", l.Rack, time.Duration(l.AgeMS)*time.Millisecond))
	case "fleet taken over":
		m.otherEvents = append(m.otherEvents, "fleet taken over by "+l.Node)
	case "wave":
		m.addWave(l)
	case "configuration in force":
		m.addConfiguration(l.Version)
	}
}

// addWave records the progress of a wave. It replaces an earlier progress in the same second.
func (m *secondStats) addWave(l Line) {
	name := fmt.Sprintf("wave %d ", l.Wave)
	m.otherEvents = slices.DeleteFunc(m.otherEvents, func(text string) bool { return strings.HasPrefix(text, name) })
	m.otherEvents = append(m.otherEvents, fmt.Sprintf("%s%s, %d VMs done", name, l.State, l.Done))
}

// addConfiguration records a new configuration once, although each node logs it.
func (m *secondStats) addConfiguration(version int64) {
	text := fmt.Sprintf("configuration %d in force", version)
	if !slices.Contains(m.otherEvents, text) {
		m.otherEvents = append(m.otherEvents, text)
	}
}

// result returns the summary of the second, with its events as text.
func (m *secondStats) result() Second {
	s := m.Second
	s.WaitMS = percentilesOf(m.waits).P95
	for _, e := range []struct {
		n    int
		text string
	}{
		{m.nodesStarted, "nodes started"},
		{m.nodesLostStore, "nodes lost the store"},
		{m.nodesRegainedStore, "nodes regained the store"},
		{m.overloadedOwners, "owners behind"},
		{m.vmsMoved, "VMs moved"},
		{m.vmsMaintained, "VMs maintained"},
	} {
		if e.n > 0 {
			s.Events = append(s.Events, fmt.Sprintf("%s: %d", e.text, e.n))
		}
	}
	if m.takeovers > 0 {
		s.Events = append(s.Events, fmt.Sprintf("partitions taken over: %d, up to %s without an owner", m.takeovers, m.longestGap.Round(time.Millisecond)))
	}
	s.Events = append(s.Events, m.otherEvents...)
	return s
}
