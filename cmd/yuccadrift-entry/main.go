// Command yuccadrift-entry forwards callers' requests to backend servers.
package main

import (
	"github.com/yuccadrift/yuccadrift/internal/command"
	"github.com/yuccadrift/yuccadrift/internal/settings"
)

const binary = "yuccadrift-entry"

func main() {
	command.Main(command.Daemon(binary, "forward callers' requests to backend servers", settings.LoadEntry, run))
}
