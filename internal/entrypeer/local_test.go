package entrypeer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

func testConfig() claim.Config {
	return claim.Config{
		Window:     10 * time.Minute,
		Ahead:      500 * time.Millisecond,
		Skew:       500 * time.Millisecond,
		Handover:   time.Second,
		MaxRecords: 1000,
		MaxAnswer:  1 << 10,
		MaxAnswers: 1 << 20,
	}
}

func freshRequest() claim.Request {
	return claim.Request{Key: claim.Key{Service: "orders", ID: ulid.Make()}}
}

// After its connection broke, a caller sends its request again while the first
// attempt still runs. The retry must wait for the first attempt and get its
// reply. Only one of them may be granted.
func TestRetryWaitsForTheRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLocal("a", testConfig())
		req := freshRequest()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		first := l.Claim(ctx, req)
		require.Equal(t, claim.Granted, first.Verdict)

		second := make(chan claim.Decision, 1)
		go func() { second <- l.Claim(ctx, req) }()
		synctest.Wait()
		require.Empty(t, second)

		answer := &claim.Answer{Status: 201, Body: []byte("chair 7")}
		l.Report(claim.Result{Key: req.Key, Attempt: first.Attempt, End: claim.EndRan, Answer: answer})
		d := <-second
		require.Equal(t, claim.Ran, d.Verdict)
		require.Equal(t, answer, d.Answer)
	})
}

// The first attempt holds its claim and does not end. A retry must get
// "unknown" at its own deadline and not before. After the first attempt
// reported that it did not run, a third attempt may run.
func TestRetryGetsUnknownAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLocal("a", testConfig())
		req := freshRequest()
		first := l.Claim(t.Context(), req)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		d := l.Claim(ctx, req)
		require.Equal(t, claim.Unknown, d.Verdict)
		require.Equal(t, claim.ReasonInProgress, d.Reason)
		require.Equal(t, 5*time.Second, time.Since(began))

		l.Report(claim.Result{Key: req.Key, Attempt: first.Attempt, End: claim.EndNotRun})
		require.Equal(t, claim.Granted, l.Claim(t.Context(), req).Verdict)
	})
}
