package scheduler_test

import "testing"

// The same while owners change: a later owner must know of leases that an earlier one granted, or took, on a worker
// that had restarted.
func TestNoTaskRunsTwiceBesideWorkersThatRestartAndAreCutOffFromChangingOwners(t *testing.T) {
	t.Run("no other faults", func(t *testing.T) { checkRecutHistories(t, faults{}, true) })
	t.Run("answers lost", func(t *testing.T) {
		checkRecutHistories(t, faults{lostAnswer: 0.02, lostWriteAnswer: 0.02}, true)
	})
}

// A start that is carried out seconds late by the next process of its worker, which no owner has reached yet, must not
// run a task that runs elsewhere or is done.
func TestLateStartsBesideWorkersThatRestartAndAreCutOff(t *testing.T) {
	checkRecutHistories(t, faults{lateOrder: 0.02, lostWriteAnswer: 0.02}, true)
}

// An acknowledgement that hangs while its worker restarts reaches the next process, which then drops its first exits
// unread: their tasks must neither run again nor fail their jobs.
func TestHangingAcknowledgementsBesideWorkersThatRestart(t *testing.T) {
	checkRecutHistories(t, faults{hangingAck: true}, false)
}
