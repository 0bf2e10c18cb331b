package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

const (
	eventWait = 10 * time.Second
	eventPoll = time.Millisecond
)

// testServer is a Server with one VM, a platform client and an HTTP client that
// opens a connection per request.
type testServer struct {
	*Server
	fake           *Platform
	client         *platform.Client
	http           http.Client
	backendAddress string
}

func startTestServer(t *testing.T, group Group) *testServer {
	t.Helper()
	group.Prefix, group.Count = "vm", 1
	fake := New(Options{RetentionEntries: 3, Groups: []Group{group}})
	server, err := NewServer(fake, ServerOptions{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	b := &testServer{Server: server, fake: fake, backendAddress: server.BackendAddresses()[0]}
	b.client = platform.NewClient(server.Addr(), platform.ClientOptions{})
	b.http.Transport = &http.Transport{DisableKeepAlives: true}
	t.Cleanup(func() {
		b.client.Close()
		cancel()
		require.ErrorIs(t, <-ended, context.Canceled)
	})
	return b
}

// call sends a request with a key to the backend server and returns the response
// and its body, or an error.
func (b *testServer) call(t *testing.T, key string, headers ...string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.backendAddress+"/path", strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set(HeaderKey, key)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func (b *testServer) keyCounters(key string) KeyCounters {
	return b.Counters(false, key).Backends.Keys[key]
}

// awaitCounters waits until ok returns true for the backend counters.
func (b *testServer) awaitCounters(t *testing.T, ok func(BackendCounters) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return ok(b.Counters(true).Backends) }, eventWait, eventPoll)
}

func TestAnswerEchoesItsRequest(t *testing.T) {
	b := startTestServer(t, Group{})
	resp, body, err := b.call(t, "k", HeaderEcho, "abc", HeaderReplyBytes, "10")
	require.NoError(t, err)
	require.Equal(t, "abcabcabca", string(body))
	require.Equal(t, "abc", resp.Header.Get(HeaderEcho))
	_, body, err = b.call(t, "k", HeaderEcho, "abc")
	require.NoError(t, err)
	var answer Answer
	require.NoError(t, json.Unmarshal(body, &answer))
	require.Equal(t, Answer{VM: "vm-01", Path: "/path", Key: "k", Echo: "abc", Run: 2, BodyBytes: 4}, answer)
	health, err := http.Get("http://" + b.backendAddress + HealthPath)
	require.NoError(t, err)
	health.Body.Close()
	require.Equal(t, http.StatusOK, health.StatusCode)
	require.Equal(t, 2, b.Counters(false).Backends.Seen, "health checks must not be counted")
	require.Equal(t, 2, b.Counters(false).Backends.MaxRunsPerKey)
}

func TestBackendFaults(t *testing.T) {
	// For each fault: the response of a backend server, and whether the request arrived
	// and ran. A client can't distinguish a cut after the run from one before it.
	cases := []struct {
		kind   FaultKind
		status int // 0 if the connection is cut
		want   KeyCounters
	}{
		{CutBeforeRead, 0, KeyCounters{}},
		{CutAfterHeader, 0, KeyCounters{Seen: 1}},
		{CutAfterRun, 0, KeyCounters{Seen: 1, Runs: 1}},
		{CutMidAnswer, 0, KeyCounters{Seen: 1, Runs: 1}},
		{BackendError, http.StatusInternalServerError, KeyCounters{Seen: 1}},
		{BackendSlow, http.StatusOK, KeyCounters{Seen: 1, Runs: 1}},
		{BackendLate, http.StatusOK, KeyCounters{Seen: 1, Runs: 1}},
		{BackendFreeze, http.StatusOK, KeyCounters{Seen: 1, Runs: 1}},
	}
	b := startTestServer(t, Group{})
	for _, tc := range cases {
		t.Run(string(tc.kind), func(t *testing.T) {
			key := string(tc.kind)
			const delay = 50 * time.Millisecond
			orderFaults(t, b.fake, Fault{Kind: tc.kind, Target: "vm-01", Count: 1, DelayMS: delay.Milliseconds()})
			start := time.Now()
			resp, _, err := b.call(t, key, HeaderReplyBytes, "100000")
			if tc.status == 0 {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode)
				require.Empty(t, resp.Header.Get(HeaderBackend), "only a refusal may state not-run")
			}
			if tc.status == http.StatusOK {
				require.GreaterOrEqual(t, time.Since(start), delay)
			}
			require.Equal(t, tc.want, b.keyCounters(key))
			require.Empty(t, b.fake.Faults(), "the fault must be used up")
		})
	}
}

func TestHealthCheckFaults(t *testing.T) {
	// A health check gets 503 under BackendUnhealthy and is not cut by
	// CutBeforeRead, which affects requests only.
	b := startTestServer(t, Group{})
	orderFaults(t, b.fake, Fault{Kind: BackendUnhealthy, Count: 1}, Fault{Kind: CutBeforeRead})
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		resp, err := http.Get("http://" + b.backendAddress + HealthPath)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, want, resp.StatusCode)
	}
}

