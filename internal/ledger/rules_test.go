package ledger

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// A faulty steward or a foreign writer appends bodies that no healthy node
// writes: negative sizes that free capacity, negative estimates that pass the
// budget check, records that claim to have seen the future. All nodes must
// refuse them.
func TestInvalidBodiesAreRefused(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 4, "")
	h.mustApply(record.SubjectJob, "j", job("p"))
	vm, wave, jobs := record.SubjectVM, record.SubjectWave, record.SubjectJob
	for _, c := range []struct {
		kind record.SubjectKind
		name string
		body record.Body
		want string
	}{
		{vm, "x", record.VMRegister{Zone: "z", Rack: "r", Address: "a", Cores: -1, MemoryMB: 1}, "-1 cores"},
		{vm, "x", record.VMRegister{Zone: "z", Rack: "r", Address: "a", Cores: 1, MemoryMB: math.MaxInt}, "MB of memory"},
		{vm, "x", record.VMRegister{Zone: "z", Rack: "r", Address: "a", Cores: 1, MemoryMB: 1, Accelerators: -1}, "accelerators"},
		{vm, "x", record.VMRegister{Cores: 1, MemoryMB: 1}, "zone, rack and address"},
		{vm, "p-1", drain(record.DrainMaintenance, -time.Hour), "an estimate of -1h"},
		{vm, "p-1", drain(record.DrainMaintenance, math.MaxInt64), "an estimate of"},
		{vm, "p-1", drain("fun", 0), "no reason for a drain"},
		{vm, "p-1", record.VMDrain{Reason: record.DrainMove, Target: "q"}, "no pool \"q\""},
		{vm, "p-1", record.VMAdvance{To: record.PhaseServing}, "no drain in progress"},
		{vm, "p-1", record.VMUp{}, "is serving and not down"},
		{vm, "p-1", record.VMJoin{Pool: "p"}, "only a free or released VM"},
		{vm, "gone", record.VMDown{}, "there is no VM"},
		{wave, "w", record.WaveStart{}, "at least one pool"},
		{wave, "w", record.WaveStart{Pools: []string{"p"}, Deadline: time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC)}, "out of range"},
		{wave, "w", record.WaveStart{Pools: []string{"q"}}, "no pool \"q\""},
		{wave, "w", record.WaveControl{Command: "stop"}, "there is no wave"},
		{jobs, "j", record.JobPlace{Worker: "p-1", MilliCores: -1}, "negative"},
		{jobs, "j", record.JobPlace{Worker: "p-1", MilliCores: math.MaxInt}, "larger than any VM"},
		{jobs, "j", record.JobPlace{Worker: "p-1", MilliCores: 33_000}, "no room"},
		{jobs, "j", record.JobEnd{Result: record.JobSucceeded}, "not placed"},
		{jobs, "k", record.JobSubmit{Service: "p", Team: "team", MilliCores: -1}, "nothing negative"},
		{jobs, "k", record.JobSubmit{Service: "p", Team: "x", MilliCores: 1}, "no quota"},
		{record.SubjectService, "p", record.VMDown{}, "belongs to a vm"},
		{record.SubjectService, "p", record.DocumentPublish{Text: "service = 1"}, "p.toml:1: service"},
		{record.SubjectService, "q", record.DocumentPublish{Text: documentText("p", 4, "")}, "the record for \"q\""},
		{record.SubjectService, "p", record.DocumentRemove{}, "still has 4 VMs"},
	} {
		out := h.applyNew(c.kind, c.name, c.body)
		assert.Equal(t, Refused, out.Status, "%T %v", c.body, c.body)
		assert.Contains(t, out.Reason, c.want)
	}
	future := h.draft(vm, "x", register("r"))
	future.Seen = math.MaxUint64
	require.Equal(t, Stale, h.apply(future).Status)
}

// A planner estimates a second for drains that take two hours. Once the
// durations of the first drains are known, further ones are refused before they
// exceed the budget of 14.4 VM-hours.
func TestTooSmallEstimateIsRaisedToTypicalDuration(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 6, 6, "")
	short := drain(record.DrainMaintenance, time.Second)
	for range 6 {
		h.vm("p-1", short)
		h.now = h.now.Add(2 * time.Hour)
		h.vm("p-1", returnToService...)
	}
	require.Equal(t, 12*time.Hour.Seconds(), h.spentInWindow("p"))
	h.vm("p-1", short)
	h.mustRefuse("spent 43200 of 51840 VM-seconds in its window; this drain needs about 14400", record.SubjectVM, "p-2", short)
}

