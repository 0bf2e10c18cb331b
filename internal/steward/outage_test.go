package steward_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/steward"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// attempt is an append or an action that a steward tried.
type attempt struct {
	at          time.Time
	description string
	offset      uint64 // folded by the steward
}

// platformLink connects one steward to the platform. Access to the log and to
// the VMs can be cut separately. It records what the steward tries, also while
// it is cut.
type platformLink struct {
	platform.Fleet
	*testkit.FaultyLog
	node        atomic.Pointer[node]
	actionsFail atomic.Bool

	mu       sync.Mutex
	attempts []attempt
}

func (w *platformLink) recordAttempt(what string) {
	a := attempt{at: time.Now(), description: what}
	if n := w.node.Load(); n != nil {
		n.follower.View(func(s *ledger.State) { a.offset = s.Offset })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = append(w.attempts, a)
}

// attemptsAfter returns the attempts after the given time.
func (w *platformLink) attemptsAfter(at time.Time) []attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.attempts), func(a attempt) bool { return !a.at.After(at) })
}

func (w *platformLink) Append(ctx context.Context, name string, entries [][]byte) (platform.Offset, error) {
	w.recordAttempt("append")
	return w.FaultyLog.Append(ctx, name, entries)
}

type action func(context.Context, string, platform.Operation) (platform.OperationStatus, error)

func (w *platformLink) attemptAction(ctx context.Context, do action, verb, vm string, op platform.Operation) (platform.OperationStatus, error) {
	w.recordAttempt(verb + " " + vm)
	if w.actionsFail.Load() {
		return "", platform.ErrUnavailable
	}
	return do(ctx, vm, op)
}

func (w *platformLink) Drain(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	return w.attemptAction(ctx, w.Fleet.Drain, "drain", vm, op)
}

func (w *platformLink) Undrain(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	return w.attemptAction(ctx, w.Fleet.Undrain, "undrain", vm, op)
}

func (w *platformLink) Reboot(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	return w.attemptAction(ctx, w.Fleet.Reboot, "reboot", vm, op)
}

func (w *platformLink) List(ctx context.Context) (platform.VMList, error) {
	if w.actionsFail.Load() {
		return platform.VMList{}, platform.ErrUnavailable
	}
	return w.Fleet.List(ctx)
}

// waveInProgress is three stewards in the middle of a wave, and an operator
// with separate access to the log.
type waveInProgress struct {
	*testing.T
	fake     *standin.Platform
	links    []*platformLink
	operator *node
}

func startWaveInProgress(t *testing.T, opts standin.Options) *waveInProgress {
	opts.AppendsPerSecond = -1
	opts.Groups = []standin.Group{{Prefix: "vm", Count: 14, Zones: []string{"a", "b", "c"}}}
	m := &waveInProgress{T: t, fake: standin.New(opts)}
	m.operator = &node{follower: follower.New(follower.Config{Log: m.fake, Stream: stream, Logger: hclog.NewNullLogger()})}
	go func() { _ = m.operator.follower.Serve(t.Context()) }()
	for i := range 3 {
		w := &platformLink{Fleet: m.fake, FaultyLog: testkit.NewFaultyLog(m.fake)}
		w.node.Store(startNode(t, w, fmt.Sprintf("entry-%d", i+1), func(cfg *steward.Config) { cfg.Health = listedChecker{m.fake} }))
		m.links = append(m.links, w)
	}
	time.Sleep(time.Second)
	publish(t, m.operator, "ramcharan", "booking")
	time.Sleep(time.Minute)
	m.operator.propose(t, record.Subject{Kind: record.SubjectWave, Name: "w1"}, record.WaveStart{Pools: []string{"booking"}, Deadline: time.Now().Add(24 * time.Hour)})
	for m.operator.count(func(vm *ledger.VM) bool { return vm.Reboots > 0 }) < 2 {
		time.Sleep(time.Second)
	}
	require.Positive(t, m.operator.count(func(vm *ledger.VM) bool { return vm.Drain != nil }), "some VMs must be in a drain")
	return m
}

// crash crashes a VM or the VMs of a rack.
func (m *waveInProgress) crash(target string) {
	_, err := m.fake.ActivateFaults(standin.Fault{Kind: standin.VMCrash, Target: target})
	require.NoError(m, err)
}

// requireNoAttempts lets d pass and checks that no steward tries anything after
// its state is too old, which leaves 15 s to end an append in flight.
func (m *waveInProgress) requireNoAttempts(d time.Duration) {
	m.Helper()
	time.Sleep(15 * time.Second)
	began := time.Now()
	time.Sleep(d)
	for i, w := range m.links {
		attempts := w.attemptsAfter(began)
		assert.Empty(m, attempts[:min(3, len(attempts))], "%d attempts of steward %d", len(attempts), i+1)
	}
}

