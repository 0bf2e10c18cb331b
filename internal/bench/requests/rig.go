// Package requests measures the request path: entry processes' request paths in
// one process, in front of the stand-in's backend servers, over real sockets on
// loopback. Figures are in docs/MEASUREMENTS.md, section "Request path".
package requests

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

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

// What a rig serves: the stream that it follows, and the document of Service.
const (
	Stream   = "yuccadrift"
	Service  = "booking"
	Document = `service = "booking"
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

// settingsFormat is an entry's settings; the zone is to fill in.
const settingsFormat = `[node]
id = "entry-1"
zone = %q
[platform]
address = "127.0.0.1:1"
[peers]
listen = "127.0.0.1:0"
[admin]
listen = "127.0.0.1:0"
[callers]
listen = "127.0.0.1:0"
max_header_bytes = 8192
stall_timeout = "700ms"
[drain]
notice = "300ms"
limit = "5s"
[backends]
check_interval = "300ms"
check_timeout = "300ms"
`

// How a rig waits for what another goroutine brings about.
const (
	pollInterval = time.Millisecond
	pollTimeout  = 10 * time.Second
)

// Options says how large a rig is.
type Options struct {
	Zones    []string
	Backends int
	Entries  int
	Sharing  routing.Sharing
	Claims   dispatch.Claims
	Logger   hclog.Logger
}

// Rig is entry processes' request paths in front of a stand-in.
type Rig struct {
	Platform *standin.Platform
	Server   *standin.Server
	Follower *follower.Follower // of the log, for all entries
	Entries  []*Entry

	cancel context.CancelFunc
}

// Entry is one entry's request path.
type Entry struct {
	*entry.Entry
	Target string // callers' address
	Ready  *admin.Readiness
	Stop   context.CancelFunc // as SIGTERM
	Ended  chan struct{}
	Err    error // once Ended is closed
}

// Open starts a rig whose document is in force and whose VMs are in the pool.
func Open(ctx context.Context, opts Options) (*Rig, error) {
	fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: opts.Backends, Zones: opts.Zones}}})
	r, err := Start(opts, fake, fake)
	if err != nil {
		return nil, err
	}
	if err := r.publishAndJoin(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Start starts entries on a log, with nothing published.
func Start(opts Options, fake *standin.Platform, log platform.Log) (*Rig, error) {
	server, err := standin.NewServer(fake, standin.ServerOptions{})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx) }()
	r := &Rig{Platform: fake, Server: server, cancel: cancel}
	r.Follower = follower.New(follower.Config{Log: log, Stream: Stream, Logger: opts.Logger})
	for i := range opts.Entries {
		e, err := r.start(ctx, opts, i)
		if err != nil {
			r.Close()
			return nil, err
		}
		r.Entries = append(r.Entries, e)
	}
	return r, nil
}

// Close ends the rig and waits for its entries.
func (r *Rig) Close() {
	r.cancel()
	for _, e := range r.Entries {
		<-e.Ended
	}
}

// start runs the ith entry; the first one also follows the log for all.
func (r *Rig) start(ctx context.Context, opts Options, i int) (*Entry, error) {
	text := fmt.Sprintf(settingsFormat, opts.Zones[i%len(opts.Zones)])
	s, problems := settings.ParseEntry("entry.toml", []byte(text))
	if err := problems.Err(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	stop, cancel := context.WithCancel(ctx)
	e := &Entry{Target: listener.Addr().String(), Ready: admin.NewReadiness(), Stop: cancel, Ended: make(chan struct{})}
	e.Entry = entry.New(entry.Config{
		Settings:  s,
		Callers:   listener,
		Follower:  r.Follower,
		Claims:    opts.Claims,
		CheckKey:  entry.CheckKey,
		Registry:  prometheus.NewRegistry(),
		Readiness: e.Ready,
		Logger:    opts.Logger,
		Stop:      stop.Done(),
		Sharing:   opts.Sharing,
	})
	duties := e.Duties()
	if i == 0 {
		duties = append(duties, supervise.Duty{Name: "follow", Serve: r.Follower.Serve})
	}
	go func() {
		defer close(e.Ended)
		e.Err = supervise.Run(ctx, "entry", opts.Logger, duties...)
	}()
	return e, nil
}

// publishAndJoin publishes the document, puts every VM into its pool, and has every entry
// be a member that has folded all this.
func (r *Rig) publishAndJoin(ctx context.Context) error {
	list, err := r.Platform.List(ctx)
	if err != nil {
		return err
	}
	type change struct {
		kind record.SubjectKind
		name string
		body record.Body
	}
	changes := []change{{record.SubjectService, Service, record.DocumentPublish{Text: Document}}}
	for _, vm := range list.VMs {
		register := record.VMRegister{
			Zone: vm.Zone, Rack: vm.Rack, Address: vm.Address,
			Cores: vm.Cores, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators,
		}
		for _, body := range []record.Body{register, record.VMJoin{Pool: Service}, record.VMUp{}} {
			changes = append(changes, change{record.SubjectVM, vm.ID, body})
		}
	}
	for i := range r.Entries {
		name := fmt.Sprintf("entry-%d", i)
		join := record.MemberJoin{Node: name, Zone: "a", Address: fmt.Sprintf("127.0.0.1:%d", i+1)}
		changes = append(changes, change{record.SubjectMember, name, join})
	}
	for _, c := range changes {
		if err := r.Propose(ctx, c.kind, c.name, c.body); err != nil {
			return err
		}
	}
	return r.awaitEntries(ctx)
}

// awaitEntries waits until all entries act on the last record.
func (r *Rig) awaitEntries(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for _, e := range r.Entries {
		for e.Offset() != r.Offset() {
			select {
			case <-poll.C:
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "wait for the entries to fold the log")
			}
		}
	}
	return nil
}

// Offset is the last one folded.
func (r *Rig) Offset() uint64 {
	var offset uint64
	r.Follower.View(func(s *ledger.State) { offset = s.Offset })
	return offset
}

// Propose appends a record decided on the present state. It fails where that is
// not effective.
func (r *Rig) Propose(ctx context.Context, kind record.SubjectKind, name string, body record.Body) error {
	sub := record.Subject{Kind: kind, Name: name}
	rec := record.Record{ID: ulid.Make().String(), Subject: sub, Author: "bench", Time: time.Now(), Body: body}
	r.Follower.View(func(s *ledger.State) { rec.Base, rec.Seen = s.Revision(sub), s.Offset })
	out, err := r.Follower.Propose(ctx, rec)
	if err == nil && out.Status != ledger.Effective {
		err = errors.Errorf("record about %s is %s: %s", name, out.Status, out.Reason)
	}
	return err
}

// LocalClaims guards keys as an entry VM without peers does.
func LocalClaims() dispatch.Claims {
	return entry.NewClaims(entrypeer.NewLocal("entry-1", claim.Config{
		Window: time.Minute, Ahead: time.Second, Skew: time.Second, Handover: time.Second,
		MaxRecords: 1000, MaxAnswer: 4096, MaxAnswers: 1 << 20,
	}))
}
