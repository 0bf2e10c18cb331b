// Package state measures the processor time, memory and bytes that the folded
// state, planning and the platform's VM list take, at a quarter of the design
// size, at the design size and at four times of it. Results are in
// docs/MEASUREMENTS.md, section "Capacity slopes".
package state

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/bench/fleet"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Slopes measures each quantity at each size, in several runs, and the sizes of
// records.
func Slopes(runs int) ([]figure.Table, error) {
	table := figure.Table{
		Title:  fmt.Sprintf("%d pools, %d teams, the fleet at rest", fleet.Pools, fleet.Teams),
		Labels: []string{"quantity"},
	}
	columns := make([][]figure.Sample, 0, len(fleet.Sizes))
	for _, vms := range fleet.Sizes {
		table.Quantities = append(table.Quantities, fmt.Sprintf("%d VMs", vms))
		s, err := newTestFleet(vms)
		if err != nil {
			return nil, err
		}
		samples, err := figure.Collect(runs, func(uint64) ([]float64, error) { return s.measure() })
		if err != nil {
			return nil, err
		}
		columns = append(columns, samples)
	}
	for i, q := range quantities {
		var row []figure.Sample
		for _, column := range columns {
			row = append(row, column[i])
		}
		table.Add(row, q.name)
	}
	return []figure.Table{table, recordSizes()}, nil
}

// recordSizes returns the encoded size of a typical record of each kind.
func recordSizes() figure.Table {
	table := figure.Table{Title: "a record on the log", Labels: []string{"kind"}, Quantities: []string{"bytes"}}
	vms := fleet.Sizes[0]
	steps := []struct {
		kind record.SubjectKind
		name string
		body record.Body
	}{
		{record.SubjectService, fleet.Service(0), record.DocumentPublish{Text: fleet.Document(0, fleet.PoolSize(vms))}},
		{record.SubjectVM, "vm-00000", record.VMDown{Cause: downCause}},
		{record.SubjectVM, "vm-00000", record.VMUp{}},
		{record.SubjectVM, "vm-00000", record.VMDrain{Reason: record.DrainOperator, Estimate: 3 * time.Minute}},
		{record.SubjectVM, "vm-00000", record.VMAdvance{To: record.PhaseDrained}},
		{record.SubjectJob, "job-000001", record.JobSubmit{
			Service: fleet.Service(0), Team: "team-000", MilliCores: 2000, MemoryMB: 2048, RunTime: time.Hour, Repeatable: true,
		}},
		{record.SubjectJob, "job-000001", record.JobPlace{Worker: "vm-00094", MilliCores: 2000, MemoryMB: 2048, Attempt: 1}},
		{record.SubjectJob, "job-000001", record.JobEnd{Result: record.JobSucceeded, PeakMilliCores: 1900, PeakMemoryMB: 1800}},
	}
	h := fleet.NewSteadyStateHistory(fleet.VMs(vms))
	sizes := map[string]int{}
	for _, s := range steps {
		sizes[string(s.body.Kind())] = h.Add(s.kind, s.name, s.body)
	}
	for _, kind := range slices.Sorted(maps.Keys(sizes)) {
		table.Add([]figure.Sample{{float64(sizes[kind])}}, kind)
	}
	return table
}
