package workload

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const storeRecordBytes = 262144

// Guards against records of large jobs and busy partitions that the store refuses for their size, and against
// records that a later owner can't read.
func TestLargeRecordsFitIntoTheStore(t *testing.T) {
	manySteps := &Submission{Queue: "q", Service: "s"}
	for range 18_000 {
		manySteps.Spec.Steps = append(manySteps.Spec.Steps, Step{Count: 1})
	}
	manyFailures := &Progress{DoneTasks: make([]byte, 12_500), FailedRuns: map[string][]int64{}}
	for i := range 20_000 {
		manyFailures.FailedRuns[fmt.Sprintf("0.0.%d", i)] = []int64{1<<16 + int64(i)}
	}
	manyRuns := &Handover{Epoch: 7}
	for i := range 12_000 {
		manyRuns.Runs = append(manyRuns.Runs, HandoverRun{Worker: fmt.Sprintf("worker-%d", i/10), Task: fmt.Sprintf("%016x.0.0.%d", i*7919, i%10), Run: 7<<16 + int64(i%50), Incarnation: 1_700_000_000_000 + int64(i/10), StartConfirmed: true})
	}
	for _, r := range []Record{{Job: "00000000000000aa", Submission: manySteps}, {Job: "00000000000000aa", Progress: manyFailures}, {Handover: manyRuns}} {
		key, value, err := r.Encode()
		require.NoError(t, err)
		assert.Less(t, len(value), storeRecordBytes, key)
		decoded, ok, err := DecodeRecord(key, value)
		require.NoError(t, err)
		assert.True(t, ok)
		assert.Equal(t, r.Submission, decoded.Submission)
		assert.Equal(t, r.Progress, decoded.Progress)
		assert.Equal(t, r.Handover, decoded.Handover)

		_, _, err = DecodeRecord(key, value[:len(value)/2])
		assert.Error(t, err, "cut off")
		_, _, err = DecodeRecord(key, bytes.ReplaceAll(value, value[20:24], []byte("????")))
		assert.Error(t, err, "corrupt")
	}
}

// Guards against small records that earlier versions can't read.
func TestSmallRecordsAreStoredAsPlainText(t *testing.T) {
	_, value, err := Record{Job: "00000000000000aa", Submission: &Submission{Queue: "q", Service: "s", Spec: Spec{Payload: "p", Steps: []Step{{Count: 1}}}}}.Encode()
	require.NoError(t, err)
	assert.Equal(t, byte('{'), value[0])
}
