package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// A lookup goes to a backend server selected from the published document and the VMs
// in its pool, and the complete answer is returned with its outcome.
func TestLookupReachesBackendOfPool(t *testing.T) {
	r := newRig(t)
	got := r.send(http.MethodGet, "/booking/lookup/7?x=1", http.Header{standin.HeaderEcho: {"tok"}}, nil)
	assert.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status, got.body)
	assert.Equal(t, string(outcome.Ran), got.header.Get(outcome.HeaderOutcome))
	assert.Contains(t, got.body, `"path":"/lookup/7"`)
	assert.Equal(t, "tok", got.header.Get(standin.HeaderEcho))
}

// An invalid request must get a 4xx status, "not-run", a reason and one helpful line,
// and must reach no backend server.
func TestInvalidRequestsAreRejectedWithReasonAndText(t *testing.T) {
	r := newRig(t)
	key := http.Header{outcome.HeaderKey: {ulid.Make().String()}}
	with := func(name, value string) http.Header {
		h := key.Clone()
		h.Set(name, value)
		return h
	}
	cases := []struct {
		name, method, path string
		header             http.Header
		body               io.Reader
		status             int
		reason, line       string
	}{
		{"unknown service", "GET", "/nothing/lookup", nil, nil, 404, "unknown-service", `"nothing"`},
		{"no path", "GET", "/", nil, nil, 404, "unknown-service", "first path element"},
		{"unknown route", "GET", "/booking/lookups", nil, nil, 404, "unknown-route", `"/lookups"`},
		{"dot segments", "GET", "/booking/lookup/%2e%2e/reservations", nil, nil, 400, "bad-path", "no . or .."},
		{"encoded slash", "GET", "/booking/lookup/a%2Fb", nil, nil, 400, "bad-path", "encoded slash"},
		{"empty element", "GET", "/booking//lookup", nil, nil, 400, "bad-path", "empty element"},
		{"no key", "POST", "/booking/reservations", nil, nil, 400, "key-missing", outcome.HeaderKey},
		{"random key", "POST", "/booking/reservations", with(outcome.HeaderKey, "abc"), nil, 400, "bad-key", "ULID"},
		{"oversized key", "POST", "/booking/reservations", with(outcome.HeaderKey, strings.Repeat("7", 300)), nil, 400, "bad-key", "length 300"},
		{"deadline in words", "POST", "/booking/reservations", with(outcome.HeaderDeadline, "2s"), nil, 400, "bad-deadline", "milliseconds"},
		{"deadline of 0", "GET", "/booking/lookup", with(outcome.HeaderDeadline, "0"), nil, 400, "bad-deadline", "from 1"},
		{"attempt 0", "GET", "/booking/lookup", with(outcome.HeaderAttempt, "0"), nil, 400, "bad-attempt", "from 1"},
		{"large header", "GET", "/booking/lookup", with("X-Large", strings.Repeat("x", 9000)), nil, 431, "header-too-large", "at most 8192"},
		{"large body", "POST", "/booking/reservations", key, strings.NewReader(strings.Repeat("x", 100_001)), 413, "body-too-large", "100000 bytes"},
		{"large chunked body", "POST", "/booking/reservations", key, io.MultiReader(strings.NewReader(strings.Repeat("x", 100_001))), 413, "body-too-large", "100000 bytes"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := r.send(c.method, c.path, c.header, c.body)
			require.NoError(t, got.err)
			assert.Equal(t, c.status, got.status)
			assert.Equal(t, string(outcome.NotRun), got.header.Get(outcome.HeaderOutcome))
			assert.Equal(t, c.reason, got.header.Get(outcome.HeaderReason))
			assert.Contains(t, got.body, c.line)
			assert.Equal(t, 1, strings.Count(got.body, "\n"))
		})
	}
	assert.Zero(t, r.requestsSeen())
}

