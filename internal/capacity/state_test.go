package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// perSize runs a benchmark for each number of VMs.
func perSize(b *testing.B, run func(b *testing.B, h *history)) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			run(b, fleet(b, vmList(n)))
		})
	}
}

// BenchmarkFold is the decoding and folding of one record: a VM found down and
// healthy again by turns.
func BenchmarkFold(b *testing.B) {
	perSize(b, func(b *testing.B, h *history) {
		down, up := record.VMDown{Cause: "health check: connection refused"}, record.VMUp{}
		i := 0
		for b.Loop() {
			var body record.Body = down
			if i%2 == 1 {
				body = up
			}
			data, err := record.Encode(h.record(record.SubjectVM, fmt.Sprintf("vm-%05d", i/2%900), body))
			if err != nil {
				b.Fatal(err)
			}
			if out := h.state.ApplyData(h.state.Offset+1, data); out.Status != ledger.Effective {
				b.Fatal(out.Reason)
			}
			i++
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e3, "us/record")
	})
}

// BenchmarkTable is the building of an entry's routing table after a change.
func BenchmarkTable(b *testing.B) {
	perSize(b, func(b *testing.B, h *history) {
		for b.Loop() {
			routing.Build(h.state)
		}
	})
}

// BenchmarkPlan is one planning round: the copy of the state, taken under the
// follower's lock, and the plan.
func BenchmarkPlan(b *testing.B) {
	for _, wave := range []bool{false, true} {
		b.Run(fmt.Sprintf("wave=%t", wave), func(b *testing.B) {
			perSize(b, func(b *testing.B, h *history) {
				if wave {
					h.add(record.SubjectWave, "wave-1", record.WaveStart{Pools: allPools(), Deadline: epoch.Add(49 * 24 * time.Hour)})
				}
				now := epoch.Add(time.Hour)
				var copied time.Duration
				for b.Loop() {
					began := time.Now()
					view := pool.NewView(h.state, now)
					copied += time.Since(began)
					maintenance.Plan(view, pool.DefaultPolicy())
				}
				b.ReportMetric(float64(copied.Nanoseconds())/float64(b.N), "copy-ns/op")
			})
		})
	}
}

func allPools() []string {
	var names []string
	for i := range pools {
		names = append(names, service(i))
	}
	return names
}

// BenchmarkLook is one look of the executor for VMs with a step due.
func BenchmarkLook(b *testing.B) {
	perSize(b, func(b *testing.B, h *history) {
		for b.Loop() {
			for _, vm := range h.state.VMs {
				if maintenance.Next(vm) != maintenance.StepNone {
					b.Fatal("a fleet at rest has no step due")
				}
			}
		}
	})
}

// BenchmarkMemory is the live heap of one folded state.
func BenchmarkMemory(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			entries := fleet(b, vmList(n)).entries
			for b.Loop() {
				before := heap()
				state := ledger.New()
				for i, data := range entries {
					state.ApplyData(uint64(i+1), data)
				}
				b.ReportMetric(float64(heap()-before), "heap-B")
				runtime.KeepAlive(state)
			}
			runtime.KeepAlive(entries)
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSnapshot is the encoding of a snapshot, its size on the log, and the
// start of a process from it.
func BenchmarkSnapshot(b *testing.B) {
	b.Run("encode", func(b *testing.B) {
		perSize(b, func(b *testing.B, h *history) {
			var data []byte
			for b.Loop() {
				var err error
				data, err = ledger.EncodeSnapshot(h.state)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "B")
		})
	})
	b.Run("decode", func(b *testing.B) {
		perSize(b, func(b *testing.B, h *history) {
			data, err := ledger.EncodeSnapshot(h.state)
			require.NoError(b, err)
			for b.Loop() {
				_, err := ledger.DecodeSnapshot(data)
				require.NoError(b, err)
			}
		})
	})
}

// BenchmarkList is the decoding of the platform's list and its size.
func BenchmarkList(b *testing.B) {
	for _, n := range vmCounts {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			data, err := json.Marshal(vmList(n))
			require.NoError(b, err)
			for b.Loop() {
				var list platform.VMList
				require.NoError(b, json.Unmarshal(data, &list))
			}
			b.ReportMetric(float64(len(data)), "B")
			b.ReportMetric(float64(len(compressed(b, data))), "gzip-B")
		})
	}
}

func compressed(tb testing.TB, data []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := w.Write(data)
	require.NoError(tb, err)
	require.NoError(tb, w.Close())
	return out.Bytes()
}

// BenchmarkRecordSize is the size on the log of the records of each kind.
func BenchmarkRecordSize(b *testing.B) {
	size := int(float64(vmCounts[0]) * inPools / pools)
	list := vmList(vmCounts[0])
	steps := []struct {
		kind record.SubjectKind
		name string
		body record.Body
	}{
		{record.SubjectService, service(0), record.DocumentPublish{Text: documentText(0, size)}},
		{record.SubjectVM, "vm-00000", record.VMDown{Cause: "health check: connection refused"}},
		{record.SubjectVM, "vm-00000", record.VMUp{}},
		{record.SubjectVM, "vm-00000", record.VMDrain{Reason: record.DrainOperator, Estimate: 3 * time.Minute}},
		{record.SubjectVM, "vm-00000", record.VMAdvance{To: record.PhaseDrained}},
		{record.SubjectJob, "job-000001", record.JobSubmit{
			Service: service(0), Team: "team-000", MilliCores: 2000, MemoryMB: 2048, RunTime: time.Hour, Repeatable: true,
		}},
		{record.SubjectJob, "job-000001", record.JobPlace{Worker: "vm-00094", MilliCores: 2000, MemoryMB: 2048, Attempt: 1}},
		{record.SubjectJob, "job-000001", record.JobEnd{Result: record.JobSucceeded, PeakMilliCores: 1900, PeakMemoryMB: 1800}},
	}
	sizes := map[string]float64{}
	for b.Loop() {
		h := fleet(b, list)
		for _, s := range steps {
			sizes[string(s.body.Kind())] = float64(h.add(s.kind, s.name, s.body))
		}
	}
	for kind, bytes := range sizes {
		b.ReportMetric(bytes, kind+"-B")
	}
}
