package operatorcmd

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/measure"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// propose appends records, as the stewards do, each on its subject's present
// revision, and requires that they take effect.
func (b *testEnv) propose(sub record.Subject, bodies ...record.Body) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	o := options{platform: b.addr, stream: settings.DefaultStream, timeout: time.Minute, author: "test"}
	s, err := openSessionWith(ctx, o)
	require.NoError(b.t, err)
	defer s.Close()
	for _, body := range bodies {
		_, err := s.propose(ctx, s.newRecord(sub, body))
		require.NoError(b.t, err)
	}
}

// createPool publishes the booking document and adds n serving VMs to its pool,
// four per rack.
func (b *testEnv) createPool(n int) {
	b.t.Helper()
	code, out, errOut := b.run("publish", b.writeExample("booking", "size = 12", "size = 12"))
	require.Equal(b.t, ExitOK, code, out+errOut)
	for i := range n {
		vm := record.Subject{Kind: record.SubjectVM, Name: fmt.Sprintf("vm-%02d", i)}
		zone := string(rune('a' + i/4))
		register := record.VMRegister{Zone: zone, Rack: "rack-" + zone, Address: "127.0.0.1:1", Cores: 32, MemoryMB: 65536}
		b.propose(vm, register, record.VMJoin{Pool: "booking"}, record.VMUp{})
	}
}

// A drain within the pool's budget is effective at once. A second drain, in
// another rack, and a repeated drain are refused, and the reason names the limit.
func TestDrainWithinBudget(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.createPool(12)
	code, first := runJSON[changeResult](b, "drain", "vm-00")
	require.Equal(t, ExitOK, code)
	require.Equal(t, ledger.Effective, first.Status)
	require.Positive(t, first.Offset)

	code, other := runJSON[changeResult](b, "drain", "vm-11")
	require.Equal(t, ExitRejected, code)
	require.Equal(t, ledger.Refused, other.Status)
	require.Contains(t, other.Reason, "one_domain")

	code, again := runJSON[changeResult](b, "drain", "vm-00")
	require.Equal(t, ExitRejected, code)
	require.Contains(t, again.Reason, "draining")
}

func TestWaveCommands(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.createPool(2)
	steps := []struct {
		code int
		word string
		args []string
	}{
		{ExitRejected, "no pool", []string{"wave", "start", "--name", "w0", "--pools", "nowhere"}},
		{ExitRejected, "no pool", []string{"wave", "start", "--dry-run", "--pools", "nowhere"}},
		{ExitOK, "IN TIME", []string{"wave", "start", "--dry-run", "--name", "w1", "--pools", "booking"}},
		{ExitOK, "effective", []string{"wave", "start", "--name", "w1", "--pools", "booking"}},
		{ExitRejected, "in wave w1 already", []string{"wave", "start", "--name", "w2", "--pools", "booking"}},
		{ExitOK, "effective", []string{"wave", "pause", "--reason", "rack lost", "w1"}},
		{ExitOK, "rack lost", []string{"wave", "show", "w1"}},
		{ExitOK, "effective", []string{"wave", "resume", "w1"}},
		{ExitUnknown, "not over", []string{"--timeout", "300ms", "wave", "show", "--wait", "w1"}},
		{ExitOK, "effective", []string{"wave", "abort", "w1"}},
		{ExitOK, "aborted", []string{"wave", "show", "--wait", "w1"}},
		{ExitRejected, "is aborted", []string{"wave", "resume", "w1"}},
		{ExitUsage, "argument", []string{"wave", "pause"}},
		{ExitUsage, "no command", []string{"wave", "cancel"}},
	}
	for _, s := range steps {
		code, out, errOut := b.run(s.args...)
		require.Equal(t, s.code, code, "%v: %s%s", s.args, out, errOut)
		require.Contains(t, out+errOut, s.word, s.args)
	}
}

func TestJobCommands(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.createPool(1)
	submit := []string{"jobs", "submit", "--service", "booking", "--team", "ramcharan-booking", "--cores", "0.25"}
	code, refused := runJSON[changeResult](b, "jobs", "submit", "--service", "booking", "--team", "strangers", "j0")
	require.Equal(t, ExitRejected, code)
	require.Contains(t, refused.Reason, "no quota")

	code, _, errOut := b.run(append(submit, "j1")...)
	require.Equal(t, ExitOK, code, errOut)
	code, list := runJSON[[]ledger.Job](b, "jobs", "list", "--status", "queued")
	require.Equal(t, ExitOK, code)
	require.Len(t, list, 1)
	require.Equal(t, 250, list[0].Spec.MilliCores)
	code, why := runJSON[explanation](b, "jobs", "explain", "j1")
	require.Equal(t, ExitOK, code)
	require.Contains(t, why.Facts, "is about to be placed")

	code, _, errOut = b.run("jobs", "cancel", "--reason", "typed wrong", "j1")
	require.Equal(t, ExitOK, code, errOut)
	code, out, _ := b.run("jobs", "explain", "j1")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "typed wrong")
	code, _, _ = b.run("jobs", "explain", "j9")
	require.Equal(t, ExitRejected, code)
}

