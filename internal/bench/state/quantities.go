package state

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/bench/fleet"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

const (
	// minMeasureTime is how long an operation is repeated for one result.
	minMeasureTime = 300 * time.Millisecond
	// downCause is a typical cause of a VM that is down.
	downCause = "health check: connection refused"
	// foldedVMs is the number of VMs that the measured records report as down and
	// up. All of them are in pools.
	foldedVMs = 900
	// waveDeadline is the deadline of the wave. Each VM is maintained once in 7
	// weeks.
	waveDeadline = 49 * 24 * time.Hour
)

// testFleet is a fleet of one size in two states: at rest, and at the start of a
// wave over all pools.
type testFleet struct {
	atRest, inWave *fleet.History
	snapshot       []byte // of the fleet at rest
	vmList         []byte // the platform's VM list as JSON
	foldCount      int
}

func newTestFleet(vms int) (*testFleet, error) {
	list := fleet.VMs(vms)
	s := &testFleet{atRest: fleet.NewSteadyStateHistory(list), inWave: fleet.NewHistory()}
	var err error
	if s.vmList, err = json.Marshal(list); err != nil {
		return nil, err
	}
	if s.snapshot, err = ledger.EncodeSnapshot(s.atRest.State); err != nil {
		return nil, err
	}
	if s.inWave.State, err = ledger.DecodeSnapshot(s.snapshot); err != nil {
		return nil, err
	}
	var pools []string
	for i := range fleet.Pools {
		pools = append(pools, fleet.Service(i))
	}
	start := record.WaveStart{Pools: pools, Deadline: fleet.Epoch.Add(waveDeadline)}
	s.inWave.Fold(s.inWave.Record(record.SubjectWave, "wave-1", start))
	return s, nil
}

// quantities are measured in this order. The fold comes last, since it changes the
// state at rest; it leaves each VM up.
var quantities = []struct {
	name    string
	measure func(*testFleet) (float64, error)
}{
	{"routing table, ms", func(s *testFleet) (float64, error) {
		return ms(func() error { routing.Build(s.atRest.State); return nil })
	}},
	{"planning round, ms", func(s *testFleet) (float64, error) { return planningRound(s.atRest) }},
	{"the same in a wave over all pools, ms", func(s *testFleet) (float64, error) { return planningRound(s.inWave) }},
	{"the state's copy in a planning round, ms", func(s *testFleet) (float64, error) {
		return ms(func() error { pool.NewView(s.atRest.State, planTime); return nil })
	}},
	{"look for due steps, ms", (*testFleet).findDueSteps},
	{"folded state, live heap, MB", (*testFleet).memory},
	{"snapshot, kB", func(s *testFleet) (float64, error) { return kilobytes(s.snapshot), nil }},
	{"snapshot encode, ms", func(s *testFleet) (float64, error) {
		return ms(func() error { _, err := ledger.EncodeSnapshot(s.atRest.State); return err })
	}},
	{"snapshot decode, ms", func(s *testFleet) (float64, error) {
		return ms(func() error { _, err := ledger.DecodeSnapshot(s.snapshot); return err })
	}},
	{"platform's list, kB plain", func(s *testFleet) (float64, error) { return kilobytes(s.vmList), nil }},
	{"platform's list, kB in gzip", (*testFleet).gzipped},
	{"platform's list, decode, ms", func(s *testFleet) (float64, error) {
		return ms(func() error { return json.Unmarshal(s.vmList, new(platform.VMList)) })
	}},
	{"decode and fold a record, us", (*testFleet).fold},
}

// planTime is the time of the planning rounds.
var planTime = fleet.Epoch.Add(time.Hour)

func (s *testFleet) measure() ([]float64, error) {
	var values []float64
	for _, q := range quantities {
		v, err := q.measure(s)
		if err != nil {
			return nil, errors.Wrap(err, q.name)
		}
		values = append(values, v)
	}
	return values, nil
}

// perOperation repeats an operation for minMeasureTime and returns its mean
// duration.
func perOperation(operation func() error) (time.Duration, error) {
	began, n := time.Now(), 0
	for time.Since(began) < minMeasureTime {
		if err := operation(); err != nil {
			return 0, err
		}
		n++
	}
	return time.Since(began) / time.Duration(n), nil
}

func ms(operation func() error) (float64, error) {
	took, err := perOperation(operation)
	return float64(took.Nanoseconds()) / 1e6, err
}

func kilobytes(data []byte) float64 { return float64(len(data)) / 1e3 }

// planningRound measures a planning round in ms: the copy of the state, which a
// steward takes with the follower's lock held, and the plan.
func planningRound(h *fleet.History) (float64, error) {
	return ms(func() error {
		maintenance.Plan(pool.NewView(h.State, planTime), pool.DefaultPolicy())
		return nil
	})
}

// findDueSteps measures the executor's check of all VMs for due steps, in ms.
func (s *testFleet) findDueSteps() (float64, error) {
	return ms(func() error {
		for _, vm := range s.atRest.State.VMs {
			if maintenance.Next(vm) != maintenance.StepNone {
				return errors.Errorf("VM %s has a step due, although its fleet is at rest", vm.ID)
			}
		}
		return nil
	})
}

// memory returns the live heap of a folded state in MB.
func (s *testFleet) memory() (float64, error) {
	before := liveHeap()
	state := ledger.New()
	for i, data := range s.atRest.Entries {
		state.ApplyData(uint64(i+1), data)
	}
	grown := liveHeap() - before
	runtime.KeepAlive(state)
	runtime.KeepAlive(s)
	return float64(grown) / 1e6, nil
}

// liveHeap returns the bytes of the live heap. The second collection frees what
// the finalizers of the first one released.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (s *testFleet) gzipped() (float64, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(s.vmList); err != nil {
		return 0, err
	}
	if err := w.Close(); err != nil {
		return 0, err
	}
	return kilobytes(out.Bytes()), nil
}

// fold measures the encoding, decoding and folding of a record in us. The records
// report VMs as down and up again.
func (s *testFleet) fold() (float64, error) {
	took, err := perOperation(func() error {
		id := fmt.Sprintf("vm-%05d", s.foldCount%foldedVMs)
		s.foldCount++
		s.atRest.Fold(s.atRest.Record(record.SubjectVM, id, record.VMDown{Cause: downCause}))
		s.atRest.Fold(s.atRest.Record(record.SubjectVM, id, record.VMUp{}))
		return nil
	})
	return float64(took.Nanoseconds()) / 1e3 / 2, err
}
