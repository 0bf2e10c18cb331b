package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/requests"
	"github.com/yuccadrift/yuccadrift/internal/caller"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// gatedLog blocks reads beyond gateOffset until its gate is open.
type gatedLog struct {
	platform.Log
	gateOffset platform.Offset
	gate       chan struct{}
	once       sync.Once
	blocked    chan struct{} // closed when a read is blocked
}

// Read implements platform.Log.
func (l *gatedLog) Read(ctx context.Context, stream string, from platform.Offset, most int, wait time.Duration) (platform.Batch, error) {
	if from > l.gateOffset {
		l.once.Do(func() { close(l.blocked) })
		<-l.gate
	}
	return l.Log.Read(ctx, stream, from, most, wait)
}

// An entry VM starts while the log holds more entries than one read returns. The
// document in the first part has another route and was replaced since. Until the
// process has read the log to its end, callers must get "not-run", and the old
// document must never be served.
func TestStartingEntryDoesNotServeOldDocuments(t *testing.T) {
	const entries = 1500 // more than one read of 1000 returns
	fake := standin.New(standin.Options{AppendsPerSecond: -1})
	var data [][]byte
	for i := range entries {
		rec := record.Record{ID: ulid.Make().String(), Subject: record.Subject{Kind: record.SubjectService, Name: "booking"}, Author: "test", Time: time.Now(), Base: record.Revision(i), Seen: uint64(i)}
		rec.Body = record.DocumentPublish{Text: strings.Replace(requests.Document, "/lookup", "/old", 1)}
		if i == entries-1 {
			rec.Body = record.DocumentPublish{Text: requests.Document}
		}
		one, err := record.Encode(rec)
		require.NoError(t, err)
		data = append(data, one)
	}
	for _, part := range [][][]byte{data[:entries/2], data[entries/2:]} {
		_, err := fake.Append(t.Context(), requests.Stream, part)
		require.NoError(t, err)
	}
	log := &gatedLog{Log: fake, gateOffset: 1, gate: make(chan struct{}), blocked: make(chan struct{})}
	r := startRig(t, fake, log)
	<-log.blocked
	r.eventually(func() bool { return r.Offset() > 0 })

	got := r.send(http.MethodGet, "/booking/old", nil, nil)
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, string(outcome.NotRun), got.header.Get(outcome.HeaderOutcome))
	assert.Equal(t, string(caller.ReasonStarting), got.header.Get(outcome.HeaderReason))
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	keyed := http.Header{outcome.HeaderKey: {ulid.Make().String()}}
	got = r.send(http.MethodPost, "/booking/reservations", keyed, nil)
	assert.Equal(t, string(outcome.Unknown), got.header.Get(outcome.HeaderOutcome), "expected unknown: it may be a retry of a booking that ran")
	assert.Zero(t, r.entry.Offset())
	assert.Contains(t, strings.Join(r.entry.Ready.Reasons(), "\n"), "read to its end")

	close(log.gate)
	r.eventually(func() bool { return r.entry.Offset() == entries })
	got = r.send(http.MethodGet, "/booking/old", nil, nil)
	assert.Equal(t, http.StatusNotFound, got.status)
	assert.Empty(t, r.entry.Ready.Reasons())
}
