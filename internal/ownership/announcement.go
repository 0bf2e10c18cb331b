package ownership

import (
	"github.com/yuccadrift/yuccadrift/platform"
)

// announcementTopic makes members visible. The store lists the owners of partitions, not the members
// of a group, so a member without a partition is not seen. If the strong members own nothing, weak VMs
// treat them as lost and keep partitions that they can't serve: of 44 members with 24 partitions, 6 of
// them strong, fewer than two strong ones own something in one start of seventeen, and the services
// hardly start anything that day.
//
// Two rules keep the strong members visible however many VMs there are. A VM doesn't join while as many
// members own something as the work topics have partitions, and a member that owns nothing then leaves,
// so there are soon at most that many members. And members also join announcementTopic, which has no
// records and whose owners do no work; its partitions are left for members that come later.
const announcementTopic = "present.0"

// withAnnouncementTopic adds announcementTopic to topics.
func withAnnouncementTopic(topics []string) []string {
	return append(append([]string(nil), topics...), announcementTopic)
}

// isAnnouncement reports whether a partition only makes its owner visible.
func isAnnouncement(p platform.Partition) bool { return p.Topic == announcementTopic }
