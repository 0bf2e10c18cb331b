package proof_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// putOddEntries leaves odd records of another writer in each topic that nodes read.
func putOddEntries(s *standin.Store) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	values := []string{"", "null", "{}", "[1]", "1e300", "\xff\x00", deep, `"` + strings.Repeat("x", 200_000) + `"`}
	for topic, keys := range map[string][]string{
		"keyed.services": {"service/other", "service/", "note"},
		"keyed.paths":    {"path/x", ""},
		"keyed.fleet":    {"vm/odd", "wave/1", "wave/x", "vm/"},
	} {
		for _, key := range keys {
			for _, value := range values {
				s.PutRaw(topic, 0, key, []byte(value))
			}
		}
	}
	s.PutOddRecords(values)
	for part, step := range []string{`{"n":1,"d":[99]}`, `{"n":-5}`, `{"n":1000000000}`, `{"n":1,"d":[-1]}`} {
		s.PutRaw(joblog.JobsTopic, part, "s/00000000000000aa", []byte(`{"q":"queue-booking","v":"booking","a":1,"j":{"p":"","s":[`+step+`]}}`))
		s.PutRaw(joblog.JobsTopic, part, "l/workspace", []byte(`null`))
		s.PutRaw(joblog.JobsTopic, part, "p/00000000000000ab", []byte(deep))
	}
}

// Guards against nodes that end, or stop following a topic, because of odd records of another writer in it: jobs and
// waves that come later must be carried out, also by processes that read the records at their start.
func TestOddRecordsOfAnotherWriter(t *testing.T) {
	t.Parallel()
	c := testkit.StartJobs(t, smallPlatform(), 2)
	jobs := submitJobs(c, 4, 300*time.Millisecond)
	putOddEntries(c.Platform.Store)
	for id, service := range submitJobs(c, 4, 100*time.Millisecond) {
		jobs[id] = service
	}
	awaitCompleted(c, jobs)
	for _, n := range c.Nodes {
		require.True(t, n.Running())
		n.Kill()
	}
	for _, n := range c.Nodes {
		n.Start()
	}
	c.AwaitReady()
	later := submitJobs(c, 4, 100*time.Millisecond)
	var vms []string
	for _, vm := range c.Platform.VMs()[:3] {
		vms = append(vms, vm.ID)
	}
	require.NoError(t, c.Platform.PublishWave(2, vms, 20*time.Second, 2))
	awaitCompleted(c, later)
	c.Until("the wave is completed", func() bool { return c.Platform.IsWaveCompleted(2) })
	require.NoError(t, c.Platform.Publish("returns"))
	c.Until("the new queue is known", func() bool {
		status, _ := c.Call(c.Nodes[0], "GET", "/extra-0/", "")
		return status == 200
	})
	assert.Empty(t, c.Platform.Violations())
	assert.Contains(t, c.Nodes[0].Log()+c.Nodes[1].Log(), "entry names no usable worker and is skipped")
}