// History lists each record of a service with its outcome, author and base. A
// record of a kind that this build does not know is listed, too.
func TestHistory(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.createPool(1)
	_, _, _ = b.run("--author", "ada", "publish", "--based-on", "7", b.writeExample("booking", "size = 12", "size = 13"))
	_, err := b.platform.Append(context.Background(), settings.DefaultStream, [][]byte{[]byte(`{"kind":"later"}`)})
	require.NoError(t, err)

	code, lines := runJSON[[]historyLine](b, "history", "service/booking")
	require.Equal(t, ExitOK, code)
	require.Len(t, lines, 2)
	require.Equal(t, ledger.Effective, lines[0].Status)
	require.Equal(t, ledger.Stale, lines[1].Status)
	require.Equal(t, "ada", lines[1].Author)
	require.Equal(t, record.Revision(7), lines[1].BasedOn)

	code, lines = runJSON[[]historyLine](b, "history", "--last", "1")
	require.Equal(t, ExitOK, code)
	require.Equal(t, ledger.Malformed, lines[0].Status)

	code, out, _ := b.run("--output", "csv", "history", "--kind", "vm.join", "vm-00")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "history,3,")
}

func TestHistoryShowsDurations(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.createPool(12)
	b.run("drain", "--estimate", "90s", "vm-00")
	_, out, _ := b.run("history", "--last", "1")
	require.Contains(t, out, "estimate:1m30s")
}

// A drained VM spends its pool's budget. The report names the cause and shows the
// same numbers in every format.
func TestReport(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.createPool(12)
	code, _, errOut := b.run("drain", "vm-00")
	require.Equal(t, ExitOK, code, errOut)
	code, r := runJSON[measure.Report](b, "report")
	require.Equal(t, ExitOK, code)
	require.Equal(t, 11, r.Services[0].Serving)
	require.Equal(t, 12, r.Fleet.VMs)

	code, out, _ := b.run("report")
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `booking +11 of 12 .* VM-s +40\.3 VM-h `, out)
	require.Regexp(t, `booking +operator .* 1\n`, out)
	code, out, _ = b.run("--output", "csv", "report")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "budget burn,booking,11 of 12,")
	require.Equal(t, &measure.Baseline{Own: map[string]int{"booking": 0}}, r.Baseline, "one pool with a large budget needs no spare VMs")
	require.Contains(t, out, "buffer against its baseline,(all),0,0,0")
}

// Retention has removed the log's beginning and there is no snapshot, so that
// outcomes cannot be known. The commands must fail instead of showing wrong
// outcomes.
func TestTrimmedLogWithoutSnapshot(t *testing.T) {
	b := newTestEnv(t, standin.Options{RetentionEntries: 4})
	for range 6 {
		_, err := b.platform.Append(context.Background(), settings.DefaultStream, [][]byte{[]byte("{}")})
		require.NoError(t, err)
	}
	code, _, errOut := b.run("--timeout", "300ms", "history")
	require.Equal(t, ExitUnreachable, code)
	require.Contains(t, errOut, "gap")
	code, _, errOut = b.run("record", b.dir+"/trace.jsonl.gz")
	require.Equal(t, ExitRejected, code)
	require.Contains(t, errOut, "retained from offset 3")
}

// While the platform is unreachable, commands that only read show the newest
// state of the nodes and a notice; without nodes they fail. A change fails with
// exit code 4.
func TestReadCommandsDuringPlatformOutage(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.createPool(12)
	node := b.startNode("n1")
	b.run("--nodes", node, "publish", "--wait-in-force", b.writeExample("booking", "size = 12", "size = 12"))
	b.injectFaults(standin.Fault{Kind: standin.LogRefuse})
	code, r := runJSON[measure.Report](b, "--timeout", "2s", "--nodes", node, "report")
	require.Equal(t, ExitOK, code)
	require.Equal(t, 12, r.Services[0].Serving)
	code, _, errOut := b.run("--timeout", "2s", "--nodes", node, "wave", "show")
	require.Equal(t, ExitOK, code)
	require.Contains(t, errOut, "as a node has it")
	code, _, errOut = b.run("--timeout", "2s", "--nodes", node, "drain", "vm-00")
	require.Equal(t, ExitUnreachable, code)
	require.Contains(t, errOut, "cannot reach the platform")
	code, _, _ = b.run("--timeout", "2s", "report")
	require.Equal(t, ExitUnreachable, code)
}
