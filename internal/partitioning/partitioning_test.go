package partitioning

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func serviceNames(n, seed int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("svc-%d-%d", seed, i)
	}
	return names
}

// Guards against two busy services that share one owner by the accident of their names while most VMs
// own nothing.
func TestServicesDoNotShareAPartitionWhileOthersAreEmpty(t *testing.T) {
	for _, c := range []struct{ services, partitions int }{{5, 24}, {5, 12}, {24, 24}, {94, 24}, {188, 48}} {
		sharedBefore := 0
		for seed := range 200 {
			services := serviceNames(c.services, seed)
			sharedBefore += len(Shared(services, c.partitions))
			table := Assign(nil, services, c.partitions, nil)
			require.Len(t, table, c.services)
			counts := make([]int, c.partitions)
			for _, p := range table {
				counts[p]++
			}
			for _, n := range counts {
				assert.InDelta(t, float64(c.services)/float64(c.partitions), n, 0.999, "%d services in %d partitions: %v", c.services, c.partitions, counts)
			}
		}
		assert.Positive(t, sharedBefore, "the names would collide")
	}
}

// Guards against services that lie beside each other because they prefer one partition: the loss of a run of
// neighbours should take as few as possible.
func TestServicesThatPreferOnePartitionAreNotNeighbours(t *testing.T) {
	for seed := range 200 {
		services := serviceNames(4, seed)
		if len(Shared(services, 24)) == 0 {
			continue
		}
		table := Assign(nil, services, 24, nil)
		for _, s := range services {
			if table[s] == preferred(s, 24) {
				continue
			}
			for _, other := range services {
				d := (table[s] - table[other] + 24) % 24
				assert.False(t, other != s && min(d, 24-d) < 3, "%s: %v", s, table)
			}
		}
	}
}

// Guards against jobs that are looked for in another partition than the one that stores them: a service
// keeps its partition whatever services are added or removed.
func TestAServiceKeepsItsPartition(t *testing.T) {
	table := Table{}
	for seed := range 100 {
		services := serviceNames(1+seed%30, seed%7)
		added := Assign(table, services, 24, nil)
		for s := range added {
			assert.NotContains(t, table, s)
		}
		before := len(table)
		table = table.Merge(added)
		assert.Len(t, table, before+len(added))
		assert.Empty(t, table.Missing(services))
	}
	assert.Equal(t, Table{"a": 1, "b": 2}, Table{"a": 1}.Merge(Table{"a": 7, "b": 2}))
}

// Guards against jobs that are lost when nodes of a version without stored partitions are replaced: where
// services share a partition that holds jobs, they stay there.
func TestServicesStayWhereJobsWereStored(t *testing.T) {
	for seed := range 50 {
		services := serviceNames(12, seed)
		for _, p := range Shared(services, 12) {
			table := Assign(nil, services, 12, []int{p})
			for _, s := range services {
				if preferred(s, 12) == p {
					assert.Equal(t, p, table[s])
				}
			}
		}
	}
}

// Guards against an entry of another writer that sends a service's jobs to a partition that doesn't exist.
func TestUnusableEntriesAreRejected(t *testing.T) {
	key, value, err := Encode("booking", 7)
	require.NoError(t, err)
	service, partition, err := Decode(key, value, 24)
	require.NoError(t, err)
	assert.Equal(t, "booking", service)
	assert.Equal(t, 7, partition)
	for key, value := range map[string]string{
		"service/":        `{"partition":1}`,
		"other":           `{"partition":1}`,
		"service/a":       `x`,
		"service/b":       `{"partition":-1}`,
		"service/c":       `{"partition":24}`,
		"service/booking": `{"partition":"7"}`,
	} {
		_, _, err := Decode(key, []byte(value), 24)
		assert.Error(t, err, key)
	}
}
