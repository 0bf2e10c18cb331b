package acceptance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

var (
	testStart     = time.Unix(0, 0)
	testRequest   = Request{Job: "00000000000000aa"}
	testRequester = workload.Requester{Workspace: "ward", Queue: "quick"}
)

// Guards against an attempt with an unknown outcome that is forgotten while its caller still comes back,
// or because a later attempt was refused.
func TestAnOpenAttemptIsRememberedAsLongAsItsCallerComesBack(t *testing.T) {
	for offset := time.Duration(0); offset < 2*AttemptMemory; offset += time.Second {
		m := NewMemory(testStart)
		at := testStart.Add(offset)
		m.Begin(testRequest, at)
		assert.True(t, m.IsOpen(testRequest, at), "in flight")
		m.End(testRequest, Unknown, testRequester, at)
		m.Begin(testRequest, at)
		m.End(testRequest, Refused, testRequester, at)
		assert.True(t, m.IsOpen(testRequest, at.Add(AttemptMemory-time.Millisecond)))
		assert.False(t, m.IsOpen(Request{Job: testRequest.Job, Cancels: true}, at), "a cancellation is a request of its own")
	}
}

// Guards against an attempt that takes longer than attempts are remembered and is forgotten in flight.
func TestAnAttemptInFlightIsNotForgotten(t *testing.T) {
	m := NewMemory(testStart)
	m.Begin(testRequest, testStart)
	for i := range 10 {
		other := Request{Job: workload.JobID(fmt.Sprint(i))}
		m.Begin(other, testStart.Add(time.Duration(i)*AttemptMemory))
		m.End(other, Refused, testRequester, testStart.Add(time.Duration(i)*AttemptMemory))
	}
	assert.True(t, m.IsOpen(testRequest, testStart.Add(10*AttemptMemory)))
}

// Guards against a stored request that an idle node still acknowledges after its job's retention, when
// the ID stands for a new job.
func TestAStoredRequestIsForgottenWhileNobodyAsks(t *testing.T) {
	m := NewMemory(testStart)
	m.Begin(testRequest, testStart)
	m.End(testRequest, Stored, testRequester, testStart)
	assert.True(t, m.IsStored(testRequest, testRequester, testStart.Add(AttemptMemory)))
	assert.False(t, m.IsStored(testRequest, testRequester, testStart.Add(time.Hour)))
}

// Guards against a stored request that is acknowledged without end because it arrives again and again.
func TestARepeatedRequestIsForgottenInTime(t *testing.T) {
	m := NewMemory(testStart)
	m.Begin(testRequest, testStart)
	m.End(testRequest, Stored, testRequester, testStart)
	for at := time.Duration(0); at < 2*AttemptMemory; at += time.Second {
		m.IsStored(testRequest, testRequester, testStart.Add(at))
	}
	assert.False(t, m.IsStored(testRequest, testRequester, testStart.Add(2*AttemptMemory)))
}

// Guards against a stored request that counts as another requester's, and against memory for refused ones.
func TestOnlyItsRequesterIsToldOfAStoredRequest(t *testing.T) {
	m := NewMemory(testStart)
	m.Begin(testRequest, testStart)
	m.End(testRequest, Stored, testRequester, testStart)
	assert.True(t, m.IsStored(testRequest, testRequester, testStart))
	assert.False(t, m.IsStored(testRequest, workload.Requester{Workspace: "clinic", Queue: "quick"}, testStart))
	assert.False(t, m.IsOpen(testRequest, testStart))
	refused := Request{Job: "00000000000000bb"}
	m.Begin(refused, testStart)
	m.End(refused, Refused, testRequester, testStart)
	assert.Len(t, m.recent, 1)
}

// Guards against a peak of attempts that takes memory without bound, and against a memory that counts as
// complete after it has forgotten attempts.
func TestTooManyAttemptsMakeTheMemoryIncomplete(t *testing.T) {
	m := NewMemory(testStart)
	now := testStart.Add(AttemptMemory)
	assert.Equal(t, AttemptMemory, m.CompleteFor(now))
	for i := range 5 * maxAttempts {
		m.AddOpen(Request{Job: workload.JobID(fmt.Sprint(i))}, now)
		assert.LessOrEqual(t, len(m.recent)+len(m.older), 2*maxAttempts)
	}
	assert.Zero(t, m.CompleteFor(now))
}
