// Package fleet builds the log of a fleet at rest, for measurements at different
// fleet sizes. The number of pools and teams is that of the design size. A record
// that is not effective is a bug in this package and stops the process.
package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// The design size. Measurements vary only the number of VMs.
const (
	Pools = 94
	Teams = 640
	Zones = 6
	// PerRack is the number of VMs in a rack, as in existing deployments.
	PerRack = 4
	// inPools is the share of the VMs that the documents ask for.
	inPools = 0.95
)

// Sizes are a quarter of the design size, the design size and four times of it, in
// VMs.
var Sizes = []int{1000, 4000, 16000}

// Epoch is the start time of a history.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// History is a log and its folded state. All records have the same author.
type History struct {
	State   *ledger.State
	Entries [][]byte
	// Revisions holds the revision of each service's document.
	Revisions map[string]record.Revision
	ids       int
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{State: ledger.New()} }

// View calls f with the state.
func (h *History) View(f func(*ledger.State)) { f(h.State) }

// Record returns a record about a subject that is based on the current state.
func (h *History) Record(kind record.SubjectKind, name string, body record.Body) record.Record {
	h.ids++
	sub := record.Subject{Kind: kind, Name: name}
	id := ulid.ULID{}
	err := id.SetTime(ulid.Timestamp(Epoch) + uint64(h.ids))
	invariant.Check(err == nil, "set the time of a ULID: %v", err)
	return record.Record{
		ID:      id.String(),
		Subject: sub,
		Base:    h.State.Revision(sub),
		Seen:    h.State.Offset,
		Author:  "entry-01",
		Time:    Epoch.Add(time.Duration(h.ids) * time.Millisecond),
		Body:    body,
	}
}

// Add appends a record to Entries and folds it, and returns its encoded size. The
// record must be effective.
func (h *History) Add(kind record.SubjectKind, name string, body record.Body) int {
	data := h.Fold(h.Record(kind, name, body))
	h.Entries = append(h.Entries, data)
	return len(data)
}

// Fold encodes and folds a record, without appending it to Entries, and returns
// the encoded record. The record must be effective.
func (h *History) Fold(rec record.Record) []byte {
	data, err := record.Encode(rec)
	invariant.Check(err == nil, "encode a record: %v", err)
	out := h.State.ApplyData(h.State.Offset+1, data)
	invariant.Check(out.Status == ledger.Effective, "%s %s: %s", rec.Subject.Name, rec.Body.Kind(), out.Reason)
	return data
}

// VMs returns the platform's list of a fleet of n VMs.
func VMs(n int) platform.VMList {
	list := platform.VMList{AsOf: Epoch}
	for i := range n {
		zone := i % Zones
		list.VMs = append(list.VMs, platform.VM{
			ID:       fmt.Sprintf("vm-%05d", i),
			Zone:     fmt.Sprintf("zone-%c", 'a'+zone),
			Rack:     fmt.Sprintf("zone-%c-rack-%03d", 'a'+zone, i/Zones/PerRack),
			Address:  fmt.Sprintf("10.%d.%d.%d:8080", zone, i>>8, i&0xff),
			Cores:    32,
			MemoryMB: 65536,
			State:    platform.VMLive,
			BootID:   fmt.Sprintf("boot-%05d-00001", i),
		})
	}
	return list
}

// Service returns the name of the ith service.
func Service(i int) string { return fmt.Sprintf("service-%02d", i) }

// Document returns the text of the ith service's document. It has the fields of
// the example documents and quotas for the service's share of the teams.
func Document(i, size int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `service = %q
team = "team-%03d"
weigh = "moves"

[pool]
size = %d
min_zones = 3
min_racks = 3

[budget]
window = "168h"
allowed = 0.03
max_unavailable = 2
one_domain = true

[limits]
slots = 8
connections = 64
retry_share = 0.05
drain = "1m"

[[route]]
prefix = "/search"
class = "quick"
repeatable = true
deadline = "800ms"

[[route]]
prefix = "/index"
class = "long"
repeatable = true
deadline = "45s"
max_body = 8388608

[jobs]
on_drain = "checkpoint"
urgent_cores = 16.0
lease = "20s"
`, Service(i), i, size)
	for team := i; team < Teams; team += Pools {
		fmt.Fprintf(&text, "\n[[quota]]\nteam = \"team-%03d\"\ncores = 128.0\nmemory_mb = 524288\n", team)
	}
	return text.String()
}

// PoolSize returns the size of each pool in a fleet of the given number of VMs.
func PoolSize(vms int) int { return int(float64(vms) * inPools / Pools) }

// NewSteadyStateHistory returns the history of a fleet at rest: all documents are published, all
// VMs are registered, the pools are full and all their VMs are up.
func NewSteadyStateHistory(list platform.VMList) *History {
	h := NewHistory()
	size := PoolSize(len(list.VMs))
	for i := range Pools {
		h.Add(record.SubjectService, Service(i), record.DocumentPublish{Text: Document(i, size)})
	}
	h.Revisions = map[string]record.Revision{}
	for name, svc := range h.State.Services {
		h.Revisions[name] = svc.Revision
	}
	for i, vm := range list.VMs {
		h.Add(record.SubjectVM, vm.ID, record.VMRegister{
			Zone: vm.Zone, Rack: vm.Rack, Address: vm.Address,
			Cores: vm.Cores, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators,
		})
		if i < size*Pools {
			h.Add(record.SubjectVM, vm.ID, record.VMJoin{Pool: Service(i % Pools)})
			h.Add(record.SubjectVM, vm.ID, record.VMUp{})
		}
	}
	return h
}
