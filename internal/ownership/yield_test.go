package ownership

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/platform"
)

// fakeGroup is a group in which each of others owns a partition, and each member that joins gets another one.
type fakeGroup struct {
	emptyStore
	mu          sync.Mutex
	others      []string // members that own a partition each
	joinsByName map[string]int
	leftMembers map[string]bool
}

func (g *fakeGroup) Join(_ context.Context, m platform.Member) (platform.Assignment, platform.StoreStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joinsByName[m.Name]++
	return platform.Assignment{Generation: 1, Partitions: []platform.Partition{{Topic: "jobs", Part: 99}}}, platform.StoreOK, nil
}

func (g *fakeGroup) Leave(_ context.Context, _, member string) (platform.StoreStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leftMembers[member] = true
	return platform.StoreOK, nil
}

func (g *fakeGroup) Owners(context.Context, string) ([]platform.Owner, platform.StoreStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]platform.Owner, len(g.others))
	for i, name := range g.others {
		list[i] = platform.Owner{Partition: platform.Partition{Topic: "jobs", Part: i}, Member: name}
	}
	return list, platform.StoreOK, nil
}

// emptyStore keeps no records.
type emptyStore struct{}

func (emptyStore) Append(context.Context, platform.Partition, *platform.Producer, ...platform.KeyedRecord) (platform.StoreStatus, error) {
	return platform.StoreOK, nil
}

func (emptyStore) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreOK, nil
}

func (g *fakeGroup) setOthers(others ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others = others
}

func (g *fakeGroup) membershipCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.joinsByName)
}

// runWeakMember runs a scenario with a Manager of a VM with 192 millicores in a synctest bubble.
func runWeakMember(t *testing.T, others []string, scenario func(g *fakeGroup, owns func() bool)) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{joinsByName: map[string]int{}, leftMembers: map[string]bool{}}
		g.setOthers(others...)
		var mu sync.Mutex
		running := 0
		run := func(ctx context.Context, _ platform.Partition, _ int64) error {
			mu.Lock()
			running++
			mu.Unlock()
			<-ctx.Done()
			mu.Lock()
			running--
			mu.Unlock()
			return ctx.Err()
		}
		names := 0
		m := New(g, Config{Node: "weak", Address: "weak:1", MilliCores: 192, Topics: []string{"jobs"}, Logger: hclog.NewNullLogger(), UniqueID: func() string {
			names++
			return string(rune('a' + names))
		}}, run)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		scenario(g, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return running > 0
		})
		cancel()
		<-done
	})
}

func encodedName(name, milliCores string) string { return name + "|" + name + ":1|x|" + milliCores }

// A weak VM starts beside two strong ones. It must never join, so that it gets no partition that it can't serve and
// nothing is reassigned.
func TestWeakVMDoesNotJoinBesideStrongOnes(t *testing.T) {
	runWeakMember(t, []string{encodedName("s-1", "800"), encodedName("s-2", "800")}, func(g *fakeGroup, owns func() bool) {
		time.Sleep(20 * time.Second)
		assert.Zero(t, g.membershipCount())
		assert.False(t, owns())
	})
}

// Strong VMs are lost. The weak one must take over within a second of their removal from the list of owners. Their TTL
// plus this second is shorter than the lease of their runs.
func TestWeakVMTakesOverWhenStrongOnesAreLost(t *testing.T) {
	runWeakMember(t, []string{encodedName("s-1", "800"), encodedName("s-2", "800")}, func(g *fakeGroup, owns func() bool) {
		time.Sleep(5 * time.Second)
		g.setOthers("", encodedName("s-2", "800"))
		time.Sleep(time.Second)
		assert.True(t, owns())
	})
}

// A weak VM has joined first, then strong ones join. It must leave the group after two checks and not join again.
// Strong members that only one check sees must change nothing.
func TestWeakMemberYieldsOnceStrongOnesStay(t *testing.T) {
	runWeakMember(t, nil, func(g *fakeGroup, owns func() bool) {
		time.Sleep(3 * time.Second)
		assert.True(t, owns())
		for range 20 { // seen in one check at most
			g.setOthers(encodedName("s-1", "800"), encodedName("s-2", "800"))
			time.Sleep(100 * time.Millisecond)
			g.setOthers("", "")
			time.Sleep(time.Second)
			assert.True(t, owns(), "strong members seen only once must not count")
		}
		assert.Equal(t, 1, g.membershipCount())
		g.setOthers(encodedName("s-1", "800"), encodedName("s-2", "800"))
		time.Sleep(1500 * time.Millisecond)
		assert.False(t, owns())
		assert.Equal(t, 1, g.membershipCount())
		assert.Len(t, g.leftMembers, 1)
		time.Sleep(10 * time.Second)
		assert.Equal(t, 1, g.membershipCount())
	})
}

