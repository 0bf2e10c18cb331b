package entry

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// claimReasons maps a claim's reasons to the codes that callers get.
var claimReasons = map[claim.Reason]outcome.Reason{
	claim.ReasonTooOld:      "key-too-old",
	claim.ReasonTooNew:      "key-in-future",
	claim.ReasonMismatch:    "key-reused",
	claim.ReasonInProgress:  "in-progress",
	claim.ReasonHolderLost:  "earlier-attempt-lost",
	claim.ReasonEndUnknown:  "earlier-attempt-unknown",
	claim.ReasonOwnerLost:   "claims-lost",
	claim.ReasonUnreachable: "claims-unreachable",
	claim.ReasonMoving:      "claims-moving",
	claim.ReasonFull:        "claims-full",
}

// reasonRanBefore means that an earlier attempt ran, with or without a stored answer.
const reasonRanBefore outcome.Reason = "ran-before"

// claims adapts an entrypeer.Claimer to dispatch.Claims.
type claims struct{ claimer entrypeer.Claimer }

// NewClaims returns a dispatch.Claims that uses claimer.
func NewClaims(claimer entrypeer.Claimer) dispatch.Claims { return claims{claimer: claimer} }

// CheckKey returns an error if a key is invalid.
func CheckKey(service, key string) error {
	_, err := claim.ParseKey(service, key)
	return err
}

// Begin implements dispatch.Claims.
func (c claims) Begin(ctx context.Context, call *dispatch.Call) (dispatch.Permit, dispatch.Denial) {
	key, err := claim.ParseKey(call.Service, call.Key)
	invariant.Check(err == nil, "a call's key was checked when it was parsed, yet: %v", err)
	decision := c.claimer.Claim(ctx, claim.Request{Key: key, Fingerprint: fingerprint(call), First: call.First})
	if decision.Verdict == claim.Granted {
		return &permit{claimer: c.claimer, key: key, attempt: decision.Attempt}, dispatch.Denial{}
	}
	return nil, denial(decision)
}

func denial(d claim.Decision) dispatch.Denial {
	out := dispatch.Denial{Reason: claimReasons[d.Reason], RetryAfter: d.RetryAfter}
	switch d.Verdict {
	case claim.Ran:
		out.Outcome = outcome.Ran
		out.Reason = reasonRanBefore
		out.Answer = newBackendAnswer(d.Answer)
	case claim.NotRun:
		out.Outcome = outcome.NotRun
	default:
		out.Outcome = outcome.Unknown
	}
	return out
}

// fingerprint returns a hash that distinguishes different requests sent under one key
// by mistake.
func fingerprint(call *dispatch.Call) uint64 {
	const separator = "\x00"
	h := xxhash.New()
	for _, part := range []string{call.Method, call.URL.EscapedPath(), call.URL.RawQuery} {
		_, _ = h.WriteString(part + separator)
	}
	_, _ = h.Write(call.Body)
	return h.Sum64()
}

// permit is a granted claim.
type permit struct {
	claimer entrypeer.Claimer
	key     claim.Key
	attempt claim.Attempt
}

// End implements dispatch.Permit.
func (p *permit) End(o outcome.Outcome, answer *backend.Answer) {
	res := claim.Result{Key: p.key, Attempt: p.attempt}
	switch o {
	case outcome.Ran:
		res.End = claim.EndRan
		res.Answer = newClaimAnswer(answer)
	case outcome.NotRun:
		res.End = claim.EndNotRun
	default:
		res.End = claim.EndUnknown
	}
	p.claimer.Report(res)
}

// newClaimAnswer converts an answer to the form that is stored for retries.
func newClaimAnswer(answer *backend.Answer) *claim.Answer {
	if answer == nil {
		return nil
	}
	out := &claim.Answer{Status: answer.Status, Body: answer.Body}
	for name, values := range answer.Header {
		for _, v := range values {
			out.Header = append(out.Header, claim.HeaderField{Name: name, Value: v})
		}
	}
	return out
}

// newBackendAnswer returns a stored answer for a retry; its Status is 0 if answer is
// nil.
func newBackendAnswer(answer *claim.Answer) backend.Answer {
	if answer == nil {
		return backend.Answer{}
	}
	header := backend.Header{}
	for _, f := range answer.Header {
		header.Add(f.Name, f.Value)
	}
	return backend.Answer{Outcome: outcome.Ran, Status: answer.Status, Header: header, Body: answer.Body}
}
