// Package partitioning decides which partition of the log holds the jobs of a service.
//
// A partition has one owner, which starts all tasks of the services in it. So two busy services must not
// share a partition while another is empty. A service's partition never changes: its jobs stay where they
// were stored. The fleet's owner assigns the partitions and stores them; all nodes read them.
package partitioning

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Table holds the partitions of services, by name.
type Table map[string]int

// Merge returns a table with the entries of both. An entry of t stays as it is.
func (t Table) Merge(other Table) Table {
	merged := maps.Clone(other)
	if merged == nil {
		merged = Table{}
	}
	maps.Copy(merged, t)
	return merged
}

// Missing returns the services that have no partition.
func (t Table) Missing(services []string) []string {
	var missing []string
	for _, s := range services {
		if _, ok := t[s]; !ok {
			missing = append(missing, s)
		}
	}
	return missing
}

// preferred returns the partition of a service for which no other has an entry.
func preferred(service string, partitions int) int {
	h := fnv.New32a()
	h.Write([]byte(service))
	sum := h.Sum32()
	sum ^= sum >> 15 // FNV hashes of short, similar names are close in their low bits
	sum *= 0x2c1b3c6d
	sum ^= sum >> 12
	return int(sum % uint32(partitions))
}

// Shared returns the partitions that two or more of the services prefer.
func Shared(services []string, partitions int) []int {
	counts := make([]int, partitions)
	for _, s := range services {
		counts[preferred(s, partitions)]++
	}
	var shared []int
	for p, n := range counts {
		if n > 1 {
			shared = append(shared, p)
		}
	}
	return shared
}

// Assign returns partitions for the services that have none in the table, in the given order, so that
// the services in any two partitions differ in number by one at most, if the table allows it. holdsJobs
// are partitions with jobs that were stored before services had entries: their services stay there.
func Assign(table Table, services []string, partitions int, holdsJobs []int) Table {
	counts := make([]int, partitions)
	for _, p := range table {
		if p < partitions {
			counts[p]++
		}
	}
	added := Table{}
	var others []string // services that don't get the partition that they prefer
	for _, s := range table.Missing(services) {
		p := preferred(s, partitions)
		if !slices.Contains(holdsJobs, p) && counts[p] > slices.Min(counts) {
			others = append(others, s)
			continue
		}
		added[s] = p
		counts[p]++
	}
	for _, s := range others {
		p := leastUsed(counts, preferred(s, partitions))
		added[s] = p
		counts[p]++
	}
	return added
}

// leastUsed returns the preferred partition if no other has a lower count. Otherwise it returns, of those with the
// lowest count, the one that is the farthest from any with a higher count: neighbours may be stored by one
// broker, whose loss should take as few services as possible.
func leastUsed(counts []int, preferred int) int {
	lowest := slices.Min(counts)
	if counts[preferred] == lowest {
		return preferred
	}
	best, farthest := preferred, 0
	for i := range counts {
		p := (preferred + i) % len(counts)
		if counts[p] > lowest {
			continue
		}
		if d := distanceToUsed(counts, p, lowest); d > farthest {
			best, farthest = p, d
		}
	}
	return best
}

// distanceToUsed returns how far a partition is from the nearest with a higher count than lowest, in a ring.
func distanceToUsed(counts []int, p, lowest int) int {
	n := len(counts)
	for d := 1; d < n; d++ {
		if counts[(p+d)%n] > lowest || counts[(p-d+n)%n] > lowest {
			return d
		}
	}
	return n
}

// entry is the stored form of an entry of a table.
type entry struct {
	Partition *int `json:"partition"`
}

// KeyPrefix begins the keys of stored entries.
const KeyPrefix = "service/"

// Encode returns the stored form of an entry.
func Encode(service string, partition int) (key string, value []byte, err error) {
	value, err = json.Marshal(entry{Partition: &partition})
	return KeyPrefix + service, value, errors.Wrap(err, "partition of a service")
}

// Decode returns the service and the partition of a stored entry. partitions is the number of partitions.
func Decode(key string, value []byte, partitions int) (service string, partition int, err error) {
	if len(key) <= len(KeyPrefix) || key[:len(KeyPrefix)] != KeyPrefix {
		return "", 0, errors.Errorf("key %q names no service", key)
	}
	service = key[len(KeyPrefix):]
	var e entry
	if err := json.Unmarshal(value, &e); err != nil {
		return "", 0, errors.Wrapf(err, "partition of service %q", service)
	}
	if e.Partition == nil {
		return "", 0, errors.Errorf("service %q has no partition", service)
	}
	if *e.Partition < 0 || *e.Partition >= partitions {
		return "", 0, errors.Errorf("service %q has partition %d of %d", service, *e.Partition, partitions)
	}
	return service, *e.Partition, nil
}
