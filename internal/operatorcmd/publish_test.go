package operatorcmd

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Two operators edit the same revision of a document. The first publish is
// accepted. The second must fail and name the revision that took effect first,
// instead of undoing it. Repeating the first publish changes nothing.
func TestPublishConflict(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	code, first := runJSON[[]publishResult](b, "publish", b.writeExample("booking", "size = 12", "size = 12"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, publishAccepted, first[0].Status)
	base := fmt.Sprint(first[0].Revision)

	file := b.writeExample("booking", "size = 12", "size = 13")
	code, second := runJSON[[]publishResult](b, "publish", "--based-on", base, file)
	require.Equal(t, ExitOK, code)
	require.Greater(t, second[0].Revision, first[0].Revision)

	code, void := runJSON[[]publishResult](b, "publish", "--based-on", base, b.writeExample("booking", "size = 12", "size = 14"))
	require.Equal(t, ExitConflict, code)
	require.Equal(t, publishVoid, void[0].Status)
	require.Equal(t, second[0].Revision, void[0].Revision, "the result names the revision that took effect first")

	code, repeat := runJSON[[]publishResult](b, "publish", b.writeExample("booking", "size = 12", "size = 13"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, publishUnchanged, repeat[0].Status)
	require.Equal(t, second[0].Revision, repeat[0].Revision)
}

// The platform stores the append and its reply is lost. The command appends the
// same record again, whose second copy is void, and must report "accepted" with
// the offset of the first copy.
func TestPublishLostReply(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	b.injectFaults(standin.Fault{Kind: standin.LogLoseReply, Count: 1})
	code, got := runJSON[[]publishResult](b, "publish", b.writeExample("booking", "size = 12", "size = 12"))
	require.Equal(t, ExitOK, code)
	require.Equal(t, publishAccepted, got[0].Status)
	require.Equal(t, record.Revision(1), got[0].Revision)
}

// Appends hang for longer than the command's timeout, then the log works again.
// The command reports "unknown" with the command to repeat. Repeating it, even
// twice, publishes the record once.
func TestPublishUnknownThenRepeated(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	file := b.writeExample("booking", "size = 12", "size = 12")
	b.injectFaults(standin.Fault{Kind: standin.LogLate, DelayMS: 3_600_000})
	code, got := runJSON[[]publishResult](b, "--timeout", "200ms", "publish", file)
	require.Equal(t, ExitUnknown, code)
	require.Equal(t, publishUnknown, got[0].Status)
	require.Contains(t, got[0].Reason, "--record-id "+got[0].RecordID)

	b.platform.ClearAllFaults()
	again := []string{"publish", "--based-on", "0", "--record-id", got[0].RecordID, file}
	for range 2 {
		code, got = runJSON[[]publishResult](b, again...)
		require.Equal(t, ExitOK, code)
		require.Equal(t, publishAccepted, got[0].Status)
		require.Equal(t, record.Revision(1), got[0].Revision)
	}
}

// One of two documents has mistakes. All of them are reported with their lines,
// and neither document is published.
func TestPublishInvalid(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	bad := b.writeExample("returns", "[pool]", "colour = 1\n[pool]\nsize = 0\nshape = 2")
	code, got := runJSON[[]checkResult](b, "publish", b.writeExample("booking", "size = 12", "size = 12"), bad)
	require.Equal(t, ExitRejected, code)
	require.Empty(t, got[0].Problems)
	require.GreaterOrEqual(t, len(got[1].Problems), 2)
	require.Regexp(t, `returns\.toml:\d+: `, got[1].Problems[0])

	code, st := runJSON[statusResult](b, "status")
	require.Equal(t, ExitOK, code)
	require.Empty(t, st.Services)
}

// --wait-in-force reports the time of each node and the node that could not be
// reached. The document stays accepted.
func TestPublishWaitInForce(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	nodes := b.startNode("n1") + "," + b.startNode("n2")
	code, got := runJSON[[]publishResult](b, "--nodes", nodes, "publish", "--wait-in-force", b.writeExample("booking", "size = 12", "size = 12"))
	require.Equal(t, ExitOK, code)
	require.Len(t, got[0].InForce, 2)
	for _, n := range got[0].InForce {
		require.Positive(t, n.After)
	}
	dead := closedAddress(t)
	code, got = runJSON[[]publishResult](b, "--timeout", "500ms", "--nodes", nodes+","+dead, "publish", "--wait-in-force", b.writeExample("booking", "size = 12", "size = 13"))
	require.Equal(t, ExitUnreachable, code)
	require.Equal(t, publishAccepted, got[0].Status)
	require.NotEmpty(t, got[0].InForce[2].Problem)
	require.Empty(t, got[0].InForce[0].Problem)

	code, st := runJSON[statusResult](b, "--nodes", nodes+","+dead, "status")
	require.Equal(t, ExitUnreachable, code)
	require.Nil(t, st.Nodes[2].Status)
	require.Equal(t, got[0].Revision, st.Nodes[0].Status.Revision("booking"))
	require.Empty(t, st.Services[0].Behind)
	require.NotZero(t, st.Nodes[0].Status.Digest)
	require.Equal(t, st.Nodes[0].Status.Digest, st.Nodes[1].Status.Digest, "nodes at the same offset have the same digest")
}

func TestExitCodes(t *testing.T) {
	b := newTestEnv(t, standin.Options{})
	good := b.writeExample("booking", "size = 12", "size = 12")
	for name, c := range map[string]struct {
		code int
		word string
		args []string
	}{
		"no such command":   {ExitUsage, "frobnicate", []string{"frobnicate"}},
		"no such flag":      {ExitUsage, "nope", []string{"publish", "--nope"}},
		"no file":           {ExitUsage, "which document", []string{"publish"}},
		"unreadable file":   {ExitUsage, "no such file", []string{"check", "absent.toml"}},
		"bad output":        {ExitUsage, "xml", []string{"--output", "xml", "check", good}},
		"host name":         {ExitUsage, "host name", []string{"--platform", "log.example:1", "status"}},
		"id without base":   {ExitUsage, "--based-on", []string{"publish", "--record-id", "x", good}},
		"platform is down":  {ExitUnreachable, "cannot reach the platform", []string{"--platform", closedAddress(t), "status"}},
		"good document":     {ExitOK, "", []string{"check", good}},
		"help of a command": {ExitOK, "", []string{"publish", "--help"}},
		"invalid settings":  {ExitUsage, "unknown key", []string{"--config", good, "status"}},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, errOut := b.run(c.args...)
			require.Equal(t, c.code, code, errOut)
			require.Contains(t, errOut, c.word)
		})
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}
