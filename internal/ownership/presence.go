package ownership

import (
	"strconv"
	"strings"

	"github.com/yuccadrift/yuccadrift/platform"
)

// Nobody lists the members of a group, only who owns its partitions. Where there are
// more members than partitions, some own nothing and are not seen. Were it the strong
// ones, weak VMs would take them for lost and keep what they can't bear: of 44 members
// with 24 partitions, 6 of them strong, fewer than two strong ones own something in one
// start of seventeen, and the services of that day hardly started anything.
//
// So members also join topics that have no records and no owner's work, and each one
// owns a partition of them.
const (
	presencePrefix = "present."
	// presenceTopics with 12 partitions each, the least that was seen, make 60 with the
	// topics that are worked on: more than the members of the largest deployment.
	presenceTopics = 3
)

// withPresence adds the topics by which members are seen.
func withPresence(topics []string) []string {
	all := append([]string(nil), topics...)
	for i := range presenceTopics {
		all = append(all, presencePrefix+strconv.Itoa(i))
	}
	return all
}

// isPresence tells whether a partition is there only for its owner to be seen.
func isPresence(p platform.Partition) bool { return strings.HasPrefix(p.Topic, presencePrefix) }
