// Command yuccadrift-standin is a fake of the platform for development and tests:
// log service, VMs, tasks, lagging list and backend servers. Its control page
// injects faults.
package main

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/command"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

const binary = "yuccadrift-standin"

func main() {
	command.Main(command.Daemon(binary, "stand in for the platform in development and tests", loadSettings, run))
}

func run(ctx context.Context, s settings) error {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       binary,
		Level:      hclog.LevelFromString(s.LogLevel),
		JSONFormat: s.LogFormat == "json",
	})
	fake := standin.New(s.options())
	server, err := standin.NewServer(fake, standin.ServerOptions{
		Listen: s.Listen.String(),
		Work:   s.DefaultWork.Duration,
		Logger: logger,
	})
	if err != nil {
		return err
	}
	logger.Info("serving", "control", "http://"+server.Addr()+"/control/", "backends", server.BackendAddresses())
	return supervise.Run(ctx, binary, logger, supervise.Duty{Name: "platform", Serve: server.Serve})
}
