package ledger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// fleetSize is a fleet to fold: the size to design for, a quarter and four
// times of it.
type fleetSize struct{ vms, pools, teams, jobs int }

var fleetSizes = []fleetSize{
	{vms: 1000, pools: 24, teams: 160, jobs: 1000},
	{vms: 4000, pools: 94, teams: 640, jobs: 4000},
	{vms: 16000, pools: 376, teams: 2560, jobs: 16000},
}

func (f fleetSize) String() string { return fmt.Sprintf("vms=%d", f.vms) }

// fleet is a folded fleet and the means to go on with its history.
type fleet struct {
	size fleetSize
	s    *State
	now  time.Time
	ids  int
	log  [][]byte // entries to fold, from the offset of s on
	rand *rand.Rand
}

func newFleet(tb testing.TB, size fleetSize) *fleet {
	f := &fleet{size: size, s: New(), now: epoch, rand: rand.New(rand.NewPCG(1, 2))}
	perPool := size.vms / size.pools
	for p := range size.pools {
		f.must(tb, record.SubjectService, poolName(p), record.DocumentPublish{Text: f.document(p, perPool)})
	}
	for v := range size.vms {
		id := fmt.Sprintf("vm-%05d", v)
		f.must(tb, record.SubjectVM, id, record.VMRegister{
			Zone: fmt.Sprintf("region-%d-zone-%d", v%3, v%6), Rack: fmt.Sprintf("rack-%04d", v/4),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", v>>16, v>>8&255, v&255), Cores: 32, MemoryMB: 65536,
		})
		f.must(tb, record.SubjectVM, id, record.VMJoin{Pool: poolName(min(v/perPool, size.pools-1))})
		f.must(tb, record.SubjectVM, id, record.VMUp{})
	}
	for j := range size.jobs {
		p := j % size.pools
		f.must(tb, record.SubjectJob, fmt.Sprintf("job-%06d", j), record.JobSubmit{Service: poolName(p),
			Team: teamName(p, j%f.teamsPerPool()), MilliCores: 2000, MemoryMB: 2048, RunTime: time.Hour, Repeatable: true})
	}
	return f
}

func poolName(p int) string        { return fmt.Sprintf("service-%03d", p) }
func teamName(p, n int) string     { return fmt.Sprintf("team-%03d-%d", p, n) }
func (f *fleet) teamsPerPool() int { return max(1, f.size.teams/f.size.pools) }
func (f *fleet) document(p, n int) string {
	var quotas strings.Builder
	for q := range f.teamsPerPool() {
		fmt.Fprintf(&quotas, "[[quota]]\nteam = %q\ncores = 100000\nmemory_mb = 100000000\n", teamName(p, q))
	}
	return fmt.Sprintf("service = %q\nteam = \"owner\"\n[pool]\nsize = %d\n[budget]\nwindow = \"168h\"\nallowed = 0.5\nmax_unavailable = %d\none_domain = false\n%s",
		poolName(p), n, n-1, quotas.String())
}

func (f *fleet) draft(kind record.SubjectKind, name string, body record.Body) record.Record {
	f.ids++
	sub := record.Subject{Kind: kind, Name: name}
	return record.Record{ID: fmt.Sprintf("01JQZX%020d", f.ids), Subject: sub, Base: f.s.Revision(sub), Seen: f.s.Offset,
		Author: fmt.Sprintf("entry-%d", f.ids%8), Time: f.now, Body: body}
}

func (f *fleet) must(tb testing.TB, kind record.SubjectKind, name string, body record.Body) {
	out := f.s.Apply(f.s.Offset+1, f.draft(kind, name, body))
	require.Equal(tb, Effective, out.Status, out.Reason)
}

