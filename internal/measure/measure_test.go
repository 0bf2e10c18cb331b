package measure_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/measure"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// document has a budget of 10% of 4 VMs over 10 hours, which is 4 VM-hours.
const document = `service = "booking"
team = "t"
[pool]
size = 4
[budget]
window = "10h"
allowed = 0.1
max_unavailable = 2
[[route]]
prefix = "/"
`

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// history folds records with given times.
type history struct {
	t *testing.T
	s *ledger.State
}

func (h history) put(after time.Duration, kind record.SubjectKind, name string, body record.Body) {
	h.t.Helper()
	sub := record.Subject{Kind: kind, Name: name}
	rec := record.Record{
		ID: fmt.Sprint(h.s.Offset + 1), Subject: sub, Base: h.s.Revision(sub), Seen: h.s.Offset,
		Author: "test", Time: start.Add(after), Body: body,
	}
	out := h.s.Apply(h.s.Offset+1, rec)
	require.Equal(h.t, ledger.Effective, out.Status, out.Reason)
}

func (h history) vm(after time.Duration, name string, bodies ...record.Body) {
	for _, b := range bodies {
		h.put(after, record.SubjectVM, name, b)
	}
}

// pool returns a history with n serving VMs in a pool and one VM in the reserve.
func pool(t *testing.T, n int) history {
	h := history{t: t, s: ledger.New()}
	register := record.VMRegister{Zone: "a", Rack: "r", Address: "127.0.0.1:1", Cores: 32, MemoryMB: 65536}
	for i := range n + 1 {
		h.vm(0, fmt.Sprintf("vm-%d", i), register)
	}
	h.put(0, record.SubjectService, "booking", record.DocumentPublish{Text: document})
	for i := range n {
		h.vm(0, fmt.Sprintf("vm-%d", i), record.VMJoin{Pool: "booking"}, record.VMUp{})
	}
	return h
}

func rates(m measure.Service) map[time.Duration]float64 {
	rates := map[time.Duration]float64{}
	for _, b := range m.Burns {
		rates[b.Window] = b.Rate
	}
	return rates
}

// A VM is down from 1h to 3h, another is drained from 2h30m to 3h30m, which spends
// 3 of 4 VM-hours. At 4h the short windows must show that the burn is over, the
// long windows its cost.
func TestBurn(t *testing.T) {
	h := pool(t, 4)
	h.vm(time.Hour, "vm-0", record.VMDown{Cause: "gone"})
	h.vm(150*time.Minute, "vm-1", record.VMDrain{Reason: record.DrainOperator, Estimate: time.Minute})
	h.vm(3*time.Hour, "vm-0", record.VMUp{})
	h.vm(3*time.Hour, "vm-1", record.VMAdvance{To: record.PhaseDrained})
	h.vm(210*time.Minute, "vm-1", record.VMAdvance{To: record.PhaseReturning}, record.VMUp{})

	m := measure.Of(h.s, start.Add(4*time.Hour)).Services[0]
	require.InDelta(t, 4*3600, m.Allowed, 1)
	require.InDelta(t, 3*3600, m.Spent, 1)
	require.InDelta(t, 3600, m.Left, 1)
	require.Equal(t, 4, m.Serving)
	// Even use is 0.4 VM-hours per hour; the last hour spent 0.5.
	got := rates(m)
	require.Zero(t, got[5*time.Minute])
	require.Zero(t, got[30*time.Minute])
	require.InDelta(t, 0.5/0.4, got[time.Hour], 0.01)
	require.InDelta(t, 3/2.4, got[6*time.Hour], 0.01)
	require.Equal(t, start.Add(6*time.Hour), *m.RunsOut, "one VM-hour is left at 0.5 VM-hours per hour")

	by := map[string]float64{}
	for _, c := range m.Causes {
		by[c.Name] = c.VMSeconds / 3600
	}
	require.InDelta(t, 2, by["failure"], 0.01)
	require.InDelta(t, 1, by["operator"], 0.01)
}

// While the pool is short the burn must continue without new records. A spent
// budget must have run out now.
func TestBurnContinuesWithoutRecords(t *testing.T) {
	h := pool(t, 4)
	h.vm(0, "vm-0", record.VMDown{Cause: "gone"})
	m := measure.Of(h.s, start.Add(2*time.Hour)).Services[0]
	require.InDelta(t, 1/0.4, rates(m)[5*time.Minute], 0.01)
	require.Equal(t, start.Add(4*time.Hour), *m.RunsOut)

	now := start.Add(5 * time.Hour)
	m = measure.Of(h.s, now).Services[0]
	require.Negative(t, m.Left)
	require.Equal(t, now, *m.RunsOut)
}

func TestBufferWithoutBurn(t *testing.T) {
	h := pool(t, 5)
	r := measure.Of(h.s, start.Add(2*time.Hour))
	m := r.Services[0]
	require.Equal(t, 1, m.Spare)
	require.InDelta(t, 2*3600, m.SpareVMSeconds, 1)
	require.Nil(t, m.RunsOut)
	require.Equal(t, 1, r.Fleet.Free)
	require.InDelta(t, 2*3600, r.Fleet.FreeVMSeconds, 1)
	require.InDelta(t, 2.0/6, r.Fleet.Buffer, 0.001)
}

func TestWave(t *testing.T) {
	h := pool(t, 4)
	h.put(time.Hour, record.SubjectWave, "w", record.WaveStart{Pools: []string{"booking"}, Deadline: start.Add(day)})
	h.put(2*time.Hour, record.SubjectWave, "w", record.WaveSkip{VM: "vm-0", Reason: "lost"})
	w := measure.Of(h.s, start.Add(3*time.Hour)).Waves[0]
	require.Equal(t, 2*time.Hour, w.Took)
	require.Equal(t, 4, w.VMs)
	require.Equal(t, 1, w.Skipped)
	h.put(4*time.Hour, record.SubjectWave, "w", record.WaveControl{Command: record.WaveAbort})
	require.Equal(t, 3*time.Hour, measure.Of(h.s, start.Add(9*time.Hour)).Waves[0].Took)
}

const day = 24 * time.Hour

// With three pools of small budgets the baseline needs a spare VM for each, a
// shared reserve fewer.
func TestBaseline(t *testing.T) {
	h := pool(t, 4)
	tight := strings.Replace(document, "allowed = 0.1", "allowed = 0.0003", 1)
	for i, name := range []string{"booking", "returns", "fitting"} {
		h.put(time.Hour, record.SubjectService, name, record.DocumentPublish{Text: strings.Replace(tight, "booking", name, 1)})
		for j := range 4 * min(1, i) { // the first pool already has VMs
			vm := fmt.Sprintf("%s-%d", name, j)
			h.vm(time.Hour, vm, record.VMRegister{Zone: "a", Rack: vm, Address: "127.0.0.1:1", Cores: 32, MemoryMB: 65536}, record.VMJoin{Pool: name}, record.VMUp{})
		}
	}
	b := measure.BaselineOf(h.s, start.Add(2*time.Hour))
	require.Equal(t, measure.Baseline{Shared: 1, Own: map[string]int{"booking": 1, "returns": 1, "fitting": 1}, OwnTotal: 3}, b)
}
