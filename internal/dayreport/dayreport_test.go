package dayreport_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/dayreport"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// logLine returns a line that a node logs seconds after noon.
func logLine(seconds float64, node, message, fields string) string {
	t := noon.Add(time.Duration(seconds * float64(time.Second))).Format("2006-01-02T15:04:05.000Z")
	if fields != "" {
		fields = "," + fields
	}
	return `{"@level":"info","@message":"` + message + `","@module":"yuccadrift-node.x","@timestamp":"` + t + `","node":"` + node + `"` + fields + "}\n"
}

func buildReport(t *testing.T, lines ...string) dayreport.Report {
	var log dayreport.Log
	require.NoError(t, log.Read(strings.NewReader(strings.Join(lines, "")), "all.log"))
	r, ok := dayreport.Build(&log, time.Second)
	require.True(t, ok)
	return r
}

// acceptedJob returns the line on an answer that accepts a job of the service booking.
func acceptedJob(seconds float64, job string) string {
	return logLine(seconds, "n-1", "answered", `"method":"POST","status":200,"job":"`+job+`","queue":"q","service":"booking"`)
}

func TestLastEndOfJobIsCounted(t *testing.T) {
	r := buildReport(t,
		acceptedJob(0, "a"), acceptedJob(0, "b"), acceptedJob(0, "c"), acceptedJob(0, "d"),
		logLine(1, "n-1", "ended", `"job":"a","reason":"completed","age_ms":900`),
		logLine(2, "n-2", "ended", `"job":"a","reason":"completed","age_ms":1900`),
		logLine(2, "n-2", "ended", `"job":"b","reason":"failed","age_ms":1900`),
		logLine(2, "n-2", "ended", `"job":"c","reason":"cancelled","age_ms":1900`))
	assert.Equal(t, 4, r.Jobs.Accepted)
	assert.Equal(t, []int{1, 1, 1, 1}, []int{r.Jobs.Completed, r.Jobs.Failed, r.Jobs.Cancelled, r.Jobs.Open})
	assert.InDelta(t, 1900, r.Jobs.Ended.Max, 0)
}

func TestRefusalsAreGroupedByReason(t *testing.T) {
	refused := func(seconds float64, status, reason string) string {
		return logLine(seconds, "n-1", "answered", `"method":"POST","status":`+status+`,"reason":"`+reason+`"`)
	}
	r := buildReport(t,
		refused(1, "503", "the store is away, the request was not taken: timeout 17"),
		refused(3, "503", "the store is away, the request was not taken: timeout 18"),
		refused(2, "503", "the owner of the service can't be asked"),
		refused(2, "404", "no such job"))
	require.Len(t, r.Refusals, 3)
	store := r.Refusals[0]
	assert.Equal(t, dayreport.StoreUnavailable, store.Cause)
	assert.Equal(t, 2, store.Count)
	assert.Equal(t, []time.Time{noon.Add(time.Second), noon.Add(3 * time.Second)}, []time.Time{store.First, store.Last})
	assert.Equal(t, dayreport.OwnerUnavailable, r.Refusals[1].Cause)
	assert.Equal(t, dayreport.OtherCause, r.Refusals[2].Cause)
}

