package dayreport

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const refusedJob = "00000000000000aa"

// answersLog returns a log with answers to submissions of refusedJob, one a second. Status 0 is the job's
// first start.
func answersLog(t *testing.T, statuses ...int) *Log {
	var text strings.Builder
	for i, status := range statuses {
		at := fmt.Sprintf("2026-01-02T12:00:%02d.000Z", i)
		if status == 0 {
			fmt.Fprintf(&text, `{"@message":"first-placed","@timestamp":%q,"node":"n-9","job":%q}`+"\n", at, refusedJob)
			continue
		}
		fmt.Fprintf(&text, `{"@message":"answered","@timestamp":%q,"node":"n-%d","method":"POST","path":"/quick/%s","status":%d}`+"\n", at, i, refusedJob, status)
	}
	log := &Log{}
	require.NoError(t, log.Read(strings.NewReader(text.String()), "log"))
	return log
}

// Guards against refusals that callers can't rely on and that no operator hears of, and against a report
// of refusals that were true.
func TestRefusalsAreComparedWithAllElseThatIsKnownOfTheirJobs(t *testing.T) {
	for _, c := range []struct {
		statuses []int
		kind     Contradiction
		refusals int
	}{
		{[]int{200, 503, 429}, AcceptedThenRefused, 2},
		{[]int{200, 0, 503}, AcceptedThenRefused, 1},
		{[]int{504, 503, 200, 503}, AcceptedThenRefused, 1},
		{[]int{504, 503, 0}, RefusedAndRan, 1},
		{[]int{504, 503, 0, 200}, RefusedAndRan, 1},
		{[]int{503, 0}, RefusedAndRan, 1},
		{[]int{504, 503}, UnknownThenRefused, 1},
		{[]int{502, 429, 200, 0}, UnknownThenRefused, 1},
		{[]int{502, 429, 504, 0}, UnknownThenRefused, 1},
		{[]int{503, 503}, "", 0},
		{[]int{503, 200, 0}, "", 0},
		{[]int{503, 504, 0}, "", 0},
		{[]int{200, 504, 0}, "", 0},
	} {
		r, ok := BuildRefusals(answersLog(t, c.statuses...))
		require.True(t, ok)
		assert.Equal(t, 1, r.Requests)
		if c.kind == "" {
			assert.Empty(t, r.Contradicted, "%v", c.statuses)
			continue
		}
		require.Len(t, r.Contradicted, 1, "%v", c.statuses)
		got := r.Contradicted[0]
		assert.Equal(t, c.kind, got.Kind, "%v", c.statuses)
		assert.Equal(t, c.refusals, got.Refusals, "%v", c.statuses)
		assert.Equal(t, refusedJob, got.Job)
		assert.Equal(t, 1, r.Count(c.kind))
	}
}

// Guards against a report that counts the answer to a read, or to a cancellation, as one to a submission.
func TestOnlySubmissionsAndCancellationsAreCompared(t *testing.T) {
	log := answersLog(t, 200, 503, 503)
	log.Lines[1].Method = "GET"
	log.Lines[2].Method = "DELETE"
	r, ok := BuildRefusals(log)
	require.True(t, ok)
	assert.Equal(t, 2, r.Requests)
	assert.Empty(t, r.Contradicted)
}
