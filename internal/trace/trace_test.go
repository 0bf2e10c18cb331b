package trace_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/trace"
)

const stream = "log"

// start is the time of all records.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// appendRecord appends a record for vm-01 and returns its offset.
func appendRecord(t *testing.T, p *standin.Platform, id string, base record.Revision, body record.Body) record.Revision {
	t.Helper()
	sub := record.Subject{Kind: record.SubjectVM, Name: "vm-01"}
	data, err := record.Encode(record.Record{ID: id, Subject: sub, Base: base, Author: "test", Time: start, Body: body})
	require.NoError(t, err)
	offset, err := p.Append(context.Background(), stream, [][]byte{data})
	require.NoError(t, err)
	return record.Revision(offset)
}

// recordTrace records a VM that registers, goes down and comes up again, with a
// duplicate record and a malformed entry in between.
func recordTrace(t *testing.T, requests ...trace.Request) []byte {
	t.Helper()
	p := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 1, Zones: []string{"a"}}}})
	rev := appendRecord(t, p, "1", 0, record.VMRegister{Zone: "a", Rack: "r", Address: "127.0.0.1:1", Cores: 1, MemoryMB: 1})
	down := appendRecord(t, p, "2", rev, record.VMDown{Cause: "no answer"})
	appendRecord(t, p, "2", rev, record.VMDown{Cause: "no answer"})
	_, err := p.Append(t.Context(), stream, [][]byte{[]byte("no\x00json")})
	require.NoError(t, err)
	appendRecord(t, p, "3", down, record.VMUp{})

	var out bytes.Buffer
	rec, err := trace.NewRecorder(p, stream, "a VM fails", nil, &out)
	require.NoError(t, err)
	require.NoError(t, rec.RecordEntries(t.Context()))
	require.NoError(t, rec.RecordVMList(t.Context()))
	for _, q := range requests {
		require.NoError(t, rec.RecordRequest(q))
	}
	_, err = rec.Close()
	require.NoError(t, err)
	return out.Bytes()
}

func TestReplayOfUnchangedTrace(t *testing.T) {
	data := recordTrace(t,
		trace.Request{Key: "k1", Outcome: "ran", Runs: 1, Seen: 1},
		trace.Request{Key: "k2", Outcome: "not-run"},
		trace.Request{Key: "k3", Outcome: "unknown", Repeatable: true, Runs: 2, Seen: 2})
	result, err := trace.Replay(bytes.NewReader(data))
	require.NoError(t, err)
	require.Empty(t, result.Differences)
	require.Equal(t, 5, result.Entries)
	require.Equal(t, map[ledger.Status]int{ledger.Effective: 3, ledger.Duplicate: 1, ledger.Malformed: 1}, result.Statuses)
	require.Equal(t, 3, result.Requests)
}

// Each change to a valid trace must be found. Otherwise a fold with wrong outcomes
// would pass.
func TestReplayFindsDifferences(t *testing.T) {
	const down, request, end = 2, 7, 8 // lines of the valid trace
	for name, c := range map[string]struct {
		change func(lines []trace.Line)
		what   string
	}{
		"outcome":  {func(l []trace.Line) { l[down].Entry.Status = ledger.Stale }, "stated stale"},
		"revision": {func(l []trace.Line) { l[down].Entry.Current++ }, "with revision"},
		"offset":   {func(l []trace.Line) { l[down].Entry.Offset = 1 }, "comes after"},
		"reboot":   {func(l []trace.Line) { l[down+1], l[request] = bootLine("x"), bootLine("y") }, "vm-01 booted 2 times, with 1"},
		"not run":  {func(l []trace.Line) { l[request].Request.Runs = 1 }, "told not-run"},
		"ran":      {func(l []trace.Line) { l[request].Request.Outcome = "ran" }, "did not run"},
		"doubled":  {func(l []trace.Line) { *l[request].Request = trace.Request{Outcome: "unknown", Runs: 2} }, "ran 2 times"},
		"fact":     {func(l []trace.Line) { l[end].End.Facts.VMs["vm-01"] = "serving" }, `stated "serving"`},
		"member":   {func(l []trace.Line) { l[end].End.Facts.Members = []string{"m"} }, "members"},
		"end":      {func(l []trace.Line) { l[end].End.Offset++ }, "at its end"},
		"counts":   {func(l []trace.Line) { l[end].End.Statuses[ledger.Stale] = 1 }, "stated map"},
	} {
		t.Run(name, func(t *testing.T) {
			var lines []trace.Line
			good := recordTrace(t, trace.Request{Key: "k", Outcome: "not-run"})
			require.NoError(t, trace.Read(bytes.NewReader(good), func(l trace.Line) { lines = append(lines, l) }))
			c.change(lines)
			result, err := trace.Replay(bytes.NewReader(encodeTrace(t, lines)))
			require.NoError(t, err)
			var what string
			for _, d := range result.Differences {
				what += d.What + "\n"
			}
			require.Contains(t, what, c.what)
		})
	}
}

