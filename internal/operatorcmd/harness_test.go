package operatorcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// testEnv is a stand-in of the platform and a directory for documents.
type testEnv struct {
	t        *testing.T
	platform *standin.Platform
	addr     string
	dir      string
}

func newTestEnv(t *testing.T, opts standin.Options) *testEnv {
	t.Helper()
	fake := standin.New(opts)
	server, err := standin.NewServer(fake, standin.ServerOptions{})
	require.NoError(t, err)
	serve(t, server.Serve)
	return &testEnv{t: t, platform: fake, addr: server.Addr(), dir: t.TempDir()}
}

// serve runs a service until the test ends.
func serve(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// startNode starts a node's Operator service with its own follower, and returns
// its address.
func (b *testEnv) startNode(name string) string {
	b.t.Helper()
	client := platform.NewClient(b.addr, platform.ClientOptions{})
	b.t.Cleanup(client.Close)
	f := follower.New(follower.Config{Log: client, Stream: settings.DefaultStream, Logger: hclog.NewNullLogger()})
	serve(b.t, f.Serve)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b.t, err)
	server := grpc.NewServer()
	operator.Register(server, operator.ServerConfig{Node: name, Role: operator.RoleEntry, Zone: "a", State: f})
	entrypeer.RegisterState(server, f)
	go func() { _ = server.Serve(listener) }()
	b.t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// writeExample writes an example document, with old replaced by new, and returns
// its file name.
func (b *testEnv) writeExample(service, old, new string) string {
	b.t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "ramcharan", service+".toml"))
	require.NoError(b.t, err)
	file := filepath.Join(b.dir, service+".toml")
	require.Contains(b.t, string(text), old)
	require.NoError(b.t, os.WriteFile(file, []byte(strings.Replace(string(text), old, new, 1)), 0o600))
	return file
}

// run executes one command line against the stand-in.
func (b *testEnv) run(args ...string) (code int, out, errOut string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var stdout, stderr bytes.Buffer
	code = Run(ctx, append([]string{"yuccadrift", "--platform", b.addr}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// runJSON executes one command line and decodes its JSON output.
func runJSON[T any](b *testEnv, args ...string) (int, T) {
	b.t.Helper()
	code, out, errOut := b.run(append([]string{"--output", "json"}, args...)...)
	var value T
	require.NoError(b.t, json.Unmarshal([]byte(out), &value), "code %d, output %q, errors %q", code, out, errOut)
	return code, value
}

func (b *testEnv) injectFaults(faults ...standin.Fault) {
	b.t.Helper()
	_, err := b.platform.ActivateFaults(faults...)
	require.NoError(b.t, err)
}
