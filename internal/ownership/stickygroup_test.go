package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/platform"
)

// stickyGroup is a store with one group. It assigns partitions evenly and reassigns as few as possible. A partition of a
// live member is reassigned once that member has reported the generation in which it lost the partition. Members whose
// TTL has expired are not listed as owners.
type stickyGroup struct {
	mu                 sync.Mutex
	partitionsPerTopic int
	topics             []string
	expiresAt          map[string]time.Time // when the TTL of a member ends
	order              []string
	gen                int64
	owner              map[platform.Partition]string
	target             map[platform.Partition]string
	revokedIn          map[platform.Partition]int64 // the generation in which the owner loses the partition, 0 if none
	records            []platform.KeyedRecord
	callWeight         float64
}

const storeLatency = 4 * time.Millisecond

func newStickyGroup(parts int) *stickyGroup {
	return &stickyGroup{partitionsPerTopic: parts, expiresAt: map[string]time.Time{}, owner: map[platform.Partition]string{}, target: map[platform.Partition]string{}, revokedIn: map[platform.Partition]int64{}}
}

// beginCall begins a call that counts as weight calls. It returns with mu held.
func (g *stickyGroup) beginCall(weight float64) {
	time.Sleep(storeLatency)
	g.mu.Lock()
	g.callWeight += weight
	now := time.Now()
	lapsed := 0
	for name, at := range g.expiresAt {
		if now.After(at) {
			delete(g.expiresAt, name)
			lapsed++
		}
	}
	if lapsed > 0 {
		g.rebalance()
	}
}

func (g *stickyGroup) forEachPartition(do func(p platform.Partition)) {
	for _, topic := range g.topics {
		for part := range g.partitionsPerTopic {
			do(platform.Partition{Topic: topic, Part: part})
		}
	}
}

// rebalance chooses the target owner of each partition. It must be called with mu held.
func (g *stickyGroup) rebalance() {
	g.gen++
	var order []string
	for _, name := range g.order {
		if _, lives := g.expiresAt[name]; lives {
			order = append(order, name)
		}
	}
	g.order = order
	for _, topic := range g.topics {
		g.distribute(topic, order)
	}
	g.forEachPartition(func(p platform.Partition) {
		if _, lives := g.expiresAt[g.owner[p]]; !lives {
			g.owner[p] = g.target[p]
		}
		switch {
		case g.owner[p] == g.target[p]:
			g.revokedIn[p] = 0
		case g.revokedIn[p] == 0:
			g.revokedIn[p] = g.gen
		}
	})
}

// distribute chooses the target owners of a topic's partitions, evenly among the members in order. Members
// keep what they have; if there are more of them than partitions, those that join later get none.
func (g *stickyGroup) distribute(topic string, order []string) {
	least, extra := 0, 0 // extra members have one partition more than least
	if len(order) > 0 {
		least, extra = g.partitionsPerTopic/len(order), g.partitionsPerTopic%len(order)
	}
	owned := map[string]int{}
	var unassigned []platform.Partition
	for part := range g.partitionsPerTopic {
		p := platform.Partition{Topic: topic, Part: part}
		name := g.target[p]
		_, lives := g.expiresAt[name]
		switch {
		case lives && owned[name] < least:
		case lives && owned[name] == least && extra > 0:
			extra--
		default:
			unassigned = append(unassigned, p)
			continue
		}
		owned[name]++
	}
	for _, share := range []int{least, least + 1} {
		for _, name := range order {
			for len(unassigned) > 0 && owned[name] < share {
				g.target[unassigned[0]] = name
				owned[name]++
				unassigned = unassigned[1:]
			}
		}
	}
	for _, p := range unassigned {
		delete(g.target, p)
	}
}

func (g *stickyGroup) Join(_ context.Context, m platform.Member) (platform.Assignment, platform.StoreStatus, error) {
	g.beginCall(0.1)
	defer g.mu.Unlock()
	g.topics = m.Topics
	_, known := g.expiresAt[m.Name]
	g.expiresAt[m.Name] = time.Now().Add(m.TTL)
	if !known {
		g.order = append(g.order, m.Name)
		g.rebalance()
	}
	a := platform.Assignment{Generation: g.gen}
	g.forEachPartition(func(p platform.Partition) {
		if g.owner[p] != m.Name {
			return
		}
		if g.target[p] == m.Name {
			a.Partitions = append(a.Partitions, p)
		} else if m.Generation >= g.revokedIn[p] {
			g.owner[p], g.revokedIn[p] = g.target[p], 0
		}
	})
	return a, platform.StoreOK, nil
}

func (g *stickyGroup) Leave(_ context.Context, _, member string) (platform.StoreStatus, error) {
	g.beginCall(1)
	defer g.mu.Unlock()
	delete(g.expiresAt, member)
	g.rebalance()
	return platform.StoreOK, nil
}

func (g *stickyGroup) Owners(context.Context, string) ([]platform.Owner, platform.StoreStatus, error) {
	g.beginCall(1)
	defer g.mu.Unlock()
	var list []platform.Owner
	g.forEachPartition(func(p platform.Partition) { list = append(list, platform.Owner{Partition: p, Member: g.owner[p]}) })
	return list, platform.StoreOK, nil
}

func (g *stickyGroup) Append(_ context.Context, _ platform.Partition, _ *platform.Producer, records ...platform.KeyedRecord) (platform.StoreStatus, error) {
	g.beginCall(1)
	defer g.mu.Unlock()
	g.records = append(g.records, records...)
	return platform.StoreOK, nil
}

func (g *stickyGroup) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	g.beginCall(1)
	defer g.mu.Unlock()
	return platform.Batch{Records: g.records}, platform.StoreOK, nil
}