// A slow start is attributed to the condition that held longest during the job's wait.
func TestSlowStartIsAttributedToLongestCondition(t *testing.T) {
	firstPlaced := func(seconds float64, ageMS string) string {
		return logLine(seconds, "n-2", "first-placed", `"job":"a","queue":"q","partition":4,"age_ms":`+ageMS)
	}
	owned := logLine(1, "n-2", "partition taken over", `"partition":4,"handed_over":true`)
	for _, c := range []struct {
		name  string
		lines []string
		cause dayreport.Cause
	}{
		{"no condition held", []string{owned, firstPlaced(20, "3000")}, dayreport.NoFreeCapacity},
		{"the owner's store was unavailable", []string{
			owned, logLine(17, "n-2", "store does not answer", `"since_ms":1000`),
			logLine(19, "n-2", "store answers again", `"away_ms":3000`), firstPlaced(20, "3000"),
		}, dayreport.StoreUnavailable},
		{"another node's store was unavailable", []string{
			owned, logLine(17, "n-1", "store does not answer", `"since_ms":1000`), firstPlaced(20, "3000"),
		}, dayreport.NoFreeCapacity},
		{"the partition had no owner", []string{
			owned, logLine(17, "n-2", "partition left", `"partition":4,"status":"ok"`),
			logLine(19, "n-2", "partition taken over", `"partition":4`), firstPlaced(20, "3000"),
		}, dayreport.OwnerUnavailable},
		{"the owner was killed", []string{
			owned, logLine(17, "n-2", "ended", `"job":"b","reason":"completed"`),
			logLine(19, "n-2", "started", `"partitions":12`), logLine(19.5, "n-2", "partition taken over", `"partition":4`), firstPlaced(20, "3000"),
		}, dayreport.OwnerUnavailable},
		{"the owner was overloaded", []string{
			owned, logLine(18, "n-2", "owner is behind", `"partition":4,"delay_ms":900`), firstPlaced(20, "3000"),
		}, dayreport.OwnerOverloaded},
		{"VMs were in transit, and the store was unavailable for a shorter time", []string{
			owned, logLine(17, "n-2", "VM ordered", `"pool":"booking","outcome":"ok","maintain":false`),
			logLine(18, "n-2", "store does not answer", `"since_ms":0`), logLine(18.5, "n-2", "store answers again", ""), firstPlaced(20, "3000"),
		}, dayreport.VMsInTransit},
		{"VMs were ordered for another pool, or refused", []string{
			owned, logLine(17, "n-2", "VM ordered", `"pool":"returns","outcome":"ok","maintain":false`),
			logLine(17, "n-2", "VM ordered", `"pool":"booking","outcome":"busy","maintain":false`), firstPlaced(20, "3000"),
		}, dayreport.NoFreeCapacity},
		{"VMs were in transit for less than the minimum share of the wait", []string{
			owned, logLine(14.5, "n-2", "VM ordered", `"pool":"booking","outcome":"ok","maintain":false`), firstPlaced(20, "3000"),
		}, dayreport.NoFreeCapacity},
		{"the owner was overloaded for two seconds, with one line each, and VMs were in transit for a shorter time", []string{
			owned, logLine(18.3, "n-2", "owner is behind", `"partition":4,"delay_ms":900`),
			logLine(19.31, "n-2", "owner is behind", `"partition":4,"delay_ms":900`),
			logLine(18.5, "n-2", "VM ordered", `"pool":"booking","outcome":"ok","maintain":false`), firstPlaced(20, "3000"),
		}, dayreport.OwnerOverloaded},
		{"its workspace waited for its cap", []string{
			owned, logLine(18.2, "n-2", "waits-for-cap", `"partition":4,"workspace":"ward","age_ms":1000`),
			logLine(19.2, "n-2", "waits-for-cap", `"partition":4,"workspace":"ward","age_ms":2000`),
			logLine(20, "n-2", "first-placed", `"job":"a","queue":"q","partition":4,"age_ms":3000,"workspace":"ward"`),
		}, dayreport.WorkspaceAtCap},
		{"a rack was dark", []string{
			owned, logLine(17, "n-2", "rack-suspect", `"partition":4,"rack":"r-1"`), logLine(17.5, "n-2", "rack-suspect", `"partition":4,"rack":"r-2"`),
			logLine(18.5, "n-2", "rack-trusted", `"partition":4,"rack":"r-1","age_ms":1500`), firstPlaced(20, "3000"),
		}, dayreport.RackDark},
		{"a rack of another partition was dark", []string{
			owned, logLine(17, "n-2", "rack-suspect", `"partition":3,"rack":"r-1"`), firstPlaced(20, "3000"),
		}, dayreport.NoFreeCapacity},
		{"another workspace waited for its cap", []string{
			owned, logLine(19.2, "n-2", "waits-for-cap", `"partition":4,"workspace":"clinic","age_ms":2000`),
			logLine(20, "n-2", "first-placed", `"job":"a","queue":"q","partition":4,"age_ms":3000,"workspace":"ward"`),
		}, dayreport.NoFreeCapacity},
		{"a worker was silent after a takeover", []string{
			logLine(17.1, "n-2", "partition taken over", `"partition":4`),
			logLine(19.9, "n-2", "takeover-complete", `"partition":4,"age_ms":2900`), firstPlaced(20, "3000"),
		}, dayreport.RunsUnknown},
		{"a worker was silent after a takeover, and the job was accepted later", []string{
			logLine(17.1, "n-2", "partition taken over", `"partition":4`),
			logLine(19.9, "n-2", "takeover-complete", `"partition":4,"age_ms":2900`),
			logLine(20.4, "n-2", "first-placed", `"job":"a","queue":"q","partition":4,"age_ms":3000`),
		}, dayreport.NoFreeCapacity},
	} {
		r := buildReport(t, append([]string{acceptedJob(0.5, "a")}, c.lines...)...)
		require.Len(t, r.SlowStarts, 1, c.name)
		assert.Equal(t, dayreport.SlowStart{Cause: c.cause, Service: "booking", Count: 1, MaxMS: 3000}, r.SlowStarts[0], c.name)
	}
	assert.Empty(t, buildReport(t, owned, firstPlaced(20, "999")).SlowStarts, "a start before slowAfter is not slow")
}

