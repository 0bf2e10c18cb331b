package ledger

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/record"

	"github.com/yuccadrift/yuccadrift/internal/testkit/randomcheck"
)

func TestMain(m *testing.M) { randomcheck.Main(m, 20260302, 150) }

// entry is one entry of a generated log.
type entry struct {
	offset uint64
	data   []byte
}

// generator writes random logs: mostly what a healthy fleet would append next,
// mixed with decisions on old state, duplicate and late copies, invalid bodies
// and bytes that are no record.
type generator struct {
	t            *rapid.T
	rand         *rand.Rand
	state        *State // the state so far, used to make plausible records
	now          time.Time
	oldRevisions map[record.Subject][]record.Revision
	log          []entry
	wildClocks   bool // clocks that jump ahead
	recordCount  int
	after        func(*generator, entry, Outcome) // called after each entry is folded
}

var (
	services    = []string{"p", "q", "r"}
	vmNames     = []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9"}
	memberNames = []string{"m1", "m2", "m3", "m4"}
	jobNames    = []string{"j1", "j2", "j3", "j4", "j5", "j6"}
	waves       = []string{"w1", "w2", "w3"}
)

func newGenerator(t *rapid.T, after func(*generator, entry, Outcome)) *generator {
	seed := rapid.Uint64().Draw(t, "seed") // rapid's own draws are biased towards small values
	g := &generator{t: t, rand: rand.New(rand.NewPCG(seed, 0)), state: New(), now: epoch, oldRevisions: map[record.Subject][]record.Revision{}, after: after}
	for _, name := range services {
		g.append(g.draft(record.SubjectService, name, record.DocumentPublish{Text: documentText(name, 3, "")}))
	}
	for i, name := range vmNames {
		g.append(g.draft(record.SubjectVM, name, register(fmt.Sprintf("r%d", i%4))))
		g.append(g.draft(record.SubjectVM, name, record.VMJoin{Pool: services[i%3]}))
		g.append(g.draft(record.SubjectVM, name, record.VMUp{}))
	}
	return g
}

func (g *generator) int(lo, hi int) int            { return lo + g.rand.IntN(hi-lo+1) }
func (g *generator) pickName(list []string) string { return pick(g, list...) }

func pick[T any](g *generator, list ...T) T { return list[g.rand.IntN(len(list))] }

// run appends the given number of entries.
func (g *generator) run(entries int) {
	for range entries {
		g.now = g.now.Add(time.Duration(g.int(0, 20)) * time.Minute)
		switch g.int(0, 19) {
		case 0: // the reply was lost, so the author appends a second copy, now or much later
			g.appendData(g.log[g.int(0, len(g.log)-1)].data)
		case 1:
			g.appendData([]byte(fmt.Sprintf(`{"id":"x","kind":%q`, g.pickName(jobNames))))
		case 2, 3:
			g.append(g.stale(g.next()))
		default:
			g.append(g.next())
		}
	}
}

func (g *generator) append(rec record.Record) {
	data, err := record.Encode(rec)
	if err != nil {
		g.t.Fatal(err)
	}
	g.appendData(data)
}

func (g *generator) appendData(data []byte) {
	e := entry{offset: g.state.Offset + uint64(g.int(1, 3)), data: data}
	g.log = append(g.log, e)
	out := g.state.ApplyData(e.offset, data)
	if out.Current != 0 {
		g.oldRevisions[out.Subject] = append(g.oldRevisions[out.Subject], out.Current)
	}
	g.after(g, e, out)
}

func (g *generator) draft(kind record.SubjectKind, name string, body record.Body) record.Record {
	g.recordCount++
	sub := record.Subject{Kind: kind, Name: name}
	rec := record.Record{ID: fmt.Sprint("id", g.recordCount), Subject: sub, Base: g.state.Revision(sub), Seen: g.state.Offset,
		Author: g.pickName(memberNames), Time: g.now.Add(time.Duration(g.int(-60, 60)) * time.Second), Body: body}
	if g.wildClocks && g.int(0, 9) == 0 {
		rec.Author, rec.Time = "wild", g.now.AddDate(g.int(-80, 80), 0, 0)
	}
	return rec
}

// stale gives the record a base or offset that is outdated or never existed.
func (g *generator) stale(rec record.Record) record.Record {
	switch old := g.oldRevisions[rec.Subject]; g.int(0, 3) {
	case 0:
		rec.Base = record.Revision(g.int(0, int(g.state.Offset)))
	case 1:
		rec.Seen = pick(g, 0, g.state.Offset/2, math.MaxUint64)
	default:
		if len(old) > 0 {
			rec.Base = old[g.int(0, len(old)-1)]
		}
	}
	return rec
}

// next returns a record about a random subject.
func (g *generator) next() record.Record {
	switch g.int(0, 11) {
	case 0:
		name := g.pickName(services)
		return g.draft(record.SubjectService, name, g.document(name))
	case 1:
		return g.draft(record.SubjectWave, g.pickName(waves), g.waveBody())
	case 2:
		return g.draft(record.SubjectMember, g.pickName(memberNames), g.memberBody())
	case 3, 4:
		name := g.pickName(jobNames)
		return g.draft(record.SubjectJob, name, g.jobBody(g.state.Jobs[name]))
	case 5:
		return g.draft(record.SubjectClock, g.pickName(memberNames), record.ClockWitness{})
	}
	name := g.pickName(vmNames)
	return g.draft(record.SubjectVM, name, g.vmBody(g.state.VMs[name]))
}

