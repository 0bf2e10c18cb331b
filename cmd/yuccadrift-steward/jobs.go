package main

import (
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/steward"
)

// newJobs wires the driver of the pools' jobs.
func newJobs(s settings.Steward, follow *follower.Follower, tasks platform.Tasks, st *steward.Steward, registry prometheus.Registerer, logger hclog.Logger) *jobrunner.Runner {
	return jobrunner.New(jobrunner.Config{
		Core: jobrunner.CoreConfig{
			Node:  s.Node.ID,
			NewID: func() string { return ulid.Make().String() },
			Rank:  st.Rank,
		},
		Follower: follow,
		Tasks:    tasks,
		Logger:   logger.Named("jobs"),
		Metrics:  jobrunner.NewMetrics(registry),
	})
}
