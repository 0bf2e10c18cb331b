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

// accepted is a document that the command line called accepted.
type accepted struct {
	service  string
	revision record.Revision
	at       time.Time
	text     string
}

// operators change documents, two at a time on the same revision, move VMs
// between pools by their sizes, start waves and submit jobs.
type operators struct {
	c      *testkit.Cluster
	w      *watch
	random *rand.Rand
	texts  map[string]string // by service, as published last
	wg     sync.WaitGroup

	mu        sync.Mutex
	accepted  []accepted
	rounds    int // of conflicting publishes
	bothWon   []string
	unsettled int // publishes whose outcome the command line did not learn
	jobs      int
}

func startOperators(ctx context.Context, c *testkit.Cluster, w *watch, texts map[string]string, services []string, plan faultPlan, seed uint64) *operators {
	o := &operators{c: c, w: w, random: rand.New(rand.NewPCG(seed, 2)), texts: texts}
	services = slices.DeleteFunc(slices.Clone(services), func(s string) bool { return slices.Contains(plan.shift, s) })
	pause := plan.operators
	o.wg.Go(func() {
		if len(plan.shift) > 0 {
			o.resize(plan.shift[0], plan.shift[1], 2)
		}
		for n := 0; ctx.Err() == nil; n++ {
			service := services[o.random.IntN(len(services))]
			switch n % 3 {
			case 0:
				o.conflict(service)
			case 1:
				o.move(services)
			case 2:
				o.submit(service)
			}
			time.Sleep(pause/2 + time.Duration(o.random.Int64N(int64(pause))))
		}
	})
	return o
}

// wave starts a maintenance wave over pools.
func (o *operators) wave(name string, pools ...string) {
	o.c.Command("--timeout", "20s", "wave", "start", "--name", name, "--pools", strings.Join(pools, ","), "--deadline", "1h")
}

// conflict has two operators publish different documents on one revision.
func (o *operators) conflict(service string) {
	var base record.Revision
	o.w.view(func(s *ledger.State) { base = s.Services[service].Revision })
	var won [2]bool
	var both sync.WaitGroup
	for i := range won {
		text := fmt.Sprintf("# by operator %d on revision %d\n%s", i, base, o.texts[service])
		both.Go(func() { won[i] = o.publish(service, text, base) })
	}
	both.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rounds++
	if won[0] && won[1] {
		o.bothWon = append(o.bothWon, fmt.Sprintf("both publishes of %s on revision %d were accepted", service, base))
	}
}

var acceptedAt = regexp.MustCompile(`accepted at offset (\d+)`)

func (o *operators) publish(service, text string, base record.Revision) bool {
	file := o.c.File(fmt.Sprintf("%s-%d.toml", service, time.Now().UnixNano()), text)
	ran := o.c.Command("--timeout", "8s", "publish", "--based-on", strconv.FormatUint(uint64(base), 10), file)
	at := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if ran.Code == operatorcmd.ExitUnknown {
		o.unsettled++
	}
	found := acceptedAt.FindStringSubmatch(ran.Out)
	if ran.Code != operatorcmd.ExitOK || found == nil {
		return false
	}
	revision, _ := strconv.ParseUint(found[1], 10, 64)
	o.accepted = append(o.accepted, accepted{service: service, revision: record.Revision(revision), at: at, text: text})
	return true
}

var sizeLine = regexp.MustCompile(`(?m)^size = (\d+)$`)

// move makes one pool smaller and another one larger.
func (o *operators) move(services []string) {
	from, to := services[o.random.IntN(len(services))], services[o.random.IntN(len(services))]
	if from != to {
		o.resize(from, to, 1)
	}
}

// resize publishes both documents of a move.
func (o *operators) resize(from, to string, vms int) {
	for service, more := range map[string]int{from: -vms, to: vms} {
		text := sizeLine.ReplaceAllStringFunc(o.texts[service], func(line string) string {
			size, _ := strconv.Atoi(strings.TrimPrefix(line, "size = "))
			return fmt.Sprintf("size = %d", size+more)
		})
		var base record.Revision
		o.w.view(func(s *ledger.State) { base = s.Services[service].Revision })
		if o.publish(service, text, base) {
			o.texts[service] = text
		}
	}
}

// submit submits a job that must not run twice.
func (o *operators) submit(service string) {
	var team string
	o.w.view(func(s *ledger.State) { team = s.Services[service].Doc.Team })
	ran := o.c.Command("--timeout", "8s", "jobs", "submit", "--service", service, "--team", team, "--run-time", "1s", fmt.Sprintf("job-%d", o.jobs))
	if ran.Code == operatorcmd.ExitOK {
		o.jobs++
	}
}
