// Command yuccadrift-platform-standin is a stand-in of the users' platform for development. It
// serves the store, the workers and the VM service on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/command"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// portsPerNode is the number of consecutive ports of a node.
const portsPerNode = 4

func main() {
	command.Main(&cli.Command{
		Name:  "yuccadrift-platform-standin",
		Usage: "serve a stand-in of the users' platform on this machine; for development only",
		Description: `Writes a settings file for each node into DIR and serves until it is interrupted.
It then prints the violations of the scheduler's guarantees that workers and VMs have
observed, and exits with status 1 if there are any or a wave was not completed.

Example:
   yuccadrift-platform-standin --dir tmp/jobs --nodes 3 --wave-after 5s`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "write settings files into `DIR`", Required: true},
			&cli.IntFlag{Name: "nodes", Usage: "write settings for `N` nodes", Value: 3},
			&cli.IntFlag{Name: "port", Usage: "first `PORT` of the nodes", Value: 27300},
			&cli.DurationFlag{Name: "wave-after", Usage: "request maintenance of all VMs after `DURATION`; 0 for none"},
		},
		Action: run,
	})
}

func run(ctx context.Context, cmd *cli.Command) error {
	p, err := standin.Start(standin.Options{
		Services:   []string{"booking", "returns", "spare"},
		Standby:    "spare",
		PerService: 4,
		Capacity:   workload.Resources{CPU: 32000, MemoryMB: 65536},
		Partitions: 12,
	})
	if err != nil {
		return err
	}
	defer p.Stop()
	if err := writeSettings(p, cmd); err != nil {
		return err
	}
	fmt.Println("ready")
	if after := cmd.Duration("wave-after"); after > 0 {
		time.AfterFunc(after, func() { publishWave(p) })
	}
	<-ctx.Done()
	return reportViolations(p, cmd.Duration("wave-after") > 0)
}

func writeSettings(p *standin.Platform, cmd *cli.Command) error {
	for i := range cmd.Int("nodes") {
		first := cmd.Int("port") + portsPerNode*i
		place := standin.NodeSettings{
			StatesStoreLimits: true,

			Name: "entry-" + strconv.Itoa(i), Zone: "zone-" + strconv.Itoa(i%2), IP: "127.0.0.1",
			Caller: first, Ready: first + 1, FirstPeer: first + 2, LastPeer: first + 3,
		}
		file := filepath.Join(cmd.String("dir"), place.Name+".toml")
		if err := os.WriteFile(file, []byte(p.Settings(place)), 0o600); err != nil {
			return errors.Wrap(err, "write settings of a node")
		}
	}
	return nil
}

// waveLimit is the number of VMs that may be in maintenance at once during the wave.
const waveLimit = 3

func publishWave(p *standin.Platform) {
	var vms []string
	for _, vm := range p.VMs() {
		vms = append(vms, vm.ID)
	}
	if err := p.PublishWave(1, vms, time.Minute, waveLimit); err != nil {
		fmt.Fprintln(os.Stderr, "wave:", err)
	}
}

func reportViolations(p *standin.Platform, wave bool) error {
	fmt.Printf("tasks done: %d\n", p.DoneTasks())
	if wave {
		fmt.Printf("wave completed: %t\n", p.IsWaveCompleted(1))
	}
	violations := p.Violations()
	fmt.Printf("violations: %d\n", len(violations))
	for _, b := range violations {
		fmt.Println("  " + b)
	}
	if len(violations) > 0 || wave && !p.IsWaveCompleted(1) {
		return errors.New("violations were observed or the wave was not completed")
	}
	return nil
}