// prepare writes n entries: VMs that fail and come back, drains with reboots,
// jobs placed and ended. It folds them as it goes; the caller restores.
func (f *fleet) prepare(tb testing.TB, n int) {
	for len(f.log) < n {
		id := fmt.Sprintf("vm-%05d", f.rand.IntN(f.size.vms))
		f.now = f.now.Add(3 * time.Second)
		var body record.Body
		switch vm := f.s.VMs[id]; {
		case f.rand.IntN(2) == 0:
			f.job(tb)
			continue
		case vm.Down || vm.Phase == record.PhaseReturning:
			body = record.VMUp{}
		case vm.Phase == record.PhaseDraining:
			body = record.VMAdvance{To: record.PhaseDrained}
		case vm.Phase == record.PhaseDrained:
			body = record.VMAdvance{To: record.PhaseRebooting}
		case vm.Phase == record.PhaseRebooting:
			body = record.VMAdvance{To: record.PhaseReturning}
		case f.rand.IntN(3) == 0:
			body = record.VMDown{Cause: "health check: connection refused"}
		default:
			body = record.VMDrain{Reason: record.DrainMaintenance, Estimate: 3 * time.Minute}
		}
		f.add(tb, f.draft(record.SubjectVM, id, body))
	}
}

func (f *fleet) job(tb testing.TB) {
	name := fmt.Sprintf("job-%06d", f.rand.IntN(f.size.jobs))
	j := f.s.Jobs[name]
	if j == nil || j.Ended() {
		return
	}
	if j.Status == JobPlaced {
		f.add(tb, f.draft(record.SubjectJob, name, record.JobEnd{Result: record.JobNotStarted}))
		return
	}
	for _, id := range slices.Sorted(maps.Keys(f.s.poolVMs[j.Spec.Service]))[:1] {
		f.add(tb, f.draft(record.SubjectJob, name, record.JobPlace{Worker: id, MilliCores: 100, MemoryMB: 100}))
	}
}

func (f *fleet) add(tb testing.TB, rec record.Record) {
	data, err := record.Encode(rec)
	require.NoError(tb, err)
	f.log = append(f.log, data)
	f.s.ApplyData(f.s.Offset+1, data)
}

// foldEntries is how many entries the benchmarks fold from one start.
const foldEntries = 20_000

// BenchmarkFold folds encoded entries as a follower does, and decoded records.
func BenchmarkFold(b *testing.B) {
	for _, size := range fleetSizes {
		f := newFleet(b, size)
		start, err := EncodeSnapshot(f.s)
		require.NoError(b, err)
		f.prepare(b, foldEntries)
		var records []record.Record
		var bytes int
		for _, data := range f.log {
			rec, err := record.Decode(data)
			require.NoError(b, err)
			records = append(records, rec)
			bytes += len(data)
		}
		b.Run(size.String()+"/entries", func(b *testing.B) {
			benchmarkFold(b, start, func(s *State, i int) Outcome { return s.ApplyData(s.Offset+1, f.log[i]) })
			b.ReportMetric(float64(bytes)/foldEntries, "bytes/record")
		})
		b.Run(size.String()+"/records", func(b *testing.B) {
			benchmarkFold(b, start, func(s *State, i int) Outcome { return s.Apply(s.Offset+1, records[i]) })
		})
	}
}

func benchmarkFold(b *testing.B, start []byte, fold func(*State, int) Outcome) {
	effective := 0
	for done := 0; done < b.N; done += foldEntries {
		b.StopTimer()
		s, err := DecodeSnapshot(start)
		require.NoError(b, err)
		b.StartTimer()
		for i := range min(foldEntries, b.N-done) {
			if fold(s, i).Status == Effective {
				effective++
			}
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(effective)/float64(b.N), "effective/record")
}

// BenchmarkSnapshot measures a snapshot and the state that it restores.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			f := newFleet(b, size)
			f.prepare(b, foldEntries)
			var data []byte
			b.Run("encode", func(b *testing.B) {
				for b.Loop() {
					data, _ = EncodeSnapshot(f.s)
				}
				b.ReportMetric(float64(len(data)), "bytes")
			})
			b.Run("decode", func(b *testing.B) {
				for b.Loop() {
					_, err := DecodeSnapshot(data)
					require.NoError(b, err)
				}
			})
			b.Run("state", func(b *testing.B) {
				var before, after runtime.MemStats
				f.s = nil
				for b.Loop() {
					runtime.GC()
					runtime.ReadMemStats(&before)
					s, _ := DecodeSnapshot(data)
					runtime.GC()
					runtime.ReadMemStats(&after)
					runtime.KeepAlive(s)
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			})
		})
	}
}
