package trace

import (
	"context"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Limits of a recording.
const (
	maxReadEntries = 1000
	// pollInterval is the pause between two reads of the log.
	pollInterval = 100 * time.Millisecond
	// readsPerList is the number of reads of the log for each read of the list of VMs.
	readsPerList = 5
)

// Source is the platform interface that a recording reads.
type Source interface {
	platform.Log
	List(ctx context.Context) (platform.VMList, error)
}

// Recorder writes a trace of the platform's log and list of VMs.
type Recorder struct {
	source       Source
	stream       string
	writer       *Writer
	state        *ledger.State
	statusCounts map[ledger.Status]int
	lastListed   map[string]platform.VM
}

// NewRecorder begins a trace of a stream. The trace starts with the entry after the
// snapshot, or with the first entry if the snapshot is empty.
func NewRecorder(source Source, stream, note string, snapshot []byte, to io.Writer) (*Recorder, error) {
	state := ledger.New()
	if len(snapshot) > 0 {
		var err error
		if state, err = ledger.DecodeSnapshot(snapshot); err != nil {
			return nil, err
		}
	}
	w, err := NewWriter(to, Header{Recorded: time.Now().UTC(), Stream: stream, Note: note, Snapshot: snapshot})
	if err != nil {
		return nil, err
	}
	return &Recorder{
		source:       source,
		stream:       stream,
		writer:       w,
		state:        state,
		statusCounts: map[ledger.Status]int{},
		lastListed:   map[string]platform.VM{},
	}, nil
}

// Follow records until ctx ends. It retries reads that fail with a transient error,
// since recorded runs include outages of the platform.
func (r *Recorder) Follow(ctx context.Context) error {
	for n := 0; ctx.Err() == nil; n++ {
		if err := r.RecordEntries(ctx); err != nil && !isTransient(err) {
			return err
		}
		if n%readsPerList == 0 {
			if err := r.RecordVMList(ctx); err != nil && !isTransient(err) {
				return err
			}
		}
		wait.Sleep(ctx, pollInterval)
	}
	return nil
}

// isTransient reports whether a read may succeed later.
func isTransient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownOutcome) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// RecordEntries records the log up to its current end. It returns an error of the platform
// or of writing. ErrTrimmed means that the log dropped entries before they were
// recorded.
func (r *Recorder) RecordEntries(ctx context.Context) error {
	for {
		from := platform.Offset(r.state.Offset + 1)
		batch, err := r.source.Read(ctx, r.stream, from, maxReadEntries, 0)
		if err != nil {
			return err
		}
		for _, e := range batch.Entries {
			if err := r.recordEntry(e); err != nil {
				return err
			}
		}
		if platform.Offset(r.state.Offset)+1 >= batch.Next || len(batch.Entries) == 0 {
			return nil
		}
	}
}

func (r *Recorder) recordEntry(e platform.Entry) error {
	out := r.state.ApplyData(uint64(e.Offset), e.Data)
	r.statusCounts[out.Status]++
	line := NewEntry(e.Data, out)
	return r.writer.Write(Line{Entry: &line})
}

// RecordVMList records the changes in the list of VMs.
func (r *Recorder) RecordVMList(ctx context.Context) error {
	list, err := r.source.List(ctx)
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for _, vm := range list.VMs {
		present[vm.ID] = true
		old, known := r.lastListed[vm.ID]
		if known && old.State == vm.State && old.BootID == vm.BootID {
			continue
		}
		r.lastListed[vm.ID] = vm
		line := VM{At: list.AsOf, ID: vm.ID, State: string(vm.State), BootID: vm.BootID}
		if err := r.writer.Write(Line{VM: &line}); err != nil {
			return err
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.lastListed)) {
		if present[id] {
			continue
		}
		delete(r.lastListed, id)
		if err := r.writer.Write(Line{VM: &VM{At: list.AsOf, ID: id}}); err != nil {
			return err
		}
	}
	return nil
}

// RecordRequest records one request.
func (r *Recorder) RecordRequest(q Request) error { return r.writer.Write(Line{Request: &q}) }

// Close writes the last line, closes the trace and returns the line's content.
func (r *Recorder) Close() (End, error) {
	end := End{Offset: r.state.Offset, Statuses: r.statusCounts, Facts: FactsOf(r.state)}
	return end, r.writer.Close(end)
}