// A retry is rejected for a header that its first attempt did not have. "Not run"
// would make the caller book again under another key, although the first attempt ran.
func TestRejectedRetryOfRunRequestIsNotReportedNotRun(t *testing.T) {
	r := newRig(t)
	header := http.Header{outcome.HeaderKey: {ulid.Make().String()}}
	first := r.send(http.MethodPost, "/booking/reservations", header, nil)
	require.Equal(t, http.StatusOK, first.status, first.body)
	header.Set(outcome.HeaderDeadline, "soon")
	for attempt, want := range map[string]outcome.Outcome{"1": outcome.NotRun, "2": outcome.Unknown} {
		header.Set(outcome.HeaderAttempt, attempt)
		got := r.send(http.MethodPost, "/booking/reservations", header, nil)
		assert.Equal(t, http.StatusBadRequest, got.status)
		assert.Equal(t, string(want), got.header.Get(outcome.HeaderOutcome), "attempt %s", attempt)
	}
}

// A booking whose connection breaks at any point must run at most once, retries
// included, and each answer must have the right outcome. The backend server counts
// the requests seen and run per key.
func TestNotRepeatableRequestRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		fault   standin.FaultKind
		first   outcome.Outcome
		retried outcome.Outcome
		runs    int
	}{
		{standin.CutBeforeRead, outcome.Unknown, outcome.Unknown, 0},
		{standin.CutAfterHeader, outcome.Unknown, outcome.Unknown, 0},
		{standin.CutAfterRun, outcome.Unknown, outcome.Unknown, 1},
		{standin.CutMidAnswer, outcome.Unknown, outcome.Unknown, 1},
		{standin.BackendError, outcome.Ran, outcome.Ran, 0},
	}
	r := newRig(t)
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			defer r.Platform.ClearAllFaults()
			key := ulid.Make().String()
			header := http.Header{outcome.HeaderKey: {key}}
			r.injectFault(standin.Fault{Kind: c.fault, Count: 1})
			first := r.send(http.MethodPost, "/booking/reservations", header, strings.NewReader("chair 7"))
			assert.Equal(t, string(c.first), first.header.Get(outcome.HeaderOutcome), first.body)
			again := r.send(http.MethodPost, "/booking/reservations", header, strings.NewReader("chair 7"))
			assert.Equal(t, string(c.retried), again.header.Get(outcome.HeaderOutcome), again.body)
			assert.Equal(t, c.runs, r.key(key).Runs)
			assert.LessOrEqual(t, r.key(key).Seen, 1)
		})
	}
}

// A retry of a booking that ran, for example because the caller lost the answer, must
// get the first answer again and run nothing. Another request under the same key is
// rejected.
func TestRetryReturnsFirstAnswer(t *testing.T) {
	r := newRig(t)
	header := http.Header{outcome.HeaderKey: {ulid.Make().String()}}
	first := r.send(http.MethodPost, "/booking/reservations", header, strings.NewReader("chair 7"))
	again := r.send(http.MethodPost, "/booking/reservations", header, strings.NewReader("chair 7"))
	require.Equal(t, http.StatusOK, first.status, first.body)
	assert.Equal(t, first.body, again.body)
	assert.Equal(t, string(outcome.Ran), again.header.Get(outcome.HeaderOutcome))
	other := r.send(http.MethodPost, "/booking/reservations", header, strings.NewReader("chair 8"))
	assert.Equal(t, "key-reused", other.header.Get(outcome.HeaderReason))
	assert.Equal(t, 1, r.key(header.Get(outcome.HeaderKey)).Runs)
}

// A lookup whose backend server breaks the connection is tried at another one, and
// the caller gets one complete answer.
func TestRepeatableRequestIsRetriedOnAnotherBackend(t *testing.T) {
	for _, fault := range []standin.FaultKind{standin.CutBeforeRead, standin.CutAfterRun, standin.CutMidAnswer, standin.BackendError} {
		t.Run(string(fault), func(t *testing.T) {
			r := newRig(t)
			r.injectFault(standin.Fault{Kind: fault, Count: 1})
			got := r.send(http.MethodGet, "/booking/lookup", http.Header{standin.HeaderReplyBytes: {"1000"}}, nil)
			require.NoError(t, got.err)
			assert.Equal(t, http.StatusOK, got.status, got.body)
			assert.Equal(t, string(outcome.Ran), got.header.Get(outcome.HeaderOutcome))
			assert.Len(t, got.body, 1000)
		})
	}
}

