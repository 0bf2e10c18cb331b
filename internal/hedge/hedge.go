// Package hedge repeats idempotent writes to the platform's store whose answers
// are late. An answer that was lost never comes, and its call would hold up all
// that waits for it until the time-out; a second call after a short pause has the
// answer within milliseconds. As the writes are idempotent, several may arrive.
package hedge

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/platform"
)

// delays are when calls are sent, counted from the first. The store answers
// within 10 ms as a rule, and within 250 ms when it is slow.
var delays = []time.Duration{0, 90 * time.Millisecond, 280 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}

// result is the outcome of one call.
type result struct {
	status platform.StoreStatus
	err    error
}

// Write calls until the outcome is known or all calls have ended. It returns
// StoreRefused only if none of the calls can have had or can have an effect.
func Write(ctx context.Context, call func(ctx context.Context) (platform.StoreStatus, error)) (platform.StoreStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(delays))
	send := func() {
		go func() {
			status, err := call(ctx)
			results <- result{status, err}
		}()
	}
	began := time.Now()
	send()
	sent, ended, unsure := 1, 0, false
	var last result
	timer := time.NewTimer(time.Until(began.Add(delays[1])))
	defer timer.Stop()
	for ended < sent {
		select {
		case last = <-results:
			ended++
			switch last.status {
			case platform.StoreRefused:
			case platform.StoreUnknown:
				unsure = true
			default:
				return last.status, last.err
			}
		case <-timer.C:
			if sent < len(delays) && ended < sent {
				send()
				sent++
			}
			if sent < len(delays) {
				timer.Reset(time.Until(began.Add(delays[sent])))
			}
		case <-ctx.Done():
			return platform.StoreUnknown, ctx.Err()
		}
	}
	if unsure {
		return platform.StoreUnknown, last.err
	}
	return platform.StoreRefused, last.err
}
