package state

import (
	"runtime"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// foldEntries is the number of entries of a history.
const foldEntries = 20_000

// History measures the fold of a history of VM failures, drains with reboots, and
// placements and ends of jobs. It folds decoded records, and encoded entries as a
// follower does. It also measures the snapshot after the history and the state
// restored from it. Each seed gives another history.
func History(seeds int) ([]figure.Table, error) {
	table := figure.Table{
		Title:  "fold of a busy fleet's history",
		Labels: []string{"VMs / pools / teams / jobs"},
		Quantities: []string{
			"fold of records, a second", "with decoding, a second", "effective, %", "bytes a record",
			"snapshot, kB", "encode, ms", "decode, ms", "state in memory, MB",
		},
	}
	for _, size := range historySizes {
		samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) { return history(size, seed+1) })
		if err != nil {
			return nil, err
		}
		table.Add(samples, size.String())
	}
	return []figure.Table{table}, nil
}

func history(size historySize, seed uint64) ([]float64, error) {
	f := newBusyFleet(size, seed)
	start, err := ledger.EncodeSnapshot(f.state)
	if err != nil {
		return nil, err
	}
	f.extendLog(foldEntries)
	records, bytes, err := decodeAll(f.log)
	if err != nil {
		return nil, err
	}
	foldRate, effective, err := foldAll(start, func(s *ledger.State, i int) ledger.Outcome { return s.Apply(s.Offset+1, records[i]) })
	if err != nil {
		return nil, err
	}
	decodeAndFoldRate, _, err := foldAll(start, func(s *ledger.State, i int) ledger.Outcome { return s.ApplyData(s.Offset+1, f.log[i]) })
	if err != nil {
		return nil, err
	}
	after, err := snapshot(f)
	values := []float64{foldRate, decodeAndFoldRate, 100 * float64(effective) / foldEntries, float64(bytes) / foldEntries}
	return append(values, after...), err
}

func decodeAll(log [][]byte) (records []record.Record, bytes int, err error) {
	for _, data := range log {
		rec, err := record.Decode(data)
		if err != nil {
			return nil, 0, err
		}
		records = append(records, rec)
		bytes += len(data)
	}
	return records, bytes, nil
}

// foldAll restores the snapshot start and folds the entries with fold. It returns
// the number of entries per second and the number of effective ones.
func foldAll(start []byte, fold func(*ledger.State, int) ledger.Outcome) (rate float64, effective int, err error) {
	s, err := ledger.DecodeSnapshot(start)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	for i := range foldEntries {
		if fold(s, i).Status == ledger.Effective {
			effective++
		}
	}
	return foldEntries / time.Since(began).Seconds(), effective, nil
}

// snapshot returns the size of a snapshot in kB, the times to encode and decode it
// in ms, and the live heap of the state restored from it in MB.
func snapshot(f *busyFleet) ([]float64, error) {
	data, err := ledger.EncodeSnapshot(f.state)
	if err != nil {
		return nil, err
	}
	encode, err := ms(func() error { _, err := ledger.EncodeSnapshot(f.state); return err })
	if err != nil {
		return nil, err
	}
	decode, err := ms(func() error { _, err := ledger.DecodeSnapshot(data); return err })
	if err != nil {
		return nil, err
	}
	before := liveHeap()
	s, err := ledger.DecodeSnapshot(data)
	grown := liveHeap() - before
	runtime.KeepAlive(s)
	runtime.KeepAlive(f)
	return []float64{kilobytes(data), encode, decode, float64(grown) / 1e6}, err
}
