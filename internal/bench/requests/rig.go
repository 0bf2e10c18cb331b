// Package requests measures the request path. The request paths of several entry
// processes run in one process, in front of the stand-in's backend servers, over
// sockets on loopback. Results are in docs/MEASUREMENTS.md, section "Request
// path".
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

// The stream of the log that a rig follows, and the service that it serves with
// its document.
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

// settingsFormat is the format of an entry's settings, with the zone as argument.
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

// How a rig waits for the entries to fold the log.
const (
	pollInterval = time.Millisecond
	pollTimeout  = 10 * time.Second
)

// Options configure a rig.
type Options struct {
	Zones    []string
	Backends int
	Entries  int
	Sharing  routing.Sharing
	Claims   dispatch.Claims
	Logger   hclog.Logger
}

// Rig runs the request paths of entry processes in front of a stand-in platform.
type Rig struct {
	Platform *standin.Platform
	Server   *standin.Server
	Follower *follower.Follower // of the log, shared by all entries
	Entries  []*Entry

	cancel context.CancelFunc
}

// Entry is the request path of one entry process.
type Entry struct {
	*entry.Entry
	Target string // address for callers
	Ready  *admin.Readiness
	Stop   context.CancelFunc // has the effect of SIGTERM
	Ended  chan struct{}
	Err    error // result of the entry, valid once Ended is closed
}

// Open starts a rig, publishes Document, adds all VMs to the pool, and waits until
// every entry has folded the log.
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

// Start starts a rig on a log without publishing a document.
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

// Close stops the rig and waits until its entries have ended.
func (r *Rig) Close() {
	r.cancel()
	for _, e := range r.Entries {
		<-e.Ended
	}
}

// start runs the ith entry. The first entry also runs the follower of the log that
// all entries share.
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

// publishAndJoin publishes the document, adds every VM to the pool and every entry
// to the members, and waits until the entries have folded these records.
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

// awaitEntries waits until all entries have applied the last folded record.
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

// Offset returns the offset of the last folded record.
func (r *Rig) Offset() uint64 {
	var offset uint64
	r.Follower.View(func(s *ledger.State) { offset = s.Offset })
	return offset
}

// Propose appends a record that is based on the current state. It returns an error
// if the record is not effective.
func (r *Rig) Propose(ctx context.Context, kind record.SubjectKind, name string, body record.Body) error {
	sub := record.Subject{Kind: kind, Name: name}
	rec := record.Record{ID: ulid.Make().String(), Subject: sub, Author: "bench", Time: time.Now(), Body: body}
	r.Follower.View(func(s *ledger.State) { rec.Base, rec.Seen = s.Revision(sub), s.Offset })
	outcome, err := r.Follower.Propose(ctx, rec)
	if err == nil && outcome.Status != ledger.Effective {
		err = errors.Errorf("record about %s is %s: %s", name, outcome.Status, outcome.Reason)
	}
	return err
}

// LocalClaims returns the claims of an entry VM without peers, which owns all keys.
func LocalClaims() dispatch.Claims {
	return entry.NewClaims(entrypeer.NewLocal("entry-1", claim.Config{
		Window: time.Minute, Ahead: time.Second, Skew: time.Second, Handover: time.Second,
		MaxRecords: 1000, MaxAnswer: 4096, MaxAnswers: 1 << 20,
	}))
}