// An open drain was estimated at ten hours and has just begun. A short drain
// beside it fits the budget by itself, but not together with the remaining time
// of the open one.
func TestRemainingTimeOfOpenDrainsCounts(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 6, 6, "")
	h.vm("p-1", drain(record.DrainMaintenance, 10*time.Hour))
	h.vm("p-2", drain(record.DrainMaintenance, 4*time.Hour+24*time.Minute))
	h.mustRefuse("needs about 51900", record.SubjectVM, "p-3", drain(record.DrainMaintenance, time.Minute))
	h.now = h.now.Add(10 * time.Hour)
	h.vm("p-1", returnToService...)
	require.Equal(t, 20*time.Hour.Seconds(), h.spentInWindow("p"))
}

// A network switch fails and takes four VMs down, more than the document
// allows. A maintenance drain of one of them is refused, because it would keep
// the VM out after the switch is back; a drain by which the VM leaves the pool
// is always allowed.
func TestDrainOfDownVMIsCheckedAgainstBudget(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 8, 8, "")
	for _, id := range []string{"p-1", "p-2", "p-3", "p-4"} {
		h.vm(id, record.VMDown{Cause: "switch"})
	}
	h.mustRefuse("max_unavailable = 3", record.SubjectVM, "p-1", drain(record.DrainMaintenance, time.Minute))
	h.vm("p-1", record.VMDrain{Reason: record.DrainMove, Release: true})
	h.vm("p-2", record.VMUp{})
	h.vm("p-3", drain(record.DrainMaintenance, time.Minute))
}

// The pool shrinks from 8 to 4 while two VMs are out for maintenance. They
// return and are charged nothing from then on. Once the pool has grown back the
// limits apply as before.
func TestDocumentShrinksWhileDrainsRun(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 8, 8, "")
	h.vm("p-1", drain(record.DrainMaintenance, time.Hour))
	h.vm("p-2", drain(record.DrainMaintenance, time.Hour))
	h.now = h.now.Add(time.Hour)
	h.publish("p", 4, "")
	require.Equal(t, 2*time.Hour.Seconds(), h.spentInWindow("p"))
	h.now = h.now.Add(time.Hour)
	h.vm("p-1", returnToService...)
	require.Equal(t, 2*time.Hour.Seconds(), h.spentInWindow("p"))
	require.Equal(t, 2*time.Hour.Seconds(), h.state.Services["p"].Account.SpareSeconds(epoch, h.now))
	h.publish("p", 8, "")
	h.vm("p-3", drain(record.DrainMaintenance, time.Minute))
	h.vm("p-4", drain(record.DrainMaintenance, time.Minute))
	h.mustRefuse("max_unavailable", record.SubjectVM, "p-5", drain(record.DrainMaintenance, time.Minute))
}

// The platform loses a VM with two jobs on it. The repeatable job is queued
// again. The other's end is unknown, so it must never start again, and an end
// that was decided before the loss is void.
func TestGoneVMEndsItsJobs(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 4, "")
	again := job("p")
	again.Repeatable = true
	h.mustApply(record.SubjectJob, "again", again)
	h.mustApply(record.SubjectJob, "once", job("p"))
	for _, id := range []string{"again", "once"} {
		h.mustApply(record.SubjectJob, id, record.JobPlace{Worker: "p-1", MilliCores: 1000, MemoryMB: 1000})
	}
	late := h.draft(record.SubjectJob, "once", record.JobEnd{Result: record.JobNotStarted})
	h.mustApply(record.SubjectVM, "p-1", record.VMGone{})
	require.Equal(t, JobQueued, h.state.Jobs["again"].Status)
	require.Equal(t, JobDone, h.state.Jobs["once"].Status)
	require.Equal(t, record.JobLapsed, h.state.Jobs["once"].Result)
	require.Equal(t, Stale, h.apply(late).Status)
	require.Equal(t, Resources{}, h.state.TeamUse("p", "team"))
	require.Equal(t, 1, h.state.Unavailability("p").Out[CauseMissing])
}

// A document excludes VMs with running jobs from drains. The wave's drain waits
// for the job; an operator's drain starts at once but cannot finish before the
// job has ended.
func TestDrainOfAVMWithJobs(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 4, "[jobs]\non_drain = \"skip\"\n")
	h.mustApply(record.SubjectJob, "j", job("p"))
	h.mustApply(record.SubjectJob, "j", record.JobPlace{Worker: "p-1", MilliCores: 1, MemoryMB: 1})
	h.mustRefuse("runs 1 jobs", record.SubjectVM, "p-1", drain(record.DrainMaintenance, time.Minute))
	h.vm("p-1", drain(record.DrainOperator, time.Minute))
	h.mustRefuse("1 jobs placed", record.SubjectVM, "p-1", record.VMAdvance{To: record.PhaseDrained})
	h.mustApply(record.SubjectJob, "j", record.JobEnd{Result: record.JobSucceeded})
	h.vm("p-1", returnToService...)
}

