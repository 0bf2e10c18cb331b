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

// bookings is a caller that sends bookings and remembers what it was told.
type bookings struct {
	t  testing.TB
	c  *testkit.Cluster
	mu sync.Mutex
	// told holds the answers by key; an answer that never came has outcome "".
	told map[string][]outcome.Outcome
}

func newBookings(t testing.TB, c *testkit.Cluster) *bookings {
	return &bookings{t: t, c: c, told: map[string][]outcome.Outcome{}}
}

func (b *bookings) send(node *testkit.Node, key string, attempt int, work time.Duration) testkit.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a := node.Send(ctx, testkit.Request{
		Path: "/booking/book", Key: key, Attempt: attempt, Work: work, Deadline: 4 * time.Second, ReplyBytes: 200,
	})
	told := a.Outcome
	if a.Err != nil {
		told = ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told[key] = append(b.told[key], told)
	return a
}

// check holds the promises against the backend servers' counts: no key ran
// twice, one told "ran" did, and one told nothing but "not-run" did not.
func (b *bookings) check() {
	b.t.Helper()
	keys := b.c.Standin.Counters().Backends.Keys
	for key, told := range b.told {
		runs := keys[key].Runs
		assert.LessOrEqual(b.t, runs, 1, "%s told %q", key, told)
		if strings.Contains(fmt.Sprint(told), string(outcome.Ran)) {
			assert.Equal(b.t, 1, runs, "%s told %q", key, told)
		}
		if last := told[len(told)-1]; last == outcome.NotRun {
			assert.Zero(b.t, runs, "%s told %q", key, told)
		}
	}
}

// counts returns how many keys had each outcome as their last.
func (b *bookings) counts() map[outcome.Outcome]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := map[outcome.Outcome]int{}
	for _, told := range b.told {
		n[told[len(told)-1]]++
	}
	return n
}

// retriesOf bounds the attempts at one booking.
const retriesOf = 8

// book sends bookings from workers until the returned function is called. vouch
// says that callers mark their first attempts.
func (b *bookings) book(workers int, vouch bool) (stop func()) {
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
					b.one(random, vouch)
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// one books once: it retries under the same key after a broken connection, goes
// on with a new key after "not-run", and ends at "ran" and "unknown".
func (b *bookings) one(random *rand.Rand, vouch bool) {
	key, attempt := testkit.Key(), 1
	for range retriesOf {
		node := b.c.Nodes[random.IntN(len(b.c.Nodes))]
		number := 0
		if vouch || attempt > 1 {
			number = attempt
		}
		a := b.send(node, key, number, 20*time.Millisecond)
		switch {
		case errors.Is(a.Err, syscall.ECONNREFUSED): // nothing was sent
			b.forget(key)
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

// forget takes the latest attempt back, which never reached an entry VM.
func (b *bookings) forget(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if told := b.told[key]; len(told) > 1 {
		b.told[key] = told[:len(told)-1]
		return
	}
	delete(b.told, key)
}
