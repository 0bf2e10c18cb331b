package capacity

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// The size to design for; the benchmarks vary the VMs.
const (
	pools = 94
	teams = 640
	zones = 6
	// perRack VMs share a rack, as in the deployments of today.
	perRack = 4
	// inPools is the share of the VMs that documents ask for.
	inPools = 0.95
)

// vmCounts are a quarter of, the size to design for, and four times of it.
var vmCounts = []int{1000, 4000, 16000}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// history is a log and its fold. Records are added as one author would.
type history struct {
	tb      testing.TB
	state   *ledger.State
	entries [][]byte
	ids     int
	// revisions are those of the services on the platform's log.
	revisions map[string]record.Revision
}

func newHistory(tb testing.TB) *history { return &history{tb: tb, state: ledger.New()} }

// record returns the next record about a subject.
func (h *history) record(kind record.SubjectKind, name string, body record.Body) record.Record {
	h.ids++
	sub := record.Subject{Kind: kind, Name: name}
	id := ulid.ULID{}
	require.NoError(h.tb, id.SetTime(ulid.Timestamp(epoch)+uint64(h.ids)))
	return record.Record{
		ID:      id.String(),
		Subject: sub,
		Base:    h.state.Revision(sub),
		Seen:    h.state.Offset,
		Author:  "entry-01",
		Time:    epoch.Add(time.Duration(h.ids) * time.Millisecond),
		Body:    body,
	}
}

// add folds a record that must be effective and returns its encoded size.
func (h *history) add(kind record.SubjectKind, name string, body record.Body) int {
	data, err := record.Encode(h.record(kind, name, body))
	require.NoError(h.tb, err)
	out := h.state.ApplyData(h.state.Offset+1, data)
	require.Equal(h.tb, ledger.Effective, out.Status, "%s %s: %s", name, body.Kind(), out.Reason)
	h.entries = append(h.entries, data)
	return len(data)
}

// vmList returns the platform's list of n VMs.
func vmList(n int) platform.VMList {
	list := platform.VMList{AsOf: epoch}
	for i := range n {
		zone := i % zones
		list.VMs = append(list.VMs, platform.VM{
			ID:       fmt.Sprintf("vm-%05d", i),
			Zone:     fmt.Sprintf("zone-%c", 'a'+zone),
			Rack:     fmt.Sprintf("zone-%c-rack-%03d", 'a'+zone, i/zones/perRack),
			Address:  fmt.Sprintf("10.%d.%d.%d:8080", zone, i>>8, i&0xff),
			Cores:    32,
			MemoryMB: 65536,
			State:    platform.VMLive,
			BootID:   fmt.Sprintf("boot-%05d-00001", i),
		})
	}
	return list
}

func service(i int) string { return fmt.Sprintf("service-%02d", i) }

// documentText returns the text of a service's document: the fields of the example
// documents, and its part of the teams.
func documentText(i, size int) string {
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
`, service(i), i, size)
	for team := i; team < teams; team += pools {
		fmt.Fprintf(&text, "\n[[quota]]\nteam = \"team-%03d\"\ncores = 128.0\nmemory_mb = 524288\n", team)
	}
	return text.String()
}

// fleet returns the log of a fleet at rest: all documents in force, all VMs
// known, the pools full and every VM healthy.
func fleet(tb testing.TB, list platform.VMList) *history {
	h := newHistory(tb)
	size := int(float64(len(list.VMs)) * inPools / pools)
	for i := range pools {
		h.add(record.SubjectService, service(i), record.DocumentPublish{Text: documentText(i, size)})
	}
	h.revisions = map[string]record.Revision{}
	for name, svc := range h.state.Services {
		h.revisions[name] = svc.Revision
	}
	for i, vm := range list.VMs {
		h.add(record.SubjectVM, vm.ID, record.VMRegister{
			Zone: vm.Zone, Rack: vm.Rack, Address: vm.Address,
			Cores: vm.Cores, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators,
		})
		if i < size*pools {
			h.add(record.SubjectVM, vm.ID, record.VMJoin{Pool: service(i % pools)})
			h.add(record.SubjectVM, vm.ID, record.VMUp{})
		}
	}
	return h
}
