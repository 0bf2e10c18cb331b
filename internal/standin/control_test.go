package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

func TestAddedVMIsListedWithItsAddress(t *testing.T) {
	// A VM is added while the Server runs. It is listed only after its backend server
	// has bound its address, and then this address answers.
	b := startTestServer(t, Group{})
	orderFaults(t, b.fake, Fault{Kind: VMAdd, Target: "vm"})
	var added platform.VM
	require.Eventually(t, func() bool {
		list, err := b.client.List(t.Context())
		require.NoError(t, err)
		for _, vm := range list.VMs {
			require.Contains(t, vm.Address, "127.0.0.1:")
		}
		added = list.VMs[len(list.VMs)-1]
		return added.ID == "vm-02"
	}, eventWait, eventPoll)
	b.backendAddress = added.Address
	_, _, err := b.call(t, "k")
	require.NoError(t, err)
}

func TestControlPage(t *testing.T) {
	// Faults are ordered, shown on the control page, cleared by ID and reset over
	// HTTP. A malformed order is rejected with a reason.
	b := startTestServer(t, Group{})
	control := "http://" + b.Addr() + "/control/"
	post := func(path string, in any) (int, []byte) {
		data, err := json.Marshal(in)
		require.NoError(t, err)
		resp, err := http.Post(control+path, "application/json", bytes.NewReader(data))
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, body
	}
	_, body := post("faults", FaultRequest{Order: []Fault{{Kind: LogSlow, DelayMS: 5}, {Kind: LogRefuse, ForMS: 60_000}}})
	var reply FaultReply
	require.NoError(t, json.Unmarshal(body, &reply))
	require.Len(t, reply.IDs, 2)
	_, body = post("faults", FaultRequest{Clear: reply.IDs[:1]})
	require.NoError(t, json.Unmarshal(body, &reply))
	require.Len(t, reply.Active, 1)
	require.Equal(t, LogRefuse, reply.Active[0].Kind)
	status, body := post("faults", FaultRequest{Order: []Fault{{Kind: "typo"}}})
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, string(body), "typo")
	resp, err := http.Get(control)
	require.NoError(t, err)
	page, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	require.NoError(t, err)
	require.Contains(t, string(page), "for_ms\":60000")
	_, _, err = b.call(t, "k")
	require.NoError(t, err)
	post("reset", struct{}{})
	require.Empty(t, b.fake.Faults())
	require.Zero(t, b.Counters(true).Backends.Seen)
	require.Empty(t, b.Counters(true).Backends.Keys)
}

func TestHTTPClientReturnsTheSameErrorsAsInProcess(t *testing.T) {
	// The HTTP client returns the same error as the stand-in in process. After a lost
	// reply the append is in the log.
	b := startTestServer(t, Group{})
	_, err := b.client.Append(t.Context(), "s", entries("a", "b"))
	require.NoError(t, err)
	orderFaults(t, b.fake, Fault{Kind: LogLoseReply, Count: 1})
	_, err = b.client.Append(t.Context(), "s", entries("c"))
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
	require.Equal(t, []string{"a", "b", "c"}, readTexts(t, b.client, 1))
	orderFaults(t, b.fake, Fault{Kind: LogRefuse, Count: 1})
	_, err = b.client.Append(t.Context(), "s", entries("d"))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = b.client.Append(t.Context(), "s", entries("d"))
	require.NoError(t, err)
	batch, err := b.client.Read(t.Context(), "s", 1, 1, 0)
	require.ErrorIs(t, err, platform.ErrTrimmed)
	require.Equal(t, platform.Batch{First: 2, Next: 5}, batch)
	orderFaults(t, b.fake, Fault{Kind: LogHang, Count: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = b.client.Read(ctx, "s", 1, 1, 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = b.client.Read(t.Context(), "s", 0, 1, 0)
	require.ErrorIs(t, err, platform.ErrRejected)
	_, err = b.client.Drain(t.Context(), "vm-01", newOperation("d", 5))
	require.NoError(t, err)
	_, err = b.client.Undrain(t.Context(), "vm-01", newOperation("u", 4))
	require.ErrorIs(t, err, platform.ErrFenced)
	_, err = b.client.Operation(t.Context(), "vm-01", "u")
	require.ErrorIs(t, err, platform.ErrNotFound)
	status, err := b.client.Undrain(t.Context(), "vm-01", newOperation("u", 5))
	require.NoError(t, err)
	require.Equal(t, platform.OperationDone, status)
}

func TestClientRunsTasks(t *testing.T) {
	// Over HTTP, one task is started, renewed, throttled, reported in status and usage
	// and checkpointed, and a second task is stopped.
	b := startTestServer(t, Group{})
	c, ctx := b.client, t.Context()
	for _, id := range []string{"t 1", "t/2"} {
		status, err := c.Start(ctx, newTaskSpec(id, time.Hour, time.Hour), newOperation("s", 1))
		require.NoError(t, err)
		require.Equal(t, platform.TaskStatus{ID: id, Worker: "vm-01", Phase: platform.TaskRunning}, status)
	}
	require.NoError(t, c.Renew(ctx, "vm-01", []string{"t 1", "t/2"}, time.Hour, 1))
	_, err := c.Throttle(ctx, "t 1", 0.25, newOperation("th", 1))
	require.NoError(t, err)
	usage, err := c.Usage(ctx)
	require.NoError(t, err)
	require.Len(t, usage, 2)
	require.Equal(t, 1.0, usage[0].Cores)
	status, err := c.Checkpoint(ctx, "t 1", newOperation("c", 1))
	require.NoError(t, err)
	require.Equal(t, platform.TaskCheckpointed, status.Phase)
	_, err = c.Stop(ctx, "t/2", newOperation("x", 1))
	require.NoError(t, err)
	statuses, err := c.Status(ctx, "vm-01")
	require.NoError(t, err)
	require.Len(t, statuses, 2)
	_, err = c.Stop(ctx, "t 3", newOperation("x", 1))
	require.ErrorIs(t, err, platform.ErrNotFound)
	require.False(t, errors.Is(err, platform.ErrUnknownOutcome))
}
