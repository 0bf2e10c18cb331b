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

// A caller whose connection broke sends its request again while the first
// attempt still runs. The retry waits, and gets the reply of the first attempt
// when that one ends; only one of them ever has the right to run.
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

// The first attempt holds its claim and never ends. A retry gets "unknown" at
// its own deadline and not before; after the first attempt reported that it did
// not run, a third one may.
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
