// Command yuccadrift is the operators' command line: check and publish service
// documents, watch the nodes, drain VMs, run waves and jobs, report and replay.
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
