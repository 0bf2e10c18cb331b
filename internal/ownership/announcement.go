package ownership

import (
	"github.com/yuccadrift/yuccadrift/platform"
)

// announcementTopic makes members visible. The store lists the owners of partitions, not the members
// of a group, so a member without a partition is not seen. If the strong members own no partition, weak
// VMs treat them as lost and keep partitions that they can't serve. With 44 members, 6 of them strong,
// and 24 partitions, fewer than two strong ones own a partition in one start of seventeen, and the
// services then hardly start any task.
//
// Two rules keep the strong members visible for any number of VMs. First, a VM doesn't join while as
// many other members own work partitions as there are, and a member that owns none of them then leaves.
// So there are soon at most as many members as work partitions. Second, members also join
// announcementTopic, which has no records and needs no runners; its partitions are left for members that
// join later.
const announcementTopic = "present.0"

// withAnnouncementTopic adds announcementTopic to topics.
func withAnnouncementTopic(topics []string) []string {
	return append(append([]string(nil), topics...), announcementTopic)
}

// isAnnouncement reports whether a partition belongs to announcementTopic.
func isAnnouncement(p platform.Partition) bool { return p.Topic == announcementTopic }