func (g *generator) document(name string) record.Body {
	switch g.int(0, 9) {
	case 0:
		return record.DocumentRemove{}
	case 1:
		return record.DocumentPublish{Text: "size = " + name}
	}
	more := ""
	if g.int(0, 2) == 0 {
		more = "[jobs]\non_drain = \"skip\"\n"
	}
	return record.DocumentPublish{Text: documentText(name, pick(g, 0, 2, 3, 4, 6), more)}
}

func (g *generator) estimate() time.Duration {
	return time.Duration(g.int(-1, 20)) * 15 * time.Minute
}

// vmBody returns a plausible next body for the VM, and sometimes any body.
func (g *generator) vmBody(vm *VM) record.Body {
	switch {
	case vm == nil:
		return register(fmt.Sprint("r", g.int(0, 3)))
	case g.int(0, 9) == 0:
		return pick[record.Body](g, record.VMGone{}, record.VMDown{Cause: "x"}, record.VMUp{}, register("r0"),
			record.VMQuarantine{On: g.int(0, 1) == 0}, record.VMAdvance{To: record.PhaseFree}, record.VMJoin{Pool: "p"},
			record.VMRedirect{Target: g.pickName(services)}, record.VMRedirect{Release: true})
	case vm.Down && g.int(0, 1) == 0:
		return record.VMUp{}
	}
	switch vm.Phase {
	case record.PhaseFree, record.PhaseReleased:
		return record.VMJoin{Pool: g.pickName(services), Want: g.int(0, 4)}
	case record.PhaseReturning:
		return record.VMUp{}
	case record.PhaseDraining:
		return record.VMAdvance{To: record.PhaseDrained}
	case record.PhaseDrained:
		return record.VMAdvance{To: pick[record.VMPhase](g, record.PhaseRebooting, record.PhaseReleased,
			record.PhaseFree, record.PhaseReturning)}
	case record.PhaseRebooting:
		return record.VMAdvance{To: pick(g, record.PhaseReleased, record.PhaseReturning)}
	}
	return pick[record.Body](g,
		drain(record.DrainMaintenance, g.estimate()),
		drain(record.DrainOperator, g.estimate()),
		record.VMDrain{Reason: record.DrainMaintenance, Wave: g.pickName(waves), Estimate: g.estimate()},
		record.VMDrain{Reason: record.DrainMove, Target: g.pickName(services), Estimate: g.estimate()},
		record.VMDrain{Reason: record.DrainMove, Release: true, Estimate: g.estimate()},
		record.VMDown{Cause: "no answer"},
	)
}

func (g *generator) waveBody() record.Body {
	commands := []record.WaveCommand{record.WavePause, record.WaveResume, record.WaveAbort, record.WaveFinish, "fly"}
	return pick[record.Body](g,
		record.WaveStart{Pools: []string{g.pickName(services), g.pickName(services)}, Deadline: g.now.Add(time.Hour)},
		record.WaveSkip{VM: g.pickName(vmNames), Reason: "long job"},
		record.WaveControl{Command: commands[g.int(0, len(commands)-1)]},
	)
}

func (g *generator) memberBody() record.Body {
	return pick[record.Body](g,
		record.MemberJoin{Node: "n", Address: g.pickName(memberNames)},
		record.MemberJoin{Node: "n", Address: g.pickName(memberNames)},
		record.MemberRefresh{Electorate: memberNames},
		record.MemberLeave{},
		record.MemberSuspect{By: g.pickName(memberNames), Seq: uint64(g.int(1, 9))},
		record.MemberTrust{By: g.pickName(memberNames), Seq: uint64(g.int(1, 9))},
	)
}

func (g *generator) jobBody(j *Job) record.Body {
	switch {
	case j == nil || g.int(0, 9) == 0:
		b := job(g.pickName(services))
		b.Repeatable, b.Checkpointable, b.MilliCores = g.int(0, 1) == 0, g.int(0, 1) == 0, g.int(-1, 5)*1000
		return b
	case j.Status == JobQueued && g.int(0, 4) > 0:
		return record.JobPlace{Worker: g.pickName(vmNames), MilliCores: g.int(-1, 10) * 1000, MemoryMB: 1000, Attempt: j.Attempt + 1}
	}
	results := []record.JobResult{record.JobSucceeded, record.JobFailed, record.JobPreempted, record.JobNotStarted,
		record.JobLapsed, record.JobUnplaceable, record.JobStopped, "?"}
	return pick[record.Body](g,
		record.JobEnd{Result: results[g.int(0, len(results)-1)], Checkpoint: g.pickName([]string{"", "c"})},
		record.JobEnd{Result: results[g.int(0, len(results)-1)]},
		record.JobCancel{Reason: "no need"},
		record.JobPreempt{Action: record.PreemptThrottle, MilliCores: g.int(0, 3) * 1000},
		record.JobPreempt{Action: record.PreemptRestore, MilliCores: g.int(0, 10) * 1000},
		record.JobPreempt{Action: record.PreemptCheckpoint},
	)
}