func TestRequestsAboveTheSlotsAreAnsweredNotRun(t *testing.T) {
	// Two frozen requests occupy both slots. A third gets 503 with "not-run" and does
	// not run. After the freeze the first two run and are answered.
	b := startTestServer(t, Group{Slots: 2})
	ids := orderFaults(t, b.fake, Fault{Kind: BackendFreeze})
	answers := make(chan error, 2)
	for range 2 {
		go func() {
			_, _, err := b.call(t, "held")
			answers <- err
		}()
	}
	b.awaitCounters(t, func(c BackendCounters) bool { return c.VMs["vm-01"].MaxBusySlots == 2 })
	resp, _, err := b.call(t, "third")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, NotRun, resp.Header.Get(HeaderBackend))
	require.Equal(t, KeyCounters{Seen: 1, Refused: 1}, b.keyCounters("third"))
	b.fake.ClearFaults(ids...)
	require.NoError(t, <-answers)
	require.NoError(t, <-answers)
	require.Equal(t, KeyCounters{Seen: 2, Runs: 2}, b.keyCounters("held"))
}

func TestConnectionsAboveTheLimitAreClosed(t *testing.T) {
	// Two idle connections are open. A third is closed when accepted, before anything
	// is read. After one of the two is closed, a new connection is served.
	b := startTestServer(t, Group{Connections: 2})
	var open []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", b.backendAddress)
		require.NoError(t, err)
		defer conn.Close()
		open = append(open, conn)
	}
	third, err := net.Dial("tcp", b.backendAddress)
	require.NoError(t, err)
	defer third.Close()
	_, err = third.Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, 1, b.Counters(false).Backends.RefusedConnections)
	open[0].Close()
	require.Eventually(t, func() bool {
		_, _, err := b.call(t, "k")
		return err == nil
	}, eventWait, eventPoll)
}

func TestRebootCutsRequestsAndServesAgain(t *testing.T) {
	// A VM is rebooted while a request runs on it. The connection is cut, the cut is
	// counted, and nothing listens until the VM is recovered. Then the same address
	// serves again with its slot free and its counters kept.
	b := startTestServer(t, Group{Slots: 1})
	orderFaults(t, b.fake, Fault{Kind: BootNever})
	failed := make(chan error, 1)
	go func() {
		_, _, err := b.call(t, "long", HeaderWorkMS, "600000")
		failed <- err
	}()
	b.awaitCounters(t, func(c BackendCounters) bool { return c.Runs == 1 })
	_, err := b.client.Reboot(t.Context(), "vm-01", newOperation("r", 1))
	require.NoError(t, err)
	require.Error(t, <-failed)
	_, err = net.Dial("tcp", b.backendAddress)
	require.Error(t, err)
	orderFaults(t, b.fake, Fault{Kind: VMRecover, Target: "vm-01"})
	require.Eventually(t, func() bool {
		resp, _, err := b.call(t, "after")
		return err == nil && resp.StatusCode == http.StatusOK
	}, eventWait, eventPoll)
	counters := b.Counters(true)
	require.Equal(t, 1, counters.Backends.CutInFlight)
	require.Equal(t, KeyCounters{Seen: 1, Runs: 1}, counters.Backends.Keys["long"])
	require.Equal(t, map[string]int{"vm-01": 1}, counters.Reboots)
}

func TestCutsOfALostVMAreCountedSeparately(t *testing.T) {
	// A VM is lost while a request runs on it. The connection is cut, and the cut is
	// not counted among those that a drain could have prevented.
	b := startTestServer(t, Group{})
	failed := make(chan error, 1)
	go func() {
		_, _, err := b.call(t, "long", HeaderWorkMS, "600000")
		failed <- err
	}()
	b.awaitCounters(t, func(c BackendCounters) bool { return c.Runs == 1 })
	orderFaults(t, b.fake, Fault{Kind: VMCrash, Target: "zone/zone-a"})
	require.Error(t, <-failed)
	counters := b.Counters(false).Backends
	require.Equal(t, []int{0, 1}, []int{counters.CutInFlight, counters.LostInFlight})
}

// abandonedRuns returns the number of runs on the VM whose client has disconnected.
func (b *testServer) abandonedRuns(vm string) int {
	b.Server.mu.Lock()
	server := b.backends[vm]
	b.Server.mu.Unlock()
	server.mu.Lock()
	defer server.mu.Unlock()
	n := 0
	for run := range server.inFlight {
		if run.r.Context().Err() != nil {
			n++
		}
	}
	return n
}

func TestAbandonedRunsAreCountedSeparately(t *testing.T) {
	// One client disconnects from a run that continues, and another waits for its run.
	// The reboot cuts both, but only the second counts as cut in flight.
	b := startTestServer(t, Group{})
	ctx, giveUp := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.backendAddress, nil)
		if err == nil {
			req.Header.Set(HeaderWorkMS, "600000")
			_, err = http.DefaultClient.Do(req)
		}
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want context.Canceled", err)
		}
	}()
	b.awaitCounters(t, func(c BackendCounters) bool { return c.Runs == 1 })
	giveUp()
	<-gone
	require.Eventually(t, func() bool { return b.abandonedRuns("vm-01") == 1 }, eventWait, eventPoll)
	failed := make(chan error, 1)
	go func() {
		_, _, err := b.call(t, "waits", HeaderWorkMS, "600000")
		failed <- err
	}()
	b.awaitCounters(t, func(c BackendCounters) bool { return c.Runs == 2 })
	_, err := b.client.Reboot(t.Context(), "vm-01", newOperation("r", 1))
	require.NoError(t, err)
	require.Error(t, <-failed)
	counters := b.Counters(false).Backends
	require.Equal(t, []int{1, 1}, []int{counters.CutInFlight, counters.CutAbandoned})
}
