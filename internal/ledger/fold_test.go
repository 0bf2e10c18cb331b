package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// epoch is the start time of every history.
var epoch = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// history folds the records of a test at increasing offsets.
type history struct {
	t           *testing.T
	state       *State
	now         time.Time
	recordCount int
}

func newHistory(t *testing.T) *history { return &history{t: t, state: New(), now: epoch} }

// draft returns a record by author "a", decided on the current state.
func (h *history) draft(kind record.SubjectKind, name string, body record.Body) record.Record {
	h.recordCount++
	sub := record.Subject{Kind: kind, Name: name}
	return record.Record{
		ID:      fmt.Sprintf("id-%d", h.recordCount),
		Subject: sub,
		Base:    h.state.Revision(sub),
		Seen:    h.state.Offset,
		Author:  "a",
		Time:    h.now,
		Body:    body,
	}
}

func (h *history) apply(rec record.Record) Outcome { return h.state.Apply(h.state.Offset+1, rec) }

func (h *history) applyNew(kind record.SubjectKind, name string, body record.Body) Outcome {
	return h.apply(h.draft(kind, name, body))
}

// mustApply folds a record that must take effect.
func (h *history) mustApply(kind record.SubjectKind, name string, body record.Body) {
	h.t.Helper()
	out := h.applyNew(kind, name, body)
	require.Equal(h.t, Effective, out.Status, out.Reason)
}

// mustRefuse folds a record that must be refused for the given reason.
func (h *history) mustRefuse(reason string, kind record.SubjectKind, name string, body record.Body) {
	h.t.Helper()
	out := h.applyNew(kind, name, body)
	require.Equal(h.t, Refused, out.Status)
	require.Contains(h.t, out.Reason, reason)
}

func (h *history) vm(name string, bodies ...record.Body) {
	h.t.Helper()
	for _, b := range bodies {
		h.mustApply(record.SubjectVM, name, b)
	}
}

// pool publishes a document and adds VMs name-1 to name-n to the pool, two per
// rack.
func (h *history) pool(name string, size, vms int, more string) {
	h.t.Helper()
	h.publish(name, size, more)
	for i := range vms {
		id := fmt.Sprintf("%s-%d", name, i+1)
		h.vm(id, register(fmt.Sprintf("%s-r%d", name, i/2+1)), record.VMJoin{Pool: name}, record.VMUp{})
	}
}

func (h *history) publish(name string, size int, more string) {
	h.t.Helper()
	h.mustApply(record.SubjectService, name, record.DocumentPublish{Text: documentText(name, size, more)})
}

// documentText returns a document whose budget allows up to 3 unavailable VMs
// at once and a share of 0.1 over 24 hours.
func documentText(name string, size int, more string) string {
	return fmt.Sprintf(`service = %q
team = "team"
[pool]
size = %d
[budget]
window = "24h"
allowed = 0.1
max_unavailable = %d
one_domain = false
[[quota]]
team = "team"
cores = 1000
memory_mb = 1000000
%s`, name, size, max(1, min(3, size-1)), more)
}

func register(rack string) record.VMRegister {
	return record.VMRegister{Zone: "z1", Rack: rack, Address: "10.0.0.1:80", Cores: 32, MemoryMB: 65536}
}

func drain(reason record.DrainReason, estimate time.Duration) record.VMDrain {
	return record.VMDrain{Reason: reason, Estimate: estimate}
}

// returnToService brings a draining VM back to service.
var returnToService = []record.Body{
	record.VMAdvance{To: record.PhaseDrained},
	record.VMAdvance{To: record.PhaseReturning},
	record.VMUp{},
}

func job(service string) record.JobSubmit {
	return record.JobSubmit{Service: service, Team: "team", MilliCores: 1000, MemoryMB: 1000}
}

func (h *history) spentInWindow(pool string) float64 {
	return h.state.Services[pool].Account.Spent(h.now.Add(-24*time.Hour), h.now)
}
