// Command yuccadrift is the operators' command line. It checks and publishes
// service documents, shows the status of nodes, drains VMs, runs maintenance
// waves, manages jobs, reports, and records and replays traces.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/yuccadrift/yuccadrift/internal/operatorcmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := operatorcmd.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
