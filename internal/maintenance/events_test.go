package maintenance_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// documentText is a service's document with a budget that a few drains exhaust.
const documentText = `
service = %q
team = "test"
weigh = %q

[pool]
size = %d
min_zones = 1
min_racks = 1

[budget]
window = "1h"
allowed = 0.1
max_unavailable = 2
one_domain = %t

[limits]
slots = 8
connections = 64
retry_share = 0.1
drain = "30s"

[[route]]
prefix = "/"
class = "quick"
repeatable = true
deadline = "1s"
`

func (w *world) publish(n *node, service string, size int) {
	weigh := map[string]string{"alpha": "buffer", "beta": "moves"}[service]
	text := fmt.Sprintf(documentText, service, weigh, size, service == "beta")
	w.append(w.record(n, record.Subject{Kind: record.SubjectService, Name: service}, record.DocumentPublish{Text: text}))
}

func (w *world) drawVM() string {
	return fmt.Sprintf("vm-%02d", rapid.IntRange(1, vmCount).Draw(w.t, "vm"))
}

func (w *world) drawPool() string { return rapid.SampledFrom(pools).Draw(w.t, "pool") }

func (w *world) advanceClock(d time.Duration) {
	w.measureShortages()
	w.now = w.now.Add(d)
}

// toggleOutage disconnects a node from the log or reconnects it. Sometimes three
// hours pass in addition.
func (w *world) toggleOutage() {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "cut")]
	n.disconnected = !n.disconnected
	if rapid.IntRange(0, 5).Draw(w.t, "long") == 0 {
		w.advanceClock(3 * time.Hour)
	}
}

// toggleFault crashes or recovers a VM or a rack.
func (w *world) toggleFault() {
	vm := w.head.VMs[w.drawVM()]
	target := vm.ID
	if rapid.Bool().Draw(w.t, "rack") {
		target = "rack/" + vm.Rack
	}
	kind := rapid.SampledFrom([]standin.FaultKind{standin.VMCrash, standin.VMRecover}).Draw(w.t, "kind")
	w.injectFault(kind, target)
	for id, other := range w.head.VMs {
		if id == target || "rack/"+other.Rack == target {
			w.unreachable[id] = kind == standin.VMCrash
		}
	}
}

func (w *world) injectFault(kind standin.FaultKind, target string) {
	_, err := w.fake.ActivateFaults(standin.Fault{Kind: kind, Target: target})
	require.NoError(w.t, err)
}

// clearFaults ends all faults and delivers the delayed appends.
func (w *world) clearFaults() {
	for id := range w.head.VMs {
		if w.unreachable[id] {
			w.injectFault(standin.VMRecover, id)
		}
	}
	w.fake.ClearAllFaults()
	clear(w.unreachable)
	for _, n := range w.nodes {
		n.disconnected = false
	}
	for len(w.delayed) > 0 {
		w.deliverDelayed()
	}
}

func (w *world) hasFreeVM() bool {
	for _, vm := range w.head.VMs {
		if vm.Phase == record.PhaseFree && !vm.Down {
			return true
		}
	}
	return false
}

func sortedVMs(s *ledger.State) []string { return slices.Sorted(maps.Keys(s.VMs)) }

// shortageMeter records how many VMs one pool is short of over time.
type shortageMeter struct {
	spans []shortageSpan
	short int
	at    time.Time
}

type shortageSpan struct {
	from, to time.Time
	short    int
}

func (m *shortageMeter) set(short int, now time.Time) {
	if m.short > 0 && now.After(m.at) {
		m.spans = append(m.spans, shortageSpan{m.at, now, m.short})
	}
	m.short, m.at = short, now
}

// since returns the VM-seconds of shortage after from.
func (m *shortageMeter) since(from time.Time) float64 {
	sum := 0.0
	for _, s := range m.spans {
		if s.to.After(from) {
			start := s.from
			if start.Before(from) {
				start = from
			}
			sum += s.to.Sub(start).Seconds() * float64(s.short)
		}
	}
	return sum
}

// measureShortages records the shortage of each pool at the fold's time.
func (w *world) measureShortages() {
	for name, m := range w.shortages {
		svc, ok := w.head.Services[name]
		if !ok {
			continue
		}
		serving := 0
		for _, vm := range w.head.PoolVMs(name) {
			if vm.Serving() {
				serving++
			}
		}
		m.set(max(0, svc.Doc.Pool.Size-serving), w.head.Now)
	}
}