// VMs of one size must all join, also beside a single strong VM: it may be lost, and as the only member it would own all
// partitions.
func TestVMsOfOneSizeJoin(t *testing.T) {
	runWeakMember(t, []string{encodedName("n-1", "192"), encodedName("n-2", "192"), encodedName("s-1", "800")}, func(g *fakeGroup, owns func() bool) {
		time.Sleep(10 * time.Second)
		assert.True(t, owns())
		assert.Equal(t, 1, g.membershipCount())
	})
}

// The name of a member of another version may state no processor time. It must not make a VM yield, and its address
// must not be used.
func TestInvalidMemberNamesAreIgnored(t *testing.T) {
	for _, name := range []string{"", "n|a:1|x", "n|a:1|x|many", "n|a:1|x|1|2"} {
		_, ok := parseMemberName(name)
		assert.False(t, ok, name)
	}
	p, ok := parseMemberName(encodeMemberName(Config{Node: "n", Address: "a:1", MilliCores: 400, UniqueID: func() string { return "x" }}))
	assert.True(t, ok)
	assert.Equal(t, "a:1", p.address)
	assert.Equal(t, 400, p.milliCores)
}

// evenGroup assigns the partitions of the topics that members join evenly, in the order of the members' names, and
// lists their owners.
type evenGroup struct {
	emptyStore
	mu                 sync.Mutex
	partitionsPerTopic int
	members            map[string][]string
	order              []string
	gen                int64
}

func (g *evenGroup) Join(_ context.Context, m platform.Member) (platform.Assignment, platform.StoreStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.members[m.Name]; !known {
		g.members[m.Name] = m.Topics
		g.order = append(g.order, m.Name)
		slices.Sort(g.order)
		g.gen++
	}
	a := platform.Assignment{Generation: g.gen}
	for p, owner := range g.assignment() {
		if owner == m.Name {
			a.Partitions = append(a.Partitions, p)
		}
	}
	return a, platform.StoreOK, nil
}

func (g *evenGroup) assignment() map[platform.Partition]string {
	owners := map[platform.Partition]string{}
	if len(g.order) == 0 {
		return owners
	}
	n := 0
	for _, topic := range g.members[g.order[0]] {
		for i := range g.partitionsPerTopic {
			owners[platform.Partition{Topic: topic, Part: i}] = g.order[n%len(g.order)]
			n++
		}
	}
	return owners
}

func (g *evenGroup) Leave(_ context.Context, _, member string) (platform.StoreStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, member)
	g.order = slices.DeleteFunc(g.order, func(name string) bool { return name == member })
	g.gen++
	return platform.StoreOK, nil
}

func (g *evenGroup) Owners(context.Context, string) ([]platform.Owner, platform.StoreStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []platform.Owner
	for p, owner := range g.assignment() {
		list = append(list, platform.Owner{Partition: p, Member: owner})
	}
	return list, platform.StoreOK, nil
}

// Guards against weak VMs that keep all partitions, with a quarter of the processor time that the owner of a busy
// service needs, while strong VMs own none. Forty-four VMs start, the six strong ones a little later, and the group
// assigns 24 partitions, by chance none to the strong ones. The weak VMs must see the strong ones and leave.
func TestWeakVMsYieldToStrongOnesWithoutPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const weak, strong = 38, 6
		g := &evenGroup{partitionsPerTopic: 12, members: map[string][]string{}}
		var mu sync.Mutex
		owners := map[string]int{} // number of work partitions by node
		ctx, cancel := context.WithCancel(t.Context())
		var managers sync.WaitGroup
		for i := range weak + strong {
			name, milliCores := fmt.Sprintf("a-weak-%02d", i), 192
			if i == weak {
				time.Sleep(300 * time.Millisecond)
			}
			if i >= weak {
				name, milliCores = fmt.Sprintf("b-strong-%02d", i), 800
			}
			run := func(ctx context.Context, _ platform.Partition, _ int64) error {
				mu.Lock()
				owners[name]++
				mu.Unlock()
				<-ctx.Done()
				mu.Lock()
				owners[name]--
				mu.Unlock()
				return ctx.Err()
			}
			starts := 0
			m := New(g, Config{Node: name, Address: name + ":1", MilliCores: milliCores, Topics: []string{"jobs", "fleet"}, Logger: hclog.NewNullLogger(), UniqueID: func() string {
				starts++
				return strconv.Itoa(starts)
			}}, run)
			managers.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(12 * time.Second)
		mu.Lock()
		for name, n := range owners {
			if strings.HasPrefix(name, "a-weak") {
				assert.Zero(t, n, name)
			}
		}
		assert.Positive(t, owners["b-strong-43"])
		mu.Unlock()
		cancel()
		managers.Wait()
	})
}
