package forecast_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
)

// startRun returns a run of an example deployment with spare VMs and without
// expected failures.
func startRun(t testing.TB, name string, spare int) *forecast.Run {
	t.Helper()
	r, err := readDeployment(t, name).Start(spare, policyNoFailures())
	require.NoError(t, err)
	return r
}

func readDeployment(t testing.TB, name string) deployment.Deployment {
	t.Helper()
	d, err := deployment.Read(filepath.Join("..", "..", "examples"), name)
	require.NoError(t, err)
	return d
}

// publish, resize and startWave are actions of an operator.
func publish(t testing.TB, r *forecast.Run, service, text string) {
	t.Helper()
	require.NoError(t, deployment.Publish(r, service, text))
}

func resize(t testing.TB, r *forecast.Run, service string, size int) {
	t.Helper()
	require.NoError(t, deployment.Resize(r, service, size))
}

func startWave(t testing.TB, r *forecast.Run, deadline time.Duration, pools ...string) {
	t.Helper()
	require.NoError(t, deployment.StartWave(r, deadline, pools...))
}
