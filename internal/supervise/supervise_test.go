package supervise_test

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// crashEnv is the environment variable that makes the test binary call crash.
const crashEnv = "YUCCADRIFT_TEST_CRASH"

func TestMain(m *testing.M) {
	if os.Getenv(crashEnv) != "" {
		crash()
	}
	os.Exit(m.Run())
}

// crash runs a duty that breaks an invariant. If a supervisor recovers the panic,
// the duty starts a second time and the process exits with 0.
func crash() {
	starts := 0
	logger := hclog.New(&hclog.LoggerOptions{Output: os.Stdout, JSONFormat: true})
	_ = supervise.Run(context.Background(), "daemon", logger, idle("bystander"),
		supervise.Duty{Name: "fold", Serve: func(context.Context) error {
			starts++
			if starts > 1 {
				os.Exit(0)
			}
			invariant.Check(false, "offset %d below %d", 3, 5)
			return nil
		}})
}

func idle(name string) supervise.Duty {
	return supervise.Duty{Name: name, Serve: func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}}
}

// Guards against a process that keeps running after a broken invariant. By
// default suture recovers the panic and restarts the duty, which would then
// decide from an impossible state. The process must exit, with the reason on
// stderr and in the log.
func TestBrokenInvariantEndsProcessWithReason(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), crashEnv+"=1")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	assert.Equal(t, 2, exit.ExitCode())
	assert.Contains(t, stderr.String(), "broken invariant: offset 3 below 5")
	assert.Contains(t, stderr.String(), "supervise_test.crash.func1", "the stack must show the failed check")
	assert.Contains(t, stdout.String(), `"reason":"broken invariant: offset 3 below 5"`)
}

// A duty fails repeatedly. Its first restart must be immediate and later ones
// delayed, and the restart of another duty that fails once must not be delayed.
func TestErrorsRestartDutyWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var starts []time.Duration
		var onceStarts []time.Duration
		flaky := supervise.Duty{Name: "flaky", Serve: func(ctx context.Context) error {
			starts = append(starts, time.Since(start))
			if len(starts) == 5 {
				return supervise.ErrStop
			}
			return errors.New("refused")
		}}
		once := supervise.Duty{Name: "once", Serve: func(ctx context.Context) error {
			onceStarts = append(onceStarts, time.Since(start))
			if len(onceStarts) == 1 {
				return nil
			}
			<-ctx.Done()
			return nil
		}}
		require.NoError(t, supervise.Run(t.Context(), "daemon", hclog.NewNullLogger(), flaky, once))
		require.Len(t, starts, 5)
		assert.Zero(t, starts[1])
		assert.Greater(t, starts[4], time.Second)
		assert.Equal(t, []time.Duration{0, 0}, onceStarts)
	})
}

func TestFatalErrorEndsRunWithCause(t *testing.T) {
	cause := errors.New("address in use")
	done := supervise.Duty{Name: "setup", Serve: func(context.Context) error { return supervise.ErrDone }}
	bind := supervise.Duty{Name: "admin", Serve: func(context.Context) error { return supervise.Fatal(cause) }}
	err := supervise.Run(t.Context(), "daemon", hclog.NewNullLogger(), idle("other"), done, bind)
	require.ErrorIs(t, err, cause)
	assert.EqualError(t, err, "admin: address in use")
}

func TestCanceledContextStopsDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() { result <- supervise.Run(ctx, "daemon", hclog.NewNullLogger(), idle("a"), idle("b")) }()
		synctest.Wait()
		cancel()
		require.NoError(t, <-result)
	})
}

func TestErrorNamesDutyThatDidNotStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		release := make(chan struct{})
		stuck := supervise.Duty{Name: "stuck", StopTimeout: time.Second, Serve: func(context.Context) error {
			<-release
			return nil
		}}
		result := make(chan error, 1)
		go func() { result <- supervise.Run(ctx, "daemon", hclog.NewNullLogger(), stuck, idle("b")) }()
		synctest.Wait()
		cancel()
		assert.EqualError(t, <-result, "did not stop in time: stuck")
		close(release)
	})
}