func bootLine(id string) trace.Line { return trace.Line{VM: &trace.VM{ID: "vm-01", BootID: id}} }

func encodeTrace(t *testing.T, lines []trace.Line) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := trace.NewWriter(&out, *lines[0].Header)
	require.NoError(t, err)
	last := len(lines) - 1
	for _, l := range lines[1:last] {
		require.NoError(t, w.Write(l))
	}
	require.NoError(t, w.Close(*lines[last].End))
	return out.Bytes()
}

// The log no longer has its first entries, so a recording starts from a snapshot.
// Outcomes that depend on the entries before it must be the same in the replay.
func TestReplayFromASnapshot(t *testing.T) {
	p := standin.New(standin.Options{})
	rev := appendRecord(t, p, "1", 0, record.VMRegister{Zone: "a", Rack: "r", Address: "127.0.0.1:1", Cores: 1, MemoryMB: 1})
	state := ledger.New()
	batch, err := p.Read(t.Context(), stream, 1, 10, 0)
	require.NoError(t, err)
	state.ApplyData(1, batch.Entries[0].Data)
	snapshot, err := ledger.EncodeSnapshot(state)
	require.NoError(t, err)
	appendRecord(t, p, "2", rev, record.VMDown{Cause: "no answer"})

	var out bytes.Buffer
	rec, err := trace.NewRecorder(p, stream, "from a snapshot", snapshot, &out)
	require.NoError(t, err)
	require.NoError(t, rec.RecordEntries(t.Context()))
	_, err = rec.Close()
	require.NoError(t, err)
	result, err := trace.Replay(&out)
	require.NoError(t, err)
	require.Empty(t, result.Differences)
	require.Equal(t, map[ledger.Status]int{ledger.Effective: 1}, result.Statuses)
}

// A truncated trace, for example after a full disk, must not pass as complete.
func TestReplayRejectsBrokenTraces(t *testing.T) {
	good := recordTrace(t)
	for name, data := range map[string][]byte{
		"empty": nil, "no gzip": []byte("{}"), "cut short": good[:len(good)/2],
	} {
		_, err := trace.Replay(bytes.NewReader(data))
		require.ErrorIs(t, err, trace.ErrFormat, name)
	}
}

// expectedTraces are the stored traces that internal/proof records.
var expectedTraces = []string{
	"conflicting-publish", "wave-rack-lost", "log-outage", "outage-rejoin", "paused-holder", "lapsed-lease",
	"cancellation-burst", "black-hole-worker", "retention-gap", "lost-replies",
}

// Every stored trace must still fold to the outcomes and facts that it states.
func TestRecordedTraces(t *testing.T) {
	const dir = "../../testdata/traces"
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl.gz"))
	require.NoError(t, err)
	for _, name := range expectedTraces {
		require.Contains(t, files, filepath.Join(dir, name+".jsonl.gz"))
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			in, err := os.Open(file)
			require.NoError(t, err)
			defer in.Close()
			result, err := trace.Replay(in)
			require.NoError(t, err)
			require.Empty(t, result.Differences)
			require.NotEmpty(t, result.Header.Note)
		})
	}
}

func FuzzReplay(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = trace.Replay(bytes.NewReader(data))
	})
}
