// Package acceptance decides what callers may be told of a job: whether it was accepted, and whether
// a refusal that promises that it never runs would be true.
package acceptance

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

// Evidence is what is known of a job's attempts.
type Evidence struct {
	// AttemptRefused is set if the record of this attempt certainly is not and will not be stored.
	AttemptRefused bool
}

// Judge returns the verdict on a job.
func Judge(e Evidence) Verdict {
	if e.AttemptRefused {
		return NeverAccepted
	}
	return Uncertain
}
