package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

func entries(texts ...string) [][]byte {
	list := [][]byte{}
	for _, text := range texts {
		list = append(list, []byte(text))
	}
	return list
}

func orderFaults(t *testing.T, p *Platform, faults ...Fault) []string {
	t.Helper()
	ids, err := p.ActivateFaults(faults...)
	require.NoError(t, err)
	return ids
}

// readTexts reads the stream "s" from an offset on.
func readTexts(t *testing.T, p platform.Log, from platform.Offset) []string {
	t.Helper()
	batch, err := p.Read(t.Context(), "s", from, 1000, 0)
	require.NoError(t, err)
	list := []string{}
	for _, e := range batch.Entries {
		list = append(list, string(e.Data))
	}
	return list
}

func TestLogOutcomes(t *testing.T) {
	// For each fault: the error of an append with a deadline of 1 s, and the log's
	// content a minute later.
	cases := []struct {
		name  string
		fault Fault
		want  error
		after []string
	}{
		{"refused", Fault{Kind: LogRefuse, Target: "s", Count: 1}, platform.ErrUnavailable, []string{}},
		{"of another stream", Fault{Kind: LogRefuse, Target: "other"}, nil, []string{"x"}},
		{"of reads only", Fault{Kind: LogRefuse, Target: "read", Count: 1, ForMS: 1000}, nil, []string{"x"}},
		{"reply lost after the effect", Fault{Kind: LogLoseReply, Count: 1}, platform.ErrUnknownOutcome, []string{"x"}},
		{"effect after the client gave up", Fault{Kind: LogLate, Count: 1, DelayMS: 5000}, platform.ErrUnknownOutcome, []string{"x"}},
		{"slower than the client waits", Fault{Kind: LogSlow, Count: 1, DelayMS: 2000}, platform.ErrUnknownOutcome, []string{}},
		{"slow", Fault{Kind: LogSlow, Count: 1, DelayMS: 500}, nil, []string{"x"}},
		{"hung", Fault{Kind: LogHang, Count: 1}, platform.ErrUnknownOutcome, []string{}},
		{"skips the first append", Fault{Kind: LogRefuse, Skip: 1, Count: 1, Target: "append"}, nil, []string{"x"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Options{})
				orderFaults(t, p, tc.fault)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := p.Append(ctx, "s", entries("x"))
				require.ErrorIs(t, err, tc.want)
				time.Sleep(time.Minute)
				require.Equal(t, tc.after, readTexts(t, p, 1))
			})
		})
	}
}

func TestDelayedAppendFollowsItsRetry(t *testing.T) {
	// The first append gets no reply and is delayed. The client retries and gets
	// offset 1. After 2 s the first append takes effect behind the retry and wakes a
	// waiting reader: the log contains both copies.
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		orderFaults(t, p, Fault{Kind: LogLate, Count: 1, DelayMS: 2000})
		_, err := p.Append(t.Context(), "s", entries("first copy"))
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		offset, err := p.Append(t.Context(), "s", entries("second copy"))
		require.NoError(t, err)
		require.EqualValues(t, 1, offset)
		start := time.Now()
		batch, err := p.Read(t.Context(), "s", 2, 10, time.Minute)
		require.NoError(t, err)
		require.Equal(t, "first copy", string(batch.Entries[0].Data))
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

func TestAppendRateLimit(t *testing.T) {
	// A client appends 20 times at once at a limit of 8 per second. The burst of two
	// passes. The others get ErrThrottled and are not in the log. Half a second later
	// an append passes again.
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{AppendsPerSecond: 8})
		throttled := 0
		for range 20 {
			if _, err := p.Append(t.Context(), "s", entries("x")); err != nil {
				require.ErrorIs(t, err, platform.ErrThrottled)
				throttled++
			}
		}
		require.Equal(t, 18, throttled)
		require.Len(t, readTexts(t, p, 1), 2)
		time.Sleep(500 * time.Millisecond)
		_, err := p.Append(t.Context(), "s", entries("x"))
		require.NoError(t, err)
		require.Equal(t, 18, p.Counters().Log.Throttled)
	})
}

func TestRetention(t *testing.T) {
	// A reader that reads a trimmed offset gets ErrTrimmed with the retained range:
	// first since only three entries are kept, then since all entries are older than
	// a minute. Offsets are not reused.
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{RetentionEntries: 3, RetentionAge: time.Minute})
		for range 5 {
			_, err := p.Append(t.Context(), "s", entries("x"))
			require.NoError(t, err)
		}
		batch, err := p.Read(t.Context(), "s", 1, 10, 0)
		require.ErrorIs(t, err, platform.ErrTrimmed)
		require.Equal(t, platform.Batch{First: 3, Next: 6}, batch)
		require.Len(t, readTexts(t, p, 3), 3)
		time.Sleep(2 * time.Minute)
		batch, err = p.Read(t.Context(), "s", 5, 10, 0)
		require.ErrorIs(t, err, platform.ErrTrimmed)
		require.Equal(t, platform.Batch{First: 6, Next: 6}, batch)
		offset, err := p.Append(t.Context(), "s", entries("x"))
		require.NoError(t, err)
		require.EqualValues(t, 6, offset)
	})
}

func TestReadWaits(t *testing.T) {
	// A reader at the end of the stream gets an empty batch after its wait, or a new
	// entry as soon as it is appended, also by an append that is delayed while the
	// reader waits.
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		start := time.Now()
		batch, err := p.Read(t.Context(), "s", 1, 10, 3*time.Second)
		require.NoError(t, err)
		require.Equal(t, platform.Batch{First: 1, Next: 1}, batch)
		require.Equal(t, 3*time.Second, time.Since(start))
		time.AfterFunc(time.Second, func() { p.Append(t.Context(), "s", entries("x")) })
		batch, err = p.Read(t.Context(), "s", 1, 10, 3*time.Second)
		require.NoError(t, err)
		require.Len(t, batch.Entries, 1)
		require.Equal(t, 4*time.Second, time.Since(start))
		orderFaults(t, p, Fault{Kind: LogLate, DelayMS: 500})
		time.AfterFunc(time.Second, func() { p.Append(t.Context(), "s", entries("y")) })
		batch, err = p.Read(t.Context(), "s", 2, 10, 3*time.Second)
		require.NoError(t, err)
		require.Len(t, batch.Entries, 1)
		require.Equal(t, 5500*time.Millisecond, time.Since(start))
	})
}

func TestMalformedAppendsAndFaultsAreRejected(t *testing.T) {
	p := New(Options{})
	for _, batch := range [][][]byte{nil, {make([]byte, platform.MaxEntryBytes+1)}, make([][]byte, platform.MaxAppendEntries+1)} {
		_, err := p.Append(t.Context(), "s", batch)
		require.ErrorIs(t, err, platform.ErrRejected)
	}
	for _, f := range []Fault{{Kind: "unknown"}, {Kind: LogSlow, DelayMS: -1}, {Kind: VMCrash, Target: "nobody"}, {Kind: VMAdd, Target: "nobody"}} {
		_, err := p.ActivateFaults(f)
		require.Error(t, err)
	}
	require.Empty(t, p.Faults())
}
