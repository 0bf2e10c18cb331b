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

// bookingCaller sends bookings and records the outcomes that it received.
type bookingCaller struct {
	t       testing.TB
	cluster *testkit.Cluster
	mu      sync.Mutex
	// outcomes holds the received outcomes by key, "" for an attempt without an answer.
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

// checkRuns compares the outcomes with the backend servers' counters: no key may have run twice, a
// key with the outcome "ran" must have run, and a key whose last outcome is "not-run" must not.
func (b *bookingCaller) checkRuns() {
	b.t.Helper()
	keys := b.cluster.Standin.Counters().Backends.Keys
	for key, outcomes := range b.outcomes {
		runs := keys[key].Runs
		assert.LessOrEqual(b.t, runs, 1, "outcomes of key %s: %q", key, outcomes)
		if strings.Contains(fmt.Sprint(outcomes), string(outcome.Ran)) {
			assert.Equal(b.t, 1, runs, "outcomes of key %s: %q", key, outcomes)
		}
		if last := outcomes[len(outcomes)-1]; last == outcome.NotRun {
			assert.Zero(b.t, runs, "outcomes of key %s: %q", key, outcomes)
		}
	}
}

// countLastOutcomes returns the number of keys by their last outcome.
func (b *bookingCaller) countLastOutcomes() map[outcome.Outcome]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := map[outcome.Outcome]int{}
	for _, outcomes := range b.outcomes {
		n[outcomes[len(outcomes)-1]]++
	}
	return n
}

// maxBookingAttempts bounds the attempts of one booking.
const maxBookingAttempts = 8

// start sends bookings from the given number of goroutines until stop is called. If markFirst is
// set, first attempts carry their attempt number.
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

// bookOnce sends one booking until its outcome is "ran" or "unknown". It retries with the same key
// after a broken connection and with a new key after "not-run".
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

// dropLastOutcome removes the latest attempt from the records, because it never reached an entry VM.
func (b *bookingCaller) dropLastOutcome(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if outcomes := b.outcomes[key]; len(outcomes) > 1 {
		b.outcomes[key] = outcomes[:len(outcomes)-1]
		return
	}
	delete(b.outcomes, key)
}
