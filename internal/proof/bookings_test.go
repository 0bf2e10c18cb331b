package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// bookingCaller is a caller that sends bookings and remembers what it was told.
type bookingCaller struct {
	t       testing.TB
	cluster *testkit.Cluster
	mu      sync.Mutex
	// outcomes holds the answers by key; an answer that never came has outcome "".
	outcomes map[string][]outcome.Outcome
}

func newBookingCaller(t testing.TB, c *testkit.Cluster) *bookingCaller {
	return &bookingCaller{t: t, cluster: c, outcomes: map[string][]outcome.Outcome{}}
}

func (b *bookingCaller) send(node *testkit.Node, key string, attempt int, work time.Duration) testkit.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a := node.Send(ctx, testkit.Request{
		Path: "/booking/book", Key: key, Attempt: attempt, Work: work, Deadline: 4 * time.Second, ReplyBytes: 200,
	})
	received := a.Outcome
	if a.Err != nil {
		received = ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[key] = append(b.outcomes[key], received)
	return a
}

// checkRuns holds the promises against the backend servers' counts: no key ran
// twice, one told "ran" did, and one told nothing but "not-run" did not.
func (b *bookingCaller) checkRuns() {
	b.t.Helper()
	keys := b.cluster.Standin.Counters().Backends.Keys
	for key, outcomes := range b.outcomes {
		runs := keys[key].Runs
		assert.LessOrEqual(b.t, runs, 1, "%s told %q", key, outcomes)
		if strings.Contains(fmt.Sprint(outcomes), string(outcome.Ran)) {
			assert.Equal(b.t, 1, runs, "%s told %q", key, outcomes)
		}
		if last := outcomes[len(outcomes)-1]; last == outcome.NotRun {
			assert.Zero(b.t, runs, "%s told %q", key, outcomes)
		}
	}
}

// countLastOutcomes returns how many keys had each outcome as their last.
func (b *bookingCaller) countLastOutcomes() map[outcome.Outcome]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := map[outcome.Outcome]int{}
	for _, outcomes := range b.outcomes {
		n[outcomes[len(outcomes)-1]]++
	}
	return n
}

// maxBookingAttempts bounds the attempts at one booking.
const maxBookingAttempts = 8

// start sends bookings from workers until the returned function is called. vouch
// says that callers mark their first attempts.
func (b *bookingCaller) start(workers int, markFirst bool) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for w := range workers {
		random := rand.New(rand.NewPCG(uint64(w), 7))
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					b.bookOnce(random, markFirst)
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// bookOnce books once: it retries under the same key after a broken connection, goes
// on with a new key after "not-run", and ends at "ran" and "unknown".
func (b *bookingCaller) bookOnce(random *rand.Rand, markFirst bool) {
	key, attempt := testkit.Key(), 1
	for range maxBookingAttempts {
		node := b.cluster.Nodes[random.IntN(len(b.cluster.Nodes))]
		number := 0
		if markFirst || attempt > 1 {
			number = attempt
		}
		a := b.send(node, key, number, 20*time.Millisecond)
		switch {
		case errors.Is(a.Err, syscall.ECONNREFUSED): // nothing was sent
			b.dropLastOutcome(key)
		case a.Err != nil:
			attempt++
		case a.Outcome == outcome.NotRun:
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			key, attempt = testkit.Key(), 1
		default:
			return
		}
	}
}

// dropLastOutcome takes the latest attempt back, which never reached an entry VM.
func (b *bookingCaller) dropLastOutcome(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if outcomes := b.outcomes[key]; len(outcomes) > 1 {
		b.outcomes[key] = outcomes[:len(outcomes)-1]
		return
	}
	delete(b.outcomes, key)
}
