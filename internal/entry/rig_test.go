package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/admin"
	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/entry"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/routing"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

const (
	stream = "yuccadrift"
	text   = `service = "booking"
team = "booking"
[pool]
size = 3
[budget]
window = "168h"
allowed = 0.2
max_unavailable = 1
[limits]
slots = 8
connections = 64
retry_share = 0.5
drain = "20s"
[[route]]
prefix = "/lookup"
class = "quick"
repeatable = true
deadline = "2s"
max_body = 100000
[[route]]
prefix = "/reservations"
class = "quick"
repeatable = false
deadline = "3s"
max_body = 100000
[[route]]
prefix = "/audit"
class = "long"
repeatable = true
deadline = "20s"
`
)

// rig is entry processes' request paths, in this process, in front of a
// stand-in. The tests of one entry use the first.
type rig struct {
	t       testing.TB
	fake    *standin.Platform
	server  *standin.Server
	follow  *follower.Follower
	entry   *entry.Entry
	entries []*entry.Entry
	targets []string // callers' addresses
	ready   *admin.Readiness
	url     string
	stop    context.CancelFunc // as SIGTERM
	ended   chan struct{}
	unready atomic.Pointer[time.Time] // when the balancer noticed
	err     error                     // of the first entry, once ended is closed
}

// rigOptions says how large a rig is.
type rigOptions struct {
	zones    []string
	backends int
	entries  int
	sharing  routing.Sharing
	claims   dispatch.Claims
}

func settingsText(zone string) string {
	return "[node]\nid=\"entry-1\"\nzone=\"" + zone + "\"\n[platform]\naddress=\"127.0.0.1:1\"\n[peers]\nlisten=\"127.0.0.1:0\"\n" +
		"[admin]\nlisten=\"127.0.0.1:0\"\n[callers]\nlisten=\"127.0.0.1:0\"\nmax_header_bytes=8192\nstall_timeout=\"700ms\"\n[drain]\nnotice=\"300ms\"\nlimit=\"5s\"\n[backends]\ncheck_interval=\"300ms\"\ncheck_timeout=\"300ms\"\n"
}

func newRig(t testing.TB, claims dispatch.Claims) *rig {
	return newRigOf(t, rigOptions{zones: []string{"a", "b", "c"}, backends: 3, entries: 1, claims: claims})
}

func newRigOf(t testing.TB, opts rigOptions) *rig {
	t.Helper()
	fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: opts.backends, Zones: opts.zones}}})
	r := startRig(t, opts, fake, fake)
	r.fill(opts.entries)
	return r
}

// startRig starts the processes on a log.
func startRig(t testing.TB, opts rigOptions, fake *standin.Platform, log platform.Log) *rig {
	t.Helper()
	server, err := standin.NewServer(fake, standin.ServerOptions{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Warn, Output: t.Output()})
	r := &rig{t: t, fake: fake, server: server, ended: make(chan struct{})}
	r.follow = follower.New(follower.Config{Log: log, Stream: stream, Logger: logger})
	for i := range opts.entries {
		r.start(ctx, cancel, logger, opts, i)
	}
	r.entry, r.url = r.entries[0], "http://"+r.targets[0]
	return r
}

// start runs the ith entry; the first one also follows the log for all.
func (r *rig) start(ctx context.Context, cancel func(), logger hclog.Logger, opts rigOptions, i int) {
	s, problems := settings.ParseEntry("entry.toml", []byte(settingsText(opts.zones[i%len(opts.zones)])))
	require.NoError(r.t, problems.Err())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	stop, cancelStop := context.WithCancel(ctx)
	ready := admin.NewReadiness()
	e := entry.New(entry.Config{
		Settings:  s,
		Callers:   listener,
		Follower:  r.follow,
		Claims:    opts.claims,
		CheckKey:  entry.CheckKey,
		Registry:  prometheus.NewRegistry(),
		Readiness: ready,
		Logger:    logger,
		Stop:      stop.Done(),
		Sharing:   opts.sharing,
	})
	r.entries = append(r.entries, e)
	r.targets = append(r.targets, listener.Addr().String())
	duties := e.Duties()
	ended := make(chan struct{})
	if i == 0 {
		r.stop, r.ready, ended = cancelStop, ready, r.ended
		duties = append(duties, supervise.Duty{Name: "follow", Serve: r.follow.Serve})
	}
	go func() {
		defer close(ended)
		err := supervise.Run(ctx, "entry", logger, duties...)
		if i == 0 {
			r.err = err
		}
	}()
	r.t.Cleanup(func() { cancel(); cancelStop(); <-ended })
}

// fill publishes the document and puts every VM into its pool.
func (r *rig) fill(entries int) {
	r.propose(record.SubjectService, "booking", record.DocumentPublish{Text: text})
	list, err := r.fake.List(r.t.Context())
	require.NoError(r.t, err)
	for _, vm := range list.VMs {
		r.propose(record.SubjectVM, vm.ID, registration(vm))
		r.propose(record.SubjectVM, vm.ID, record.VMJoin{Pool: "booking"})
		r.propose(record.SubjectVM, vm.ID, record.VMUp{})
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		r.propose(record.SubjectMember, name, record.MemberJoin{Node: name, Zone: "a", Address: fmt.Sprintf("127.0.0.1:%d", i+1)})
	}
	r.until(func() bool {
		for _, e := range r.entries {
			if e.Offset() != r.offset() {
				return false
			}
		}
		return true
	})
}

func registration(vm platform.VM) record.VMRegister {
	return record.VMRegister{
		Zone: vm.Zone, Rack: vm.Rack, Address: vm.Address,
		Cores: vm.Cores, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators,
	}
}

func (r *rig) offset() uint64 {
	var at uint64
	r.follow.View(func(s *ledger.State) { at = s.Offset })
	return at
}

func (r *rig) propose(kind record.SubjectKind, name string, body record.Body) {
	r.t.Helper()
	sub := record.Subject{Kind: kind, Name: name}
	rec := record.Record{ID: ulid.Make().String(), Subject: sub, Author: "test", Time: time.Now(), Body: body}
	r.follow.View(func(s *ledger.State) { rec.Base, rec.Seen = s.Revision(sub), s.Offset })
	out, err := r.follow.Propose(r.t.Context(), rec)
	require.NoError(r.t, err)
	require.Equal(r.t, ledger.Effective, out.Status, out.Reason)
}

// order makes a fault happen and clears it at the test's end.
func (r *rig) order(f standin.Fault) {
	r.t.Helper()
	_, err := r.fake.Order(f)
	require.NoError(r.t, err)
}

func (r *rig) seen() int { return r.server.Counters(false).Backends.Seen }

func (r *rig) key(key string) standin.KeyCounters {
	return r.server.Counters(false, key).Backends.Keys[key]
}

// localClaims guards keys as an entry VM without peers does.
func localClaims() dispatch.Claims {
	return entry.NewClaims(entrypeer.NewLocal("entry-1", claim.Config{
		Window: time.Minute, Ahead: time.Second, Skew: time.Second, Handover: time.Second,
		MaxRecords: 1000, MaxAnswer: 4096, MaxAnswers: 1 << 20,
	}))
}

// until waits for a condition that an event of another goroutine brings about.
func (r *rig) until(done func() bool) {
	r.t.Helper()
	require.Eventually(r.t, done, 10*time.Second, time.Millisecond)
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // from the transport or of a body that broke off
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
