package acceptance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// conclusive returns evidence that rules out that a job was accepted.
func conclusive() Evidence {
	return Evidence{AttemptRefused: true, Owner: OwnerReport{ReadSinceAsked: true, IsCurrent: true, WatchedFor: AttemptMemory}}
}

// Guards against refusals of jobs that may have been accepted: each gap in the evidence alone is enough
// to promise nothing.
func TestARefusalNeedsAllEvidence(t *testing.T) {
	assert.Equal(t, NeverAccepted, Judge(conclusive()))
	assert.Equal(t, NoDoubt, DoubtOf(conclusive()))
	doubts := map[Doubt]bool{}
	for name, weaken := range map[string]func(e *Evidence){
		"this attempt may be stored":                      func(e *Evidence) { e.AttemptRefused = false },
		"an earlier attempt at this node is open":         func(e *Evidence) { e.HasOpenAttempt = true },
		"an attempt that the owner has heard of is open":  func(e *Evidence) { e.Owner.HasOpenAttempt = true },
		"the owner lags behind the store":                 func(e *Evidence) { e.Owner.ReadSinceAsked = false },
		"another node may own the partition":              func(e *Evidence) { e.Owner.IsCurrent = false },
		"the owner has taken over after earlier attempts": func(e *Evidence) { e.Owner.WatchedFor = AttemptMemory - time.Millisecond },
		"the owner is lost":                               func(e *Evidence) { e.Owner = OwnerReport{} },
	} {
		e := conclusive()
		weaken(&e)
		assert.Equal(t, Uncertain, Judge(e), name)
		assert.NotEqual(t, NoDoubt, DoubtOf(e), name)
		doubts[DoubtOf(e)] = true
		e.Known = true
		assert.Equal(t, Accepted, Judge(e), "%s, but the job is known", name)
	}
	assert.Len(t, doubts, 7, "each gap has a doubt of its own, so that logs tell them apart")
}
