package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/platform"
)

// stickyGroup is a store with one group. It deals partitions out evenly and moves as few
// as that allows; one that a live member holds passes on when that member has heard of it.
// Members that have lapsed are not listed as owners.
type stickyGroup struct {
	mu      sync.Mutex
	parts   int // of each topic
	topics  []string
	members map[string]time.Time // when they lapse
	order   []string
	gen     int64
	holder  map[platform.Partition]string
	wanted  map[platform.Partition]string
	moved   map[platform.Partition]int64 // the generation that took it from its holder
	records []platform.KeyedRecord
	calls   float64
}

const storeLatency = 4 * time.Millisecond

func newStickyGroup(parts int) *stickyGroup {
	return &stickyGroup{parts: parts, members: map[string]time.Time{}, holder: map[platform.Partition]string{}, wanted: map[platform.Partition]string{}, moved: map[platform.Partition]int64{}}
}

// enter begins a call that counts for so much.
func (g *stickyGroup) enter(weight float64) {
	time.Sleep(storeLatency)
	g.mu.Lock()
	g.calls += weight
	now := time.Now()
	lapsed := 0
	for name, at := range g.members {
		if now.After(at) {
			delete(g.members, name)
			lapsed++
		}
	}
	if lapsed > 0 {
		g.deal()
	}
}

func (g *stickyGroup) all(do func(p platform.Partition)) {
	for _, topic := range g.topics {
		for part := range g.parts {
			do(platform.Partition{Topic: topic, Part: part})
		}
	}
}

// deal chooses who is to hold what.
func (g *stickyGroup) deal() {
	g.gen++
	var order []string
	for _, name := range g.order {
		if _, lives := g.members[name]; lives {
			order = append(order, name)
		}
	}
	g.order = order
	least, extra := 0, 0 // so many have one partition more than the least
	if total := len(g.topics) * g.parts; len(order) > 0 {
		least, extra = total/len(order), total%len(order)
	}
	held := map[string]int{}
	var open []platform.Partition
	g.all(func(p platform.Partition) {
		who := g.wanted[p]
		_, lives := g.members[who]
		switch {
		case lives && held[who] < least:
		case lives && held[who] == least && extra > 0:
			extra--
		default:
			open = append(open, p)
			return
		}
		held[who]++
	})
	for _, share := range []int{least, least + 1} {
		for _, name := range order {
			for len(open) > 0 && held[name] < share {
				g.wanted[open[0]] = name
				held[name]++
				open = open[1:]
			}
		}
	}
	for _, p := range open {
		delete(g.wanted, p)
	}
	g.all(func(p platform.Partition) {
		if _, lives := g.members[g.holder[p]]; !lives {
			g.holder[p] = g.wanted[p]
		}
		switch {
		case g.holder[p] == g.wanted[p]:
			g.moved[p] = 0
		case g.moved[p] == 0:
			g.moved[p] = g.gen
		}
	})
}

func (g *stickyGroup) Join(_ context.Context, m platform.Member) (platform.Assignment, platform.StoreStatus, error) {
	g.enter(0.1)
	defer g.mu.Unlock()
	g.topics = m.Topics
	_, known := g.members[m.Name]
	g.members[m.Name] = time.Now().Add(m.TTL)
	if !known {
		g.order = append(g.order, m.Name)
		g.deal()
	}
	a := platform.Assignment{Generation: g.gen}
	g.all(func(p platform.Partition) {
		if g.holder[p] != m.Name {
			return
		}
		if g.wanted[p] == m.Name {
			a.Parts = append(a.Parts, p)
		} else if m.Generation >= g.moved[p] {
			g.holder[p], g.moved[p] = g.wanted[p], 0
		}
	})
	return a, platform.StoreOK, nil
}

func (g *stickyGroup) Leave(_ context.Context, _, member string) (platform.StoreStatus, error) {
	g.enter(1)
	defer g.mu.Unlock()
	delete(g.members, member)
	g.deal()
	return platform.StoreOK, nil
}

func (g *stickyGroup) Owners(context.Context, string) ([]platform.Owner, platform.StoreStatus, error) {
	g.enter(1)
	defer g.mu.Unlock()
	var list []platform.Owner
	g.all(func(p platform.Partition) { list = append(list, platform.Owner{Partition: p, Member: g.holder[p]}) })
	return list, platform.StoreOK, nil
}

func (g *stickyGroup) Append(_ context.Context, _ platform.Partition, _ *platform.Producer, records ...platform.KeyedRecord) (platform.StoreStatus, error) {
	g.enter(1)
	defer g.mu.Unlock()
	g.records = append(g.records, records...)
	return platform.StoreOK, nil
}

func (g *stickyGroup) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	g.enter(1)
	defer g.mu.Unlock()
	return platform.Batch{Records: g.records}, platform.StoreOK, nil
}