// If a backend server truncates a long answer, the caller's connection must be
// aborted, so that the answer does not appear complete.
func TestTruncatedStreamAbortsCallerConnection(t *testing.T) {
	r := newRig(t)
	const size = 300_000
	header := http.Header{standin.HeaderReplyBytes: {strconv.Itoa(size)}}
	whole := r.send(http.MethodGet, "/booking/lookup", header.Clone(), nil)
	require.NoError(t, whole.err)
	require.Len(t, whole.body, size)
	r.injectFault(standin.Fault{Kind: standin.CutMidAnswer, Count: 1})
	cut := r.send(http.MethodGet, "/booking/lookup", header.Clone(), nil)
	assert.Error(t, cut.err)
}

// A backend server hangs: it accepts connections and answers neither requests nor
// health checks. This process's health checks must remove it before a booking is lost
// on it, and restore it after a successful check.
func TestHungBackendIsRemovedByHealthChecks(t *testing.T) {
	r := newRig(t)
	list, err := r.Platform.List(t.Context())
	require.NoError(t, err)
	hung := list.VMs[0].ID
	used := func() bool {
		return r.send(http.MethodGet, "/booking/lookup", nil, nil).header.Get(standin.HeaderVM) == hung
	}
	r.eventually(used)
	r.injectFault(standin.Fault{Kind: standin.BackendUnhealthy, Target: hung})
	r.eventually(func() bool {
		for range 30 {
			if used() {
				return false
			}
		}
		return true
	})
	r.Platform.ClearAllFaults()
	r.eventually(used)
}

// The caller disconnects while its booking runs. The run must continue and be
// recorded, so that the caller's retry gets the answer instead of "unknown".
func TestRunIsRecordedAfterCallerDisconnects(t *testing.T) {
	r := newRig(t)
	key := ulid.Make().String()
	header := http.Header{outcome.HeaderKey: {key}, standin.HeaderWorkMS: {"200"}}
	ctx, disconnect := context.WithCancel(t.Context())
	disconnected := make(chan reply, 1)
	go func() { disconnected <- r.sendIn(ctx, http.MethodPost, "/booking/reservations", header.Clone(), nil) }()
	r.eventually(func() bool { return r.key(key).Runs == 1 })
	disconnect()
	assert.Error(t, (<-disconnected).err)
	again := r.send(http.MethodPost, "/booking/reservations", header.Clone(), nil)
	assert.Equal(t, http.StatusOK, again.status, again.body)
	assert.Equal(t, string(outcome.Ran), again.header.Get(outcome.HeaderOutcome))
	assert.Equal(t, 1, r.key(key).Runs)
}

// Callers that stop reading a long answer or sending their body occupy a slot, a
// connection and memory. Both must be disconnected after the stall timeout, and the
// caller with the incomplete body must get "not-run".
func TestStalledCallersAreDisconnected(t *testing.T) {
	r := newRig(t)
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", r.entry.Target)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		return conn
	}
	busy := func() int {
		_, vms := r.entry.InFlights()
		return len(vms)
	}
	dial("GET /booking/lookup HTTP/1.1\r\nHost: h\r\n" + standin.HeaderReplyBytes + ": 60000000\r\n\r\n")
	r.eventually(func() bool { return busy() == 1 })
	r.eventually(func() bool { return busy() == 0 })

	conn := dial("POST /booking/lookup HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, res.StatusCode)
	assert.Equal(t, string(outcome.NotRun), res.Header.Get(outcome.HeaderOutcome))
	assert.Equal(t, "body-incomplete", res.Header.Get(outcome.HeaderReason))
}