// A previous owner may log "partition left" after the next owner's "partition taken over". Guards
// against a gap that is counted from that late line.
func TestGapIgnoresLateLeaveOfPreviousOwner(t *testing.T) {
	r := buildReport(t,
		logLine(1, "n-1", "partition taken over", `"partition":4`),
		logLine(9, "n-1", "ended", `"job":"a","reason":"completed"`),
		logLine(9.2, "n-2", "partition taken over", `"partition":4,"handed_over":true`),
		logLine(9.3, "n-1", "partition left", `"partition":4,"status":"ok"`),
		logLine(30, "n-2", "ended", `"job":"b","reason":"completed"`),
		logLine(30.4, "n-1", "partition taken over", `"partition":4`))
	require.Len(t, r.Takeovers, 3)
	assert.Equal(t, 200*time.Millisecond, r.Takeovers[1].Gap)
	assert.Equal(t, 400*time.Millisecond, r.Takeovers[2].Gap)
}

func TestEventsAreGroupedBySecond(t *testing.T) {
	r := buildReport(t,
		logLine(0.1, "n-1", "started", ""), logLine(0.2, "n-2", "started", ""),
		logLine(0.3, "n-1", "configuration in force", `"version":7`), logLine(0.4, "n-2", "configuration in force", `"version":7`),
		logLine(1.1, "n-1", "wave", `"wave":2,"state":"running","done":1`), logLine(1.2, "n-1", "wave", `"wave":2,"state":"running","done":2`),
		acceptedJob(1.5, "a"), logLine(1.6, "n-1", "first-placed", `"job":"a","queue":"q","age_ms":100`),
		logLine(3.0, "n-1", "worker-synced", ""))
	require.Len(t, r.Seconds, 2, "a second without events is left out")
	assert.Equal(t, []string{"nodes started: 2", "configuration 7 in force"}, r.Seconds[0].Events)
	assert.Equal(t, []string{"wave 2 running, 2 VMs done"}, r.Seconds[1].Events)
	assert.Equal(t, 1, r.Seconds[1].Accepted)
	assert.InDelta(t, 100, r.Seconds[1].WaitMS, 0)
}

func TestUnreadableLinesAreCountedAndReported(t *testing.T) {
	validLine := logLine(1, "n-1", "ended", `"job":"a","reason":"completed"`)
	text := "\n" + "panic: not of a node\n" + "  1.25 entry-1 " + validLine + validLine[:40] + "\n" +
		`{"level":"info"}` + "\n" + `{"@timestamp":"yesterday","@message":"ended"}` + "\n" +
		strings.Repeat("x", 3<<20) + "\n" + validLine + validLine[:len(validLine)-5]
	var log dayreport.Log
	require.NoError(t, log.Read(strings.NewReader(text), "n.log"))
	assert.Len(t, log.Lines, 2)
	assert.Equal(t, 3, log.Foreign)
	assert.Equal(t, 3, log.Truncated)
	assert.Equal(t, []dayreport.Problem{
		{File: "n.log", Line: 2, Kind: "foreign"}, {File: "n.log", Line: 4, Kind: "cut"}, {File: "n.log", Line: 5, Kind: "foreign"},
		{File: "n.log", Line: 6, Kind: "foreign"}, {File: "n.log", Line: 7, Kind: "cut"},
	}, log.Problems, "five unreadable lines of a file are listed")

	_, ok := dayreport.Build(&dayreport.Log{Foreign: 3}, time.Second)
	assert.False(t, ok)
}

func TestPageReferencesNothingExternal(t *testing.T) {
	r := buildReport(t, acceptedJob(0, "a"), logLine(2, "n-1", "partition taken over", `"partition":4`),
		logLine(2, "n-1", "answered", `"method":"GET","status":404,"reason":"<script>no such job"`))
	var page strings.Builder
	require.NoError(t, dayreport.WritePage(&page, r))
	assert.Equal(t, 2, strings.Count(page.String(), "<svg"))
	assert.Contains(t, page.String(), "12:00:00 to 12:00:02")
	for _, outside := range []string{"<script", "src=", "<link", "@import"} {
		assert.NotContains(t, page.String(), outside)
	}
}

// Guards against a plot that uses up all memory because one line has a time far from the others.
func TestLogsOverADayAreNotPlotted(t *testing.T) {
	r := buildReport(t, acceptedJob(0, "a"), acceptedJob(1e9, "b"))
	var page strings.Builder
	require.NoError(t, dayreport.WritePage(&page, r))
	assert.NotContains(t, page.String(), "<svg")
	assert.Contains(t, page.String(), "more than a day apart")
}

