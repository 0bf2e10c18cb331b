package steward_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/steward"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

const stream = "yuccadrift"

// alwaysHealthy is a Checker that finds every VM healthy.
type alwaysHealthy struct{}

func (alwaysHealthy) Check(context.Context, string) error { return nil }

// node is a steward in the test's process.
type node struct {
	follower *follower.Follower
	stop     context.CancelFunc
}

// platformAPI is the part of the platform that a steward uses.
type platformAPI interface {
	platform.Log
	platform.Fleet
}

func startNode(t *testing.T, fake platformAPI, name string, options ...func(*steward.Config)) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	logger := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Warn, Output: t.Output()})
	f := follower.New(follower.Config{Log: fake, Stream: stream, Logger: logger})
	cfg := steward.Config{
		Node:     name,
		Follower: f,
		Fleet:    fake,
		Entries:  steward.UnreachableEntries{},
		Health:   alwaysHealthy{},
		Logger:   logger,
	}
	for _, option := range options {
		option(&cfg)
	}
	s := steward.New(cfg)
	duties := append(s.Duties(), supervise.Duty{Name: "follow", Serve: f.Serve})
	go func() { _ = supervise.Run(ctx, name, logger, duties...) }()
	return &node{follower: f, stop: cancel}
}

// count returns the number of VMs for which f returns true.
func (n *node) count(f func(*ledger.VM) bool) int {
	sum := 0
	n.follower.View(func(s *ledger.State) {
		for _, vm := range s.VMs {
			if f(vm) {
				sum++
			}
		}
	})
	return sum
}

func (n *node) propose(t *testing.T, sub record.Subject, body record.Body) {
	t.Helper()
	var base record.Revision
	var seen uint64
	n.follower.View(func(s *ledger.State) { base, seen = s.Revision(sub), s.Offset })
	outcome, err := n.follower.Propose(t.Context(), record.Record{
		ID: ulid.Make().String(), Subject: sub, Base: base, Seen: seen, Author: "test", Time: time.Now(), Body: body,
	})
	require.NoError(t, err)
	require.Equal(t, ledger.Effective, outcome.Status, outcome.Reason)
}

func publish(t *testing.T, n *node, deployment, service string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, service+".toml"))
	require.NoError(t, err)
	n.propose(t, record.Subject{Kind: record.SubjectService, Name: service}, record.DocumentPublish{Text: string(text)})
}

// VMs of the platform's list are registered and join the pool that the document
// asks for. A wave drains, reboots and returns each of them, and never has more
// out of service at once than the budget allows.
func TestWaveOverOnePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := standin.New(standin.Options{Groups: []standin.Group{{Prefix: "vm", Count: 12, Zones: []string{"a", "b", "c"}}}})
		n := startNode(t, fake, "entry-1")
		time.Sleep(time.Second)
		publish(t, n, "ramcharan", "booking")
		time.Sleep(20 * time.Second)
		n.follower.View(func(s *ledger.State) {
			assert.Equal(t, 12, s.Unavailability("booking").Serving)
		})
		n.propose(t, record.Subject{Kind: record.SubjectWave, Name: "w1"}, record.WaveStart{Pools: []string{"booking"}, Deadline: time.Now().Add(time.Hour)})
		short := 0
		for range 600 {
			time.Sleep(time.Second)
			n.follower.View(func(s *ledger.State) { short = max(short, s.Unavailability("booking").Short) })
		}
		n.follower.View(func(s *ledger.State) {
			assert.Equal(t, ledger.WaveDone, s.Waves["w1"].Status)
			assert.LessOrEqual(t, short, s.Services["booking"].Doc.Budget.MaxUnavailable)
			for _, vm := range s.VMs {
				assert.Equal(t, 1, vm.Reboots, vm.ID)
				assert.True(t, vm.Serving(), vm.ID)
			}
		})
		assert.Equal(t, 12, len(fake.Counters().Reboots))
	})
}