// appendRecords appends records of another system and returns the log's end.
// Callers use it to write more records than one read returns.
func (m *waveInProgress) appendRecords(records int) uint64 {
	const batchSize = 500
	for ; records > 0; records -= batchSize {
		_, err := m.fake.Append(m.Context(), stream, slices.Repeat([][]byte{[]byte("of another system")}, min(batchSize, records)))
		require.NoError(m, err)
	}
	time.Sleep(time.Second)
	var tail uint64
	m.operator.follower.View(func(s *ledger.State) { tail = s.Offset })
	return tail
}

// In the middle of a wave the stewards lose the log for three hours, while they
// still reach the VMs, and then the whole platform for three more. Racks fail
// meanwhile. No VM may be drained, rebooted or moved. An operator who still
// reaches the log aborts the wave and publishes a document, as the last of more
// records than the stewards fold in one read, and reads are slow. The first
// decision of each steward after its return must be based on all of these
// records: the wave takes no further VM, and failed VMs are replaced. A
// decision needs a read of the log's end that is seconds old at most; a read
// that stops before the end does not count.
func TestStewardsDoNothingWhileThePlatformIsUnreachable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		m := startWaveInProgress(t, standin.Options{})
		for _, w := range m.links {
			w.Cut(true)
		}
		m.crash("rack/a-r01")
		m.requireNoAttempts(3 * time.Hour)
		for _, w := range m.links {
			w.actionsFail.Store(true)
		}
		m.crash("vm-02")
		m.requireNoAttempts(3 * time.Hour)

		m.appendRecords(3500)
		m.operator.propose(t, record.Subject{Kind: record.SubjectWave, Name: "w1"}, record.WaveControl{Command: record.WaveAbort})
		publish(t, m.operator, "ramcharan", "returns")
		tail := m.appendRecords(0)
		_, err := m.fake.ActivateFaults(standin.Fault{Kind: standin.LogSlow, Target: "read", DelayMS: 900})
		require.NoError(t, err)
		reconnected := time.Now()
		for _, w := range m.links {
			w.Cut(false)
			w.actionsFail.Store(false)
		}
		time.Sleep(5 * time.Minute)
		var attempts []attempt
		for i, w := range m.links {
			linkAttempts := w.attemptsAfter(reconnected)
			if len(linkAttempts) > 0 {
				assert.GreaterOrEqual(t, linkAttempts[0].offset, tail, "steward %d: %s", i+1, linkAttempts[0].description)
			}
			attempts = append(attempts, linkAttempts...)
		}
		assert.NotEmpty(t, attempts, "the stewards must act again")
		m.operator.follower.View(func(s *ledger.State) {
			assert.Equal(t, ledger.WaveAborted, s.Waves["w1"].Status)
			assert.NotNil(t, s.Services["returns"])
			for id, vm := range s.VMs {
				if vm.Drain != nil && vm.Drain.Wave != "" {
					assert.LessOrEqual(t, vm.Drain.Fence, tail, "%s was drained for a wave that has ended", id)
				}
				assert.LessOrEqual(t, m.fake.Counters().Reboots[id], 1, id)
			}
		})
	})
}

// After an outage the log returns without records that the stewards had not
// folded yet, or as another log that is shorter. A rack has failed. No steward
// may act: each keeps its state and reports the condition. When the original
// log returns, the stewards act on its end.
func TestStewardsActOnlyOnTheLogThatTheyFollowed(t *testing.T) {
	t.Parallel()
	for _, condition := range []follower.Condition{follower.Gap, follower.Foreign} {
		t.Run(string(condition), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := startWaveInProgress(t, standin.Options{RetentionEntries: 1000})
				another := standin.New(standin.Options{})
				_, err := another.Append(t.Context(), stream, [][]byte{[]byte("first")})
				require.NoError(t, err)
				for _, w := range m.links {
					w.Cut(true)
				}
				m.crash("rack/a-r01")
				m.requireNoAttempts(20 * time.Minute)
				if condition == follower.Gap {
					m.appendRecords(4000)
				}
				for _, w := range m.links {
					if condition == follower.Foreign {
						w.Redirect(another)
					}
					w.Cut(false)
				}
				m.requireNoAttempts(20 * time.Minute)
				for _, w := range m.links {
					is, detail := w.node.Load().follower.Condition()
					assert.Equal(t, condition, is)
					assert.NotEmpty(t, detail)
				}
				if condition == follower.Gap {
					return
				}
				tail := m.appendRecords(10)
				restored := time.Now()
				for _, w := range m.links {
					w.Redirect(m.fake)
				}
				time.Sleep(5 * time.Minute)
				// The other stewards may have done all the work already, but
				// each steward must have folded the log to its end.
				var attempts []attempt
				for i, w := range m.links {
					is, detail := w.node.Load().follower.Condition()
					assert.Equal(t, follower.Following, is, "steward %d: %s", i+1, detail)
					w.node.Load().follower.View(func(s *ledger.State) { assert.GreaterOrEqual(t, s.Offset, tail) })
					for _, a := range w.attemptsAfter(restored) {
						assert.GreaterOrEqual(t, a.offset, tail, "steward %d: %s", i+1, a.description)
						attempts = append(attempts, a)
					}
				}
				assert.NotEmpty(t, attempts, "the stewards must act again")
			})
		})
	}
}
