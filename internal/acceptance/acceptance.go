// Package acceptance decides what callers may be told of a job: whether it was accepted, and whether
// a refusal that promises that it never runs would be true.
//
// Callers don't number their attempts, and any node may have handled an earlier one. So a node that
// has not stored a request's record knows nothing of the job by that alone: an earlier attempt may
// be stored, or its append may still be carried out.
package acceptance

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Request is a submission or a cancellation of a job.
type Request struct {
	Partition int            `json:"p"` // of the job's service
	Job       workload.JobID `json:"j"`
	Cancels   bool           `json:"c,omitempty"`
}

// AttemptMemory is how long attempts are remembered. A caller sends a request again for up to some
// 17 s: five attempts with a timeout of 3 s, and pauses of a second or less in between.
const AttemptMemory = 20 * time.Second

// Verdict is what is known of a job at the time of a response.
type Verdict int

// The verdicts.
const (
	// Uncertain: the job may have been accepted, or an earlier attempt may still be stored.
	Uncertain Verdict = iota
	// Accepted: the job was accepted.
	Accepted
	// NeverAccepted: no attempt was accepted or will be, unless the caller sends another one.
	NeverAccepted
)

// String returns the verdict's name in metrics.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case NeverAccepted:
		return "never_accepted"
	default:
		return "uncertain"
	}
}

// Evidence is what is known of the attempts to hand a job in, or to cancel it, when a request is
// about to be answered without a record of its own.
type Evidence struct {
	// AttemptRefused is set if the record of this attempt certainly is not and will not be stored.
	AttemptRefused bool
	// HasOpenAttempt is set if this node made an earlier attempt whose outcome is unknown.
	HasOpenAttempt bool
	// Known is set if an owner, current or not, knows the requester's job or its cancellation.
	Known bool
	Owner OwnerReport
}

// OwnerReport is what the node of a partition's owner says of a job that the owner doesn't know. The
// zero value stands for a node that didn't answer.
type OwnerReport struct {
	// ReadSinceAsked is set if the owner has read the whole partition by a read that was sent after
	// the question arrived: it knows each record that was acknowledged before.
	ReadSinceAsked bool `json:"r,omitempty"`
	// IsCurrent is set if no other node can own the partition, so that nodes report their open
	// attempts to this one.
	IsCurrent bool `json:"c,omitempty"`
	// WatchedFor is how long the node has owned the partition and has remembered all attempts of
	// which it heard.
	WatchedFor time.Duration `json:"w,omitempty"`
	// HasOpenAttempt is set if an attempt is in flight or has an unknown outcome, at the owner's node
	// or at one that has reported so.
	HasOpenAttempt bool `json:"o,omitempty"`
}

// Judge returns the verdict on a job.
func Judge(e Evidence) Verdict {
	switch {
	case e.Known:
		return Accepted
	case DoubtOf(e) == NoDoubt:
		return NeverAccepted
	default:
		return Uncertain
	}
}

// Doubt is why a job that its owner doesn't know may have been accepted all the same. Its text is for logs and
// metrics.
type Doubt string

// The doubts.
const (
	NoDoubt              Doubt = ""
	ThisAttemptOpen      Doubt = "this_attempt_open"
	EarlierAttemptHere   Doubt = "earlier_attempt_open_here"
	EarlierAttemptOwner  Doubt = "earlier_attempt_open_at_owner"
	OwnerSilent          Doubt = "owner_silent"
	OwnerReplaced        Doubt = "owner_may_be_replaced"
	OwnerHasNotRead      Doubt = "owner_has_not_read"
	OwnerWatchesTooShort Doubt = "owner_watches_too_short"
)

// DoubtOf returns the first doubt that the evidence leaves, NoDoubt if it rules out that the job was accepted.
func DoubtOf(e Evidence) Doubt {
	o := e.Owner
	switch {
	case !e.AttemptRefused:
		return ThisAttemptOpen
	case e.HasOpenAttempt:
		return EarlierAttemptHere
	case o.HasOpenAttempt:
		return EarlierAttemptOwner
	case o == OwnerReport{}:
		return OwnerSilent
	case !o.IsCurrent:
		return OwnerReplaced
	case !o.ReadSinceAsked:
		return OwnerHasNotRead
	case o.WatchedFor < AttemptMemory:
		return OwnerWatchesTooShort
	}
	return NoDoubt
}
