package dayreport

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// moment collects what happened in one second.
type moment struct {
	Second
	waits      []float64
	started    int // nodes
	storeAway  int // nodes that lost it
	storeBack  int
	behind     int // owners
	takeovers  int
	longestGap time.Duration
	moves      int
	maintained int
	other      []string
}

// secondsOf puts the lines on a time line, without the seconds in which nothing happened.
func secondsOf(lines []Line, takeovers []Takeover) []Second {
	var all []*moment
	at := func(t time.Time) *moment {
		t = t.Truncate(time.Second)
		if n := len(all); n > 0 && all[n-1].At.Equal(t) {
			return all[n-1]
		}
		all = append(all, &moment{Second: Second{At: t}})
		return all[len(all)-1]
	}
	for _, l := range lines {
		at(l.At).take(l)
	}
	for _, t := range takeovers {
		i, _ := slices.BinarySearchFunc(all, t.At.Truncate(time.Second), func(m *moment, t time.Time) int { return m.At.Compare(t) })
		all[i].takeovers++
		all[i].longestGap = max(all[i].longestGap, t.Gap)
	}
	var out []Second
	for _, m := range all {
		if s := m.told(); s.Taken+s.Refused+s.Began+s.Ended+len(s.Events) > 0 {
			out = append(out, s)
		}
	}
	return out
}

func (m *moment) take(l Line) {
	switch l.Message {
	case "answered":
		if l.taken() {
			m.Taken++
		}
		if l.refused() {
			m.Refused++
		}
	case "first-placed":
		m.Began++
		m.waits = append(m.waits, float64(l.AgeMS))
	case "ended":
		if l.Reason == "completed" {
			m.Ended++
		}
	case "started":
		m.started++
	case "store does not answer":
		m.storeAway++
	case "store answers again":
		m.storeBack++
	case "owner is behind":
		m.behind++
	case "VM ordered":
		if l.Maintain {
			m.maintained++
		} else {
			m.moves++
		}
	case "fleet taken over":
		m.other = append(m.other, "fleet taken over by "+l.Node)
	case "wave":
		m.wave(l)
	case "configuration in force":
		m.inForce(l.Version)
	}
}

// wave notes how far a wave is, in place of what was noted of it in the second before.
func (m *moment) wave(l Line) {
	name := fmt.Sprintf("wave %d ", l.Wave)
	m.other = slices.DeleteFunc(m.other, func(text string) bool { return strings.HasPrefix(text, name) })
	m.other = append(m.other, fmt.Sprintf("%s%s, %d VMs done", name, l.State, l.Done))
}

// inForce notes a configuration; each node writes the line.
func (m *moment) inForce(version int64) {
	text := fmt.Sprintf("configuration %d in force", version)
	if !slices.Contains(m.other, text) {
		m.other = append(m.other, text)
	}
}

// told returns the second with its events as text.
func (m *moment) told() Second {
	s := m.Second
	s.WaitMS = timesOf(m.waits).Of100
	for _, e := range []struct {
		n    int
		text string
	}{
		{m.started, "nodes started"},
		{m.storeAway, "nodes lost the store"},
		{m.storeBack, "nodes have it again"},
		{m.behind, "owners behind"},
		{m.moves, "VMs moved"},
		{m.maintained, "VMs maintained"},
	} {
		if e.n > 0 {
			s.Events = append(s.Events, fmt.Sprintf("%s: %d", e.text, e.n))
		}
	}
	if m.takeovers > 0 {
		s.Events = append(s.Events, fmt.Sprintf("partitions taken over: %d, up to %s without an owner", m.takeovers, m.longestGap.Round(time.Millisecond)))
	}
	s.Events = append(s.Events, m.other...)
	return s
}
