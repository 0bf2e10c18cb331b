package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Two authors decide on the same state and append at the same moment, so their
// records follow each other in the log in either order. Of two records about
// one subject exactly the first takes effect; a record about another subject is
// checked against what the first has changed.
func TestRaces(t *testing.T) {
	maintain := drain(record.DrainMaintenance, time.Minute)
	inWave := record.VMDrain{Reason: record.DrainMaintenance, Wave: "w", Estimate: time.Minute}
	vm, wave, service, jobs := record.SubjectVM, record.SubjectWave, record.SubjectService, record.SubjectJob
	type act struct {
		kind record.SubjectKind
		name string
		body record.Body
	}
	for name, c := range map[string]struct {
		a, b           act
		bAfterA        Status // status of b after a took effect
		aAfterB        Status
		reasonB, state string // why b has no effect, and the phase of p-1 after a and b
	}{
		"two stewards drain one VM": {
			act{vm, "p-1", maintain}, act{vm, "p-1", maintain}, Stale, Stale, "decided on", "draining"},
		"one steward drains a VM, one finds it down": {
			act{vm, "p-1", maintain}, act{vm, "p-1", record.VMDown{Cause: "x"}}, Stale, Stale, "decided on", "draining"},
		"two operators publish": {
			act{service, "p", record.DocumentPublish{Text: documentText("p", 5, "")}},
			act{service, "p", record.DocumentPublish{Text: documentText("p", 6, "")}}, Stale, Stale, "decided on", "serving"},
		"a drain races the abort of its wave": {
			act{wave, "w", record.WaveControl{Command: record.WaveAbort}}, act{vm, "p-1", inWave}, Refused, Effective,
			"wave w is aborted", "serving"},
		"a drain races the pause of its wave": {
			act{wave, "w", record.WaveControl{Command: record.WavePause}}, act{vm, "p-1", inWave}, Refused, Effective,
			"wave w is paused", "serving"},
		"a drain races a document that shrinks the budget": {
			act{service, "p", record.DocumentPublish{Text: "service = \"p\"\nteam = \"t\"\n[pool]\nsize = 5\n[budget]\nwindow = \"24h\"\nallowed = 0.1\n"}},
			act{vm, "p-1", maintain}, Refused, Effective, "max_unavailable = 1", "serving"},
		"two drains race for the last unit of budget": {
			act{vm, "p-2", maintain}, act{vm, "p-1", maintain}, Refused, Refused, "max_unavailable = 3", "serving"},
		"a placement races a drain": {
			act{vm, "p-1", maintain}, act{jobs, "j", record.JobPlace{Worker: "p-1", MilliCores: 1, MemoryMB: 1}},
			Refused, Effective, "does not serve", "draining"},
		"two stewards place one job": {
			act{jobs, "j", record.JobPlace{Worker: "p-1", MilliCores: 1, MemoryMB: 1}},
			act{jobs, "j", record.JobPlace{Worker: "p-2", MilliCores: 1, MemoryMB: 1}}, Stale, Stale, "decided on", "serving"},
	} {
		for _, order := range []string{"ab", "ba"} {
			h := newHistory(t)
			h.pool("p", 4, 4, "")
			h.mustApply(wave, "w", record.WaveStart{Pools: []string{"p"}})
			h.mustApply(jobs, "j", job("p"))
			if name != "a placement races a drain" {
				h.vm("p-3", maintain)
				h.vm("p-4", maintain)
			}
			a := h.draft(c.a.kind, c.a.name, c.a.body)
			b := h.draft(c.b.kind, c.b.name, c.b.body)
			first, second, want := a, b, c.bAfterA
			if order == "ba" {
				first, second, want = b, a, c.aAfterB
			}
			out := h.apply(first)
			require.Equal(t, Effective, out.Status, "%s %s: %s", name, order, out.Reason)
			out = h.apply(second)
			assert.Equal(t, want, out.Status, "%s %s: %s", name, order, out.Reason)
			if order == "ab" {
				assert.Contains(t, out.Reason, c.reasonB, name)
				assert.Equal(t, c.state, string(h.state.VMs["p-1"].Phase), name)
			}
			for _, copied := range []record.Record{first, second} {
				assert.Contains(t, []Status{Stale, Duplicate}, h.apply(copied).Status, "%s %s: a second copy", name, order)
			}
		}
	}
}

// The reply to an append is lost and a second copy of the record arrives much
// later, when its content would be allowed again. It must stay void: its author
// was told the first outcome and has acted on it.
func TestLateCopiesStayVoid(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 4, "")
	registered := h.draft(record.SubjectVM, "x", register("r"))
	require.Equal(t, Effective, h.apply(registered).Status)
	h.vm("x", record.VMGone{})
	require.Equal(t, Stale, h.apply(registered).Status, "the VM is gone")

	for _, id := range []string{"p-1", "p-2", "p-3"} {
		h.vm(id, drain(record.DrainMaintenance, time.Minute))
	}
	refused := h.draft(record.SubjectVM, "p-4", drain(record.DrainMaintenance, time.Minute))
	require.Equal(t, Refused, h.apply(refused).Status)
	h.vm("p-1", returnToService...)
	require.Equal(t, Duplicate, h.apply(refused).Status)
	h.vm("p-4", record.VMQuarantine{On: true})
	require.Equal(t, Stale, h.apply(refused).Status)

	unknown := h.draft(record.SubjectJob, "j", job("q"))
	require.Equal(t, Refused, h.apply(unknown).Status)
	h.publish("q", 0, "")
	require.NotEqual(t, Effective, h.apply(unknown).Status, "refused when there was no service q")
	h.mustApply(record.SubjectJob, "j", job("q"))

	h.mustApply(record.SubjectJob, "j", record.JobCancel{})
	submitted := h.draft(record.SubjectJob, "k", job("q"))
	h.state.Offset += RetiredSpan
	h.mustApply(record.SubjectClock, "n", record.ClockWitness{})
	require.NotContains(t, h.state.Jobs, "j", "ended jobs are deleted after RetiredSpan offsets")
	require.Equal(t, Stale, h.apply(submitted).Status, "too late to know whether job k existed")
}
