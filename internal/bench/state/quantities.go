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
	// minMeasureTime is how long an operation is repeated for one figure.
	minMeasureTime = 300 * time.Millisecond
	// downCause is the text of an ordinary failed check.
	downCause = "health check: connection refused"
	// foldedVMs go down and up again by turns; all of them are in pools.
	foldedVMs = 900
	// waveDeadline is the deadline of the measured wave: every VM once in 7 weeks.
	waveDeadline = 49 * 24 * time.Hour
)

// testFleet is a fleet of one size, at rest and at the beginning of a wave over
// all pools.
type testFleet struct {
	atRest, inWave *fleet.History
	snapshot       []byte // of the fleet at rest
	list           []byte // of the platform, as JSON
	foldCount      int
}

func newTestFleet(vms int) (*testFleet, error) {
	list := fleet.VMs(vms)
	s := &testFleet{atRest: fleet.AtRest(list), inWave: fleet.NewHistory()}
	var err error
	if s.list, err = json.Marshal(list); err != nil {
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

// quantities are measured in this order, so that the fold, which changes the
// state at rest, comes last; each VM is up again after it.
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
	{"platform's list, kB plain", func(s *testFleet) (float64, error) { return kilobytes(s.list), nil }},
	{"platform's list, kB in gzip", (*testFleet).gzipped},
	{"platform's list, decode, ms", func(s *testFleet) (float64, error) {
		return ms(func() error { return json.Unmarshal(s.list, new(platform.VMList)) })
	}},
	{"decode and fold a record, us", (*testFleet).fold},
}

// planTime is the time at which rounds are planned.
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

// perOperation returns the mean time of an operation, repeated for minTime.
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

// planningRound is one planning round: the copy of the state, taken under the follower's
// lock, and the plan.
func planningRound(h *fleet.History) (float64, error) {
	return ms(func() error {
		maintenance.Plan(pool.NewView(h.State, planTime), pool.DefaultPolicy())
		return nil
	})
}

// findDueSteps is one look of the executor for VMs with a step due.
func (s *testFleet) findDueSteps() (float64, error) {
	return ms(func() error {
		for _, vm := range s.atRest.State.VMs {
			if maintenance.Next(vm) != maintenance.StepNone {
				return errors.Errorf("VM %s of a fleet at rest has a step due", vm.ID)
			}
		}
		return nil
	})
}

// memory is the live heap of one folded state.
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

// liveHeap is the live heap. The second collection frees what the first one's
// finalizers released.
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
	if _, err := w.Write(s.list); err != nil {
		return 0, err
	}
	if err := w.Close(); err != nil {
		return 0, err
	}
	return kilobytes(out.Bytes()), nil
}

// fold is the decoding and folding of one record: a VM found down and healthy
// again by turns.
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
