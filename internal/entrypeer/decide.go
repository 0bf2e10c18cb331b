package entrypeer

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

const (
	// maxRun is how long a run without a deadline may take before its claim counts
	// as lost.
	maxRun = time.Hour
	// reportSlack is how long after the deadline of a run its report may arrive.
	reportSlack = 10 * time.Second
	// retrySoon is the Retry-After of a temporary condition.
	retrySoon = time.Second
)

// decide derives the decision for the caller from the owner's last reply.
func decide(req claim.Request, attempt claim.Attempt, r claim.Reply) claim.Decision {
	d := claim.Decision{Reason: r.Reason, Answer: r.Answer}
	switch r.Code {
	case claim.CodeGranted:
		d.Verdict = claim.Granted
		d.Attempt = attempt
	case claim.CodeRan:
		d.Verdict = claim.Ran
	case claim.CodeNotRun:
		d.Verdict = claim.NotRun
		d.RetryAfter = retrySoon
	case claim.CodeInProgress:
		d.Verdict = claim.Unknown
		d.RetryAfter = retrySoon
	case claim.CodeUnknown:
		d.Verdict = verdictWithoutRecord(req, r.Reason)
	default:
		d.Verdict = verdictWithoutRecord(req, claim.ReasonUnreachable)
		d.RetryAfter = retrySoon
	}
	return d
}

// verdictWithoutRecord returns the verdict if earlier attempts are not known.
// If the caller asserted that there is none, the verdict is NotRun, because
// this attempt has not run and will not.
func verdictWithoutRecord(req claim.Request, reason claim.Reason) claim.Verdict {
	switch reason {
	case claim.ReasonTooOld, claim.ReasonTooNew, claim.ReasonOwnerLost, claim.ReasonUnreachable, claim.ReasonMoving:
		if req.First {
			return claim.NotRun
		}
	}
	return claim.Unknown
}