// VMs that are too small for a pool's document never join it and are not
// drained for it.
func TestTooSmallVMsDoNotJoinPool(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 5, "")
	h.publish("big", 2, "")
	h.mustApply(record.SubjectService, "big", record.DocumentPublish{Text: "service = \"big\"\nteam = \"t\"\n[pool]\nsize = 2\nmin_cores = 64\n[budget]\nwindow = \"24h\"\nallowed = 0.5\n"})
	h.mustRefuse("too small for pool big", record.SubjectVM, "p-1", record.VMDrain{Reason: record.DrainMove, Target: "big"})
	h.vm("x", register("r"))
	h.mustRefuse("too small for pool big", record.SubjectVM, "x", record.VMJoin{Pool: "big"})
	h.vm("x", record.VMDown{})
	h.mustRefuse("is down", record.SubjectVM, "x", record.VMJoin{Pool: "p"})
	require.Equal(t, 0, h.state.Reserve.Open.Spare)
}

// A service is removed while other objects still refer to it. They would wait
// for it forever, so the removal is refused until they are done.
func TestServiceIsRemovedOnlyWhenUnreferenced(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 5, "")
	h.publish("q", 0, "")
	h.mustApply(record.SubjectWave, "w", record.WaveStart{Pools: []string{"p", "q"}})
	h.mustRefuse("pool q is in wave w", record.SubjectService, "q", record.DocumentRemove{})
	h.mustApply(record.SubjectWave, "w", record.WaveControl{Command: record.WaveAbort})
	h.mustApply(record.SubjectJob, "j", job("q"))
	h.mustRefuse("job j of service q is queued", record.SubjectService, "q", record.DocumentRemove{})
	h.mustApply(record.SubjectJob, "j", record.JobCancel{})
	h.vm("p-1", record.VMDrain{Reason: record.DrainMove, Target: "q"})
	h.mustRefuse("VM p-1 is on its way to pool q", record.SubjectService, "q", record.DocumentRemove{})
	h.vm("p-1", record.VMAdvance{To: record.PhaseDrained}, record.VMAdvance{To: record.PhaseReturning}, record.VMUp{})
	h.mustApply(record.SubjectService, "q", record.DocumentRemove{})
}

// A pool is in a wave while one of its VMs leaves for the reserve and another
// moves to a second pool whose own wave includes it too. The first has no turn
// any longer; the other's single reboot counts for both waves, and both waves
// finish.
func TestOneRebootServesAllWaves(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 2, 4, "")
	h.publish("q", 2, "")
	h.mustApply(record.SubjectWave, "w1", record.WaveStart{Pools: []string{"p", "p"}})
	h.vm("p-1", record.VMDrain{Reason: record.DrainMove, Release: true},
		record.VMAdvance{To: record.PhaseDrained}, record.VMAdvance{To: record.PhaseFree})
	require.Equal(t, WaveSkipped, h.state.Waves["w1"].VMs["p-1"])
	h.vm("p-2", record.VMDrain{Reason: record.DrainMove, Target: "q"}, record.VMAdvance{To: record.PhaseDrained},
		record.VMAdvance{To: record.PhaseReleased}, record.VMJoin{Pool: "q"}, record.VMUp{})
	require.Equal(t, WavePending, h.state.Waves["w1"].VMs["p-2"])
	h.mustApply(record.SubjectWave, "w2", record.WaveStart{Pools: []string{"q"}})
	h.publish("q", 0, "")
	h.publish("p", 0, "")
	reboot := []record.Body{record.VMAdvance{To: record.PhaseDrained}, record.VMAdvance{To: record.PhaseRebooting},
		record.VMAdvance{To: record.PhaseReturning}, record.VMUp{}}
	h.vm("p-2", record.VMDrain{Reason: record.DrainMaintenance, Wave: "w2"})
	h.vm("p-2", reboot...)
	require.Equal(t, WaveBack, h.state.Waves["w1"].VMs["p-2"])
	require.Equal(t, WaveDone, h.state.Waves["w2"].Status)
	for _, id := range []string{"p-3", "p-4"} {
		h.vm(id, record.VMDrain{Reason: record.DrainMaintenance, Wave: "w1"})
		h.vm(id, reboot...)
	}
	require.Equal(t, WaveDone, h.state.Waves["w1"].Status)
	require.Equal(t, h.now, h.state.VMs["p-2"].MaintainedAt)
}

// The join of an entry process that ended long ago arrives after its address
// was given to a new process. It must not remove the running one.
func TestLateJoinDoesNotReplaceALaterMember(t *testing.T) {
	h := newHistory(t)
	late := h.draft(record.SubjectMember, "m1", record.MemberJoin{Node: "n", Address: "10.0.0.1:1"})
	h.mustApply(record.SubjectMember, "m2", record.MemberJoin{Node: "n", Address: "10.0.0.1:1"})
	require.Equal(t, Refused, h.apply(late).Status)
	require.Equal(t, []string{"m2"}, h.state.MemberNames())
}