// FuzzRead reads any text as a log and builds the report on it.
func FuzzRead(f *testing.F) {
	f.Add(acceptedJob(0, "a") + logLine(1, "n-1", "first-placed", `"job":"a","age_ms":5000,"partition":2`))
	f.Add(logLine(1, "n-1", "VM ordered", `"pool":3,"outcome":"ok"`) + "{")
	f.Add(logLine(-1e7, "", "partition taken over", `"partition":-1`) + logLine(1e7, "", "started", ""))
	f.Fuzz(func(t *testing.T, text string) {
		var log dayreport.Log
		if err := log.Read(strings.NewReader(text), "fuzz"); err != nil {
			t.Fatal(err)
		}
		if r, ok := dayreport.Build(&log, time.Second); ok && len(r.Seconds) > r.Lines {
			t.Error("more seconds than lines")
		}
	})
}

// Guards against a team that complains and of which the report doesn't say who waited, who was refused, and
// beside whom.
func TestWorkspacesAreSummarized(t *testing.T) {
	answered := func(seconds float64, workspace, status, reason string) string {
		return logLine(seconds, "n-1", "answered", `"method":"POST","status":`+status+`,"job":"j","queue":"q","service":"booking","workspace":"`+workspace+`","reason":"`+reason+`"`)
	}
	started := func(seconds float64, workspace, ageMS string) string {
		return logLine(seconds, "n-1", "first-placed", `"job":"j","queue":"q","partition":3,"workspace":"`+workspace+`","age_ms":`+ageMS)
	}
	r := buildReport(t,
		answered(0, "ward", "200", ""), answered(0, "clinic", "200", ""),
		answered(0, "flood", "503", "the job can't be done in time: nineteen of twenty would wait 9000 ms"),
		logLine(2, "n-1", "workspace-share", `"partition":3,"workspace":"flood","reason":"service booking is full, asks for more than the others true"`),
		logLine(2, "n-1", "workspace-share", `"partition":3,"workspace":"clinic","reason":"service booking is full, asks for more than the others false"`),
		started(0.1, "clinic", "100"), started(2.5, "ward", "2500"))
	require.Len(t, r.Workspaces, 3)
	assert.Equal(t, dayreport.WorkspaceDay{Workspace: "flood", Refused: 1, Hopeless: 1}, r.Workspaces[0])
	ward := r.Workspaces[1]
	assert.Equal(t, []any{"ward", 1, 1, dayreport.NoFreeCapacity, []string{"flood"}}, []any{ward.Workspace, ward.Accepted, ward.Slow, ward.Cause, ward.Beside})
	assert.Zero(t, r.Workspaces[2].Slow)
	assert.Equal(t, dayreport.NoProspect, r.Refusals[0].Cause)
	assert.Empty(t, buildReport(t, acceptedJob(0, "a")).Workspaces)
}

// Guards against callers of an outage that count twice, or as refused although they were taken in the end.
func TestOutageCountsTheCallersThatMetIt(t *testing.T) {
	answered := func(seconds float64, node, job string, status int, fields string) string {
		return logLine(seconds, node, "answered", fmt.Sprintf(`"method":"POST","job":%q,"status":%d`, job, status)+fields)
	}
	away := `,"reason":"the store is away, the request was not taken: x","retry_after_s":2,"held_ms":900`
	r := buildReport(t,
		logLine(10, "n-1", "store does not answer", `"since_ms":1500`), logLine(10.5, "n-2", "store does not answer", `"since_ms":1500`),
		answered(11, "n-1", "a", 503, away), answered(12, "n-2", "a", 503, away),
		answered(11, "n-1", "b", 503, away), answered(13.1, "n-2", "b", 200, ""),
		answered(13.2, "n-2", "c", 200, `,"held_ms":300`), answered(13.2, "n-2", "d", 200, ""),
		logLine(13, "n-1", "store answers again", ""), logLine(13, "n-2", "store answers again", ""),
		logLine(30, "n-2", "store does not answer", `"since_ms":1000`), logLine(31, "n-2", "started", ""))
	require.Len(t, r.Outages, 2)
	assert.Equal(t, dayreport.Outage{From: noon.Add(8500 * time.Millisecond), To: noon.Add(13 * time.Second), Nodes: 2, Callers: 3, Accepted: 2, Held: 3, LongestReturn: 2 * time.Second}, r.Outages[0])
	assert.Equal(t, 1, r.Outages[1].Nodes)
}
