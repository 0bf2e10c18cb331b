package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/operatorcmd"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// acceptedDocument is a document that the command line reported as accepted.
type acceptedDocument struct {
	service    string
	revision   record.Revision
	acceptedAt time.Time
	text       string
}

// operators publish conflicting documents, move VMs between pools by changing the pools' sizes, start
// waves and submit jobs.
type operators struct {
	cluster   *testkit.Cluster
	observer  *observer
	random    *rand.Rand
	documents map[string]string // by service, with the pool sizes last accepted
	wg        sync.WaitGroup

	mu              sync.Mutex
	accepted        []acceptedDocument
	conflicts       int // pairs of conflicting publishes
	bothAccepted    []string
	unknownOutcomes int // publishes whose outcome the command line could not determine
	jobs            int
}

func startOperators(ctx context.Context, c *testkit.Cluster, observer *observer, texts map[string]string, services []string, plan faultPlan, seed uint64) *operators {
	o := &operators{cluster: c, observer: observer, random: rand.New(rand.NewPCG(seed, 2)), documents: texts}
	services = slices.DeleteFunc(slices.Clone(services), func(s string) bool { return slices.Contains(plan.permanentMove, s) })
	pause := plan.operatorInterval
	o.wg.Go(func() {
		if len(plan.permanentMove) > 0 {
			o.resize(plan.permanentMove[0], plan.permanentMove[1], 2)
		}
		for n := 0; ctx.Err() == nil; n++ {
			service := services[o.random.IntN(len(services))]
			switch n % 3 {
			case 0:
				o.publishConflict(service)
			case 1:
				o.moveVM(services)
			case 2:
				o.submitJob(service)
			}
			time.Sleep(pause/2 + time.Duration(o.random.Int64N(int64(pause))))
		}
	})
	return o
}

// startWave starts a maintenance wave over pools.
func (o *operators) startWave(name string, pools ...string) {
	o.cluster.Command("--timeout", "20s", "wave", "start", "--name", name, "--pools", strings.Join(pools, ","), "--deadline", "1h")
}

// publishConflict publishes two different documents based on the same revision at once.
func (o *operators) publishConflict(service string) {
	var base record.Revision
	o.observer.withState(func(s *ledger.State) { base = s.Services[service].Revision })
	var wasAccepted [2]bool
	var publishes sync.WaitGroup
	for i := range wasAccepted {
		text := fmt.Sprintf("# by operator %d on revision %d\n%s", i, base, o.documents[service])
		publishes.Go(func() { wasAccepted[i] = o.publish(service, text, base) })
	}
	publishes.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conflicts++
	if wasAccepted[0] && wasAccepted[1] {
		o.bothAccepted = append(o.bothAccepted, fmt.Sprintf("both publishes of %s on revision %d were accepted", service, base))
	}
}

var acceptedOffsetPattern = regexp.MustCompile(`accepted at offset (\d+)`)

func (o *operators) publish(service, text string, base record.Revision) bool {
	file := o.cluster.WriteFile(fmt.Sprintf("%s-%d.toml", service, time.Now().UnixNano()), text)
	result := o.cluster.Command("--timeout", "8s", "publish", "--based-on", strconv.FormatUint(uint64(base), 10), file)
	at := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if result.ExitCode == operatorcmd.ExitUnknown {
		o.unknownOutcomes++
	}
	found := acceptedOffsetPattern.FindStringSubmatch(result.Stdout)
	if result.ExitCode != operatorcmd.ExitOK || found == nil {
		return false
	}
	revision, _ := strconv.ParseUint(found[1], 10, 64)
	o.accepted = append(o.accepted, acceptedDocument{service: service, revision: record.Revision(revision), acceptedAt: at, text: text})
	return true
}

var sizePattern = regexp.MustCompile(`(?m)^size = (\d+)$`)

// moveVM moves one VM between two random pools.
func (o *operators) moveVM(services []string) {
	from, to := services[o.random.IntN(len(services))], services[o.random.IntN(len(services))]
	if from != to {
		o.resize(from, to, 1)
	}
}

// resize publishes the documents of two services with their pool sizes changed by vms.
func (o *operators) resize(from, to string, vms int) {
	for service, change := range map[string]int{from: -vms, to: vms} {
		text := sizePattern.ReplaceAllStringFunc(o.documents[service], func(line string) string {
			size, _ := strconv.Atoi(strings.TrimPrefix(line, "size = "))
			return fmt.Sprintf("size = %d", size+change)
		})
		var base record.Revision
		o.observer.withState(func(s *ledger.State) { base = s.Services[service].Revision })
		if o.publish(service, text, base) {
			o.documents[service] = text
		}
	}
}

// submitJob submits a job that is not repeatable.
func (o *operators) submitJob(service string) {
	var team string
	o.observer.withState(func(s *ledger.State) { team = s.Services[service].Doc.Team })
	result := o.cluster.Command("--timeout", "8s", "jobs", "submit", "--service", service, "--team", team, "--run-time", "1s", fmt.Sprintf("job-%d", o.jobs))
	if result.ExitCode == operatorcmd.ExitOK {
		o.jobs++
	}
}
