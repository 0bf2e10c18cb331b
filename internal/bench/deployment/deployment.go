// Package deployment simulates the planning of a deployment, as described by its
// documents, in simulated time, including its operators' commands.
package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// The VMs of a run are as large as the largest VMs of the deployments, and four of
// them share a rack.
const (
	vmCores    = 64
	vmMemoryMB = 256 << 10
	perRack    = 4
	// fillTime exceeds the time that the pools need to get their VMs.
	fillTime = time.Hour
)

// WaveID is the ID of the wave that StartWave starts.
const WaveID = "w"

// Epoch is the start time of each run.
var Epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// DefaultTimes is the default duration of the steps of a drain.
var DefaultTimes = forecast.Times{Drain: 10 * time.Second, Reboot: 100 * time.Second, Return: 10 * time.Second}

// Deployment holds the documents of one deployment and its number of availability
// zones.
type Deployment struct {
	Name  string
	Texts []string
	Pools []string // names of the services, in the order of Texts
	Zones int
	Size  int // VMs that the documents ask for
}

// zoneCounts holds the number of availability zones of each example deployment.
var zoneCounts = map[string]int{"ramcharan": 3, "feldkamm": 4}

// Names are the names of the example deployments.
var Names = []string{"ramcharan", "feldkamm"}

// Examples reads all example deployments in a directory.
func Examples(dir string) ([]Deployment, error) {
	var list []Deployment
	for _, name := range Names {
		d, err := Read(dir, name)
		if err != nil {
			return nil, err
		}
		list = append(list, d)
	}
	return list, nil
}

// Read reads one of the example deployments in a directory. It returns an error if
// the deployment has no valid document.
func Read(dir, name string) (Deployment, error) {
	files, err := filepath.Glob(filepath.Join(dir, name, "*.toml"))
	if err != nil {
		return Deployment{}, errors.Wrap(err, "list the documents")
	}
	d := Deployment{Name: name, Zones: zoneCounts[name]}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return Deployment{}, errors.Wrap(err, "read a document")
		}
		doc, problems := document.Parse(file, text)
		if len(problems) > 0 || doc.Service == "" {
			continue // the directory also has settings and other files
		}
		d.Texts = append(d.Texts, string(text))
		d.Pools = append(d.Pools, doc.Service)
		d.Size += doc.Pool.Size
	}
	if len(d.Pools) == 0 || d.Zones == 0 {
		return Deployment{}, errors.Errorf("no documents of %s in %s", name, dir)
	}
	return d, nil
}

// Start returns a run with enough VMs to fill all pools, and spare free VMs, after
// the time that the pools need to fill.
func (d Deployment) Start(spare int, policy pool.Policy) (*forecast.Run, error) {
	r := forecast.New(ledger.New(), Epoch, policy, DefaultTimes)
	for i, text := range d.Texts {
		if err := Publish(r, d.Pools[i], text); err != nil {
			return nil, err
		}
	}
	for v := range d.Size + spare {
		zone := fmt.Sprintf("z%d", v%d.Zones)
		out := r.OnVM(fmt.Sprintf("vm-%03d", v), record.VMRegister{
			Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, v/d.Zones/perRack), Address: "10.0.0.1:80",
			Cores: vmCores, MemoryMB: vmMemoryMB, Accelerators: 1,
		})
		if err := requireEffective(out); err != nil {
			return nil, err
		}
	}
	r.AdvanceTo(r.Now.Add(fillTime))
	return r, nil
}

func requireEffective(out ledger.Outcome) error {
	if out.Status != ledger.Effective {
		return errors.Errorf("record is %s: %s", out.Status, out.Reason)
	}
	return nil
}

// Publish publishes a service's document. It returns an error if the record is not
// effective.
func Publish(r *forecast.Run, service, text string) error {
	sub := record.Subject{Kind: record.SubjectService, Name: service}
	return errors.Wrapf(requireEffective(r.Append(sub, record.DocumentPublish{Text: text})), "publish %s", service)
}

// Resize publishes a service's current document with another pool size.
func Resize(r *forecast.Run, service string, size int) error {
	svc := r.State.Services[service]
	oldSize := fmt.Sprintf("size = %d", svc.Doc.Pool.Size)
	if !strings.Contains(svc.Text, oldSize) {
		return errors.Errorf("document of %s does not contain %q", service, oldSize)
	}
	return Publish(r, service, strings.Replace(svc.Text, oldSize, fmt.Sprintf("size = %d", size), 1))
}

// StartWave starts the wave WaveID over the pools. Its deadline is relative to the
// run's current time.
func StartWave(r *forecast.Run, deadline time.Duration, pools ...string) error {
	sub := record.Subject{Kind: record.SubjectWave, Name: WaveID}
	return errors.Wrap(requireEffective(r.Append(sub, record.WaveStart{Pools: pools, Deadline: r.Now.Add(deadline)})), "start the wave")
}

// CountDrainsAndMoves returns the number of drains of all VMs, and of their moves to another
// pool.
func CountDrainsAndMoves(r *forecast.Run) (drains, moves int) {
	for _, vm := range r.State.VMs {
		drains += vm.Drains
		moves += vm.Moves
	}
	return drains, moves
}

// CountFreeVMs returns the number of free VMs.
func CountFreeVMs(r *forecast.Run) int {
	n := 0
	for _, vm := range r.State.VMs {
		if vm.Phase == record.PhaseFree {
			n++
		}
	}
	return n
}
