// Command yuccadrift-steward makes and executes the fleet decisions of one entry
// VM.
package main

import (
	"context"
	"os"

	"github.com/yuccadrift/yuccadrift/internal/command"
	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/steward"
)

const binary = "yuccadrift-steward"

func main() {
	command.Main(command.Daemon(binary, "make and execute the fleet decisions of this VM", settings.LoadSteward, run))
}

func run(ctx context.Context, s settings.Steward) error {
	return steward.Run(ctx, binary, s, logging.New(binary, s.Node, s.Log, os.Stderr))
}
