package entry_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/requests"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// rig is the request path of an entry process with a stand-in platform.
type rig struct {
	*requests.Rig
	t            testing.TB
	entry        *requests.Entry
	url          string
	unreadySince atomic.Pointer[time.Time] // when the balancer first saw the entry as unready
}

func newRig(t testing.TB) *rig {
	t.Helper()
	r, err := requests.Open(t.Context(), requests.Options{
		Zones: []string{"a", "b", "c"}, Backends: 3, Entries: 1, Claims: requests.LocalClaims(), Logger: logger(t),
	})
	return newRigFrom(t, r, err)
}

// startRig starts the process on a log with no documents published and no claims.
func startRig(t testing.TB, fake *standin.Platform, log platform.Log) *rig {
	t.Helper()
	r, err := requests.Start(requests.Options{Zones: []string{"a"}, Entries: 1, Logger: logger(t)}, fake, log)
	return newRigFrom(t, r, err)
}

func logger(t testing.TB) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: t.Output()})
}

func newRigFrom(t testing.TB, r *requests.Rig, err error) *rig {
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return &rig{Rig: r, t: t, entry: r.Entries[0], url: "http://" + r.Entries[0].Target}
}

func (r *rig) propose(kind record.SubjectKind, name string, body record.Body) {
	r.t.Helper()
	require.NoError(r.t, r.Propose(r.t.Context(), kind, name, body))
}

// injectFault injects a fault, which stays until it is cleared.
func (r *rig) injectFault(f standin.Fault) {
	r.t.Helper()
	_, err := r.Platform.ActivateFaults(f)
	require.NoError(r.t, err)
}

func (r *rig) requestsSeen() int { return r.Server.Counters(false).Backends.Seen }

func (r *rig) key(key string) standin.KeyCounters {
	return r.Server.Counters(false, key).Backends.Keys[key]
}

// eventually waits until done returns true.
func (r *rig) eventually(done func() bool) {
	r.t.Helper()
	require.Eventually(r.t, done, 10*time.Second, time.Millisecond)
}

// reply is an answer as received by a caller.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // transport error or truncated body
}

func (r *rig) send(method, path string, header http.Header, body io.Reader) reply {
	return r.sendIn(r.t.Context(), method, path, header, body)
}

func (r *rig) sendIn(ctx context.Context, method, path string, header http.Header, body io.Reader) reply {
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, body)
	require.NoError(r.t, err)
	if header != nil {
		req.Header = header
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(text), err: err}
}
