package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/entry"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

const shopDocument = `service = "shop"
team = "t"
[pool]
size = 3
[budget]
window = "1h"
allowed = 0.5
[[route]]
prefix = "/look"
class = "quick"
repeatable = true
[[route]]
prefix = "/book"
class = "quick"
repeatable = false
`

// countingBackends stands for backend servers that run each request and counts
// the runs.
type countingBackends struct{ runs atomic.Int64 }

func (r *countingBackends) Update(map[string]int) {}
func (r *countingBackends) Do(context.Context, *backend.Request) backend.Answer {
	r.runs.Add(1)
	return backend.Answer{Outcome: outcome.Ran, Status: http.StatusOK}
}

type noopObserver struct{}

func (noopObserver) Retried(string, backend.Failure)              {}
func (noopObserver) Shed(string, document.Class, routing.Refusal) {}

// dispatch returns a dispatcher that uses the state and the claims of a node,
// and keeps it up to date.
func (c *cluster) dispatch(n *node, backends *countingBackends) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Config{Zone: "z", MaxConnections: 64, Backends: backends, Claims: entry.NewClaims(n.peers),
		Observer: noopObserver{}, Rand: rand.New(rand.NewPCG(1, 2))})
	changed := n.follow.Changed()
	ctx, stop := context.WithCancel(context.Background())
	kill := n.stop
	n.stop = func() { stop(); kill() }
	go func() {
		beat := time.NewTicker(routing.PauseBeat)
		defer beat.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case now := <-beat.C:
				d.Beat(now)
			case <-changed:
				fresh := n.follow.Fresh()
				n.follow.View(func(s *ledger.State) { d.Update(routing.Build(s), fresh) })
			}
		}
	}()
	return d
}

// propose appends a record and requires that it takes effect.
func (n *node) propose(t *testing.T, kind record.SubjectKind, name string, body record.Body) {
	t.Helper()
	rec := record.Record{ID: ulid.Make().String(), Subject: record.Subject{Kind: kind, Name: name}, Author: "test", Time: time.Now(), Body: body}
	n.follow.View(func(s *ledger.State) { rec.Base, rec.Seen = s.Revision(rec.Subject), s.Offset })
	out, err := n.follow.Propose(t.Context(), rec)
	require.NoError(t, err)
	require.Equal(t, ledger.Effective, out.Status, out.Reason)
}

// During an outage of the log of six hours, every entry VM must answer lookups,
// and bookings with keys of all owners, every 15 minutes; a booking retried at
// another entry VM must get its reply and not run again. No member may be
// evicted during the outage or after it, and bookings must go on afterwards.
// The routing table stays in use, and the right to grant rests on acks of the
// peers instead of the log, as long as no member can be evicted either.
func TestEntriesAnswerDuringHoursOfLogOutage(t *testing.T) {
	t.Parallel()
	withCluster(t, 3, func(c *cluster) {
		backends := &countingBackends{}
		var dispatchers []*dispatch.Dispatcher
		for i := range 3 {
			dispatchers = append(dispatchers, c.dispatch(c.nodes[fmt.Sprintf("n%d", i)], backends))
		}
		n := c.nodes["n0"]
		n.propose(c.t, record.SubjectService, "shop", record.DocumentPublish{Text: shopDocument})
		for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
			n.propose(c.t, record.SubjectVM, vm, record.VMRegister{Zone: "z", Rack: "r", Address: vm + ":80", Cores: 8, MemoryMB: 1024})
			n.propose(c.t, record.SubjectVM, vm, record.VMJoin{Pool: "shop"})
			n.propose(c.t, record.SubjectVM, vm, record.VMUp{})
		}
		time.Sleep(time.Second)
		before := c.nodes["n1"].names()
		c.log.Cut(true)
		for range 24 {
			time.Sleep(15 * time.Minute)
			c.sendRequests(dispatchers, backends)
			require.Equal(c.t, before, c.nodes["n1"].names())
		}
		c.log.Cut(false)
		for range 10 {
			time.Sleep(3 * time.Second)
			c.sendRequests(dispatchers, backends)
		}
		require.Equal(c.t, before, c.nodes["n1"].names(), "no member may be evicted when the log is back")
	})
}

// names returns the members in the folded state of the node.
func (n *node) names() (names []string) {
	n.follow.View(func(s *ledger.State) { names = s.MemberNames() })
	return names
}

// sendRequests sends lookups, and each booking twice, and checks the answers.
func (c *cluster) sendRequests(dispatchers []*dispatch.Dispatcher, backends *countingBackends) {
	c.t.Helper()
	send := func(d *dispatch.Dispatcher, path, key string, first bool) {
		svc := d.Table().Services["shop"]
		route := svc.Routes[slices.IndexFunc(svc.Routes, func(r document.Route) bool { return r.Prefix == path })]
		res := d.Do(c.t.Context(), &dispatch.Call{Service: "shop", Limits: svc.Limits, Route: route, Key: key, First: first,
			Deadline: time.Now().Add(2 * time.Second), Method: http.MethodPost, URL: &url.URL{Path: path}, Header: backend.Header{}})
		res.Close(true)
		assert.Equal(c.t, outcome.Ran, res.Outcome, "%s: %s", path, res.Reason)
	}
	const rounds = 8
	ran := backends.runs.Load()
	for i := range rounds {
		for _, d := range dispatchers {
			send(d, "/look", "", true)
		}
		key := ulid.Make().String()
		send(dispatchers[i%3], "/book", key, true)
		send(dispatchers[(i+1)%3], "/book", key, false)
	}
	assert.EqualValues(c.t, rounds*(len(dispatchers)+1), backends.runs.Load()-ran, "each lookup and each booking must run exactly once")
}
