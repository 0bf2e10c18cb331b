package scheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// BenchmarkUpdateLoans measures what an owner pays for the caps of 640 workspaces at most each
// loanUpdateInterval, while nothing is lacking.
func BenchmarkUpdateLoans(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	config := &workload.Config{Version: 1, Workspaces: workload.NewWorkspaces()}
	for i := range 4 {
		config.Services = append(config.Services, workload.Service{Name: strconv.Itoa(i)})
	}
	for i := range 640 {
		if err := config.Workspaces.Add(workload.Workspace{Name: "workspace-" + strconv.Itoa(i), Cap: workload.Resources{CPU: 100_000}}, nil); err != nil {
			b.Fatal(err)
		}
	}
	partitionOf := func(service string) (int, bool) {
		n, err := strconv.Atoi(service)
		if err != nil {
			b.Fatal(err)
		}
		return n, true
	}
	c := New(Settings{Epoch: 1, JobRetention: time.Minute, PartitionOf: partitionOf}, now, nil, false)
	c.SetConfig(config)
	c.Step(now)
	c.HandleWriteResult()
	b.ResetTimer()
	for range b.N {
		now = now.Add(loanUpdateInterval)
		c.updateLoans(now)
		c.orders = Orders{}
	}
}
