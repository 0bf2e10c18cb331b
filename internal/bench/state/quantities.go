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
	// minTime is how long an operation is repeated for one figure.
	minTime = 300 * time.Millisecond
	// downCause is the text of an ordinary failed check.
	downCause = "health check: connection refused"
	// foldedVMs go down and up again by turns; all of them are in pools.
	foldedVMs = 900
	// waveTime is the deadline of the measured wave: every VM once in 7 weeks.
	waveTime = 49 * 24 * time.Hour
)

// subject is a fleet of one size, at rest and at the beginning of a wave over
// all pools.
type subject struct {
	rest, wave *fleet.History
	snapshot   []byte // of the fleet at rest
	list       []byte // of the platform, as JSON
	folds      int
}

func newSubject(vms int) (*subject, error) {
	list := fleet.VMs(vms)
	s := &subject{rest: fleet.AtRest(list), wave: fleet.NewHistory()}
	var err error
	if s.list, err = json.Marshal(list); err != nil {
		return nil, err
	}
	if s.snapshot, err = ledger.EncodeSnapshot(s.rest.State); err != nil {
		return nil, err
	}
	if s.wave.State, err = ledger.DecodeSnapshot(s.snapshot); err != nil {
		return nil, err
	}
	var pools []string
	for i := range fleet.Pools {
		pools = append(pools, fleet.Service(i))
	}
	start := record.WaveStart{Pools: pools, Deadline: fleet.Epoch.Add(waveTime)}
	s.wave.Fold(s.wave.Record(record.SubjectWave, "wave-1", start))
	return s, nil
}

// quantities are measured in this order, so that the fold, which changes the
// state at rest, comes last; each VM is up again after it.
var quantities = []struct {
	name    string
	measure func(*subject) (float64, error)
}{
	{"routing table, ms", func(s *subject) (float64, error) {
		return ms(func() error { routing.Build(s.rest.State); return nil })
	}},
	{"planning round, ms", func(s *subject) (float64, error) { return plan(s.rest) }},
	{"the same in a wave over all pools, ms", func(s *subject) (float64, error) { return plan(s.wave) }},
	{"the state's copy in a planning round, ms", func(s *subject) (float64, error) {
		return ms(func() error { pool.NewView(s.rest.State, planned); return nil })
	}},
	{"look for due steps, ms", (*subject).look},
	{"folded state, live heap, MB", (*subject).memory},
	{"snapshot, kB", func(s *subject) (float64, error) { return kilobytes(s.snapshot), nil }},
	{"snapshot encode, ms", func(s *subject) (float64, error) {
		return ms(func() error { _, err := ledger.EncodeSnapshot(s.rest.State); return err })
	}},
	{"snapshot decode, ms", func(s *subject) (float64, error) {
		return ms(func() error { _, err := ledger.DecodeSnapshot(s.snapshot); return err })
	}},
	{"platform's list, kB plain", func(s *subject) (float64, error) { return kilobytes(s.list), nil }},
	{"platform's list, kB in gzip", (*subject).gzipped},
	{"platform's list, decode, ms", func(s *subject) (float64, error) {
		return ms(func() error { return json.Unmarshal(s.list, new(platform.VMList)) })
	}},
	{"decode and fold a record, us", (*subject).fold},
}

// planned is the time at which rounds are planned.
var planned = fleet.Epoch.Add(time.Hour)

func (s *subject) measure() ([]float64, error) {
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
	for time.Since(began) < minTime {
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

// plan is one planning round: the copy of the state, taken under the follower's
// lock, and the plan.
func plan(h *fleet.History) (float64, error) {
	return ms(func() error {
		maintenance.Plan(pool.NewView(h.State, planned), pool.DefaultPolicy())
		return nil
	})
}

// look is one look of the executor for VMs with a step due.
func (s *subject) look() (float64, error) {
	return ms(func() error {
		for _, vm := range s.rest.State.VMs {
			if maintenance.Next(vm) != maintenance.StepNone {
				return errors.Errorf("VM %s of a fleet at rest has a step due", vm.ID)
			}
		}
		return nil
	})
}

// memory is the live heap of one folded state.
func (s *subject) memory() (float64, error) {
	before := heap()
	state := ledger.New()
	for i, data := range s.rest.Entries {
		state.ApplyData(uint64(i+1), data)
	}
	grown := heap() - before
	runtime.KeepAlive(state)
	runtime.KeepAlive(s)
	return float64(grown) / 1e6, nil
}

// heap is the live heap. The second collection frees what the first one's
// finalizers released.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (s *subject) gzipped() (float64, error) {
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
func (s *subject) fold() (float64, error) {
	took, err := perOperation(func() error {
		id := fmt.Sprintf("vm-%05d", s.folds%foldedVMs)
		s.folds++
		s.rest.Fold(s.rest.Record(record.SubjectVM, id, record.VMDown{Cause: downCause}))
		s.rest.Fold(s.rest.Record(record.SubjectVM, id, record.VMUp{}))
		return nil
	})
	return float64(took.Nanoseconds()) / 1e3 / 2, err
}
