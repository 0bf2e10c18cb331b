package ownership

import (
	"github.com/yuccadrift/yuccadrift/platform"
)

// Nobody lists the members of a group, only who owns its partitions. Where there are
// more members than partitions, some own nothing and are not seen. Were it the strong
// ones, weak VMs would take them for lost and keep what they can't bear: of 44 members
// with 24 partitions, 6 of them strong, fewer than two strong ones own something in one
// start of seventeen, and the services of that day hardly started anything.
//
// However many VMs there are, two rules keep the strong in sight. No VM joins where as
// many members as there are partitions to be worked on own something, and one that owns
// nothing then leaves: so such members are soon at most as many. And members also join a
// topic that has no records and no owner's work, whose partitions are there for those
// that come later.
const announcementTopic = "present.0"

// withAnnouncementTopic adds the topic by which members are seen.
func withAnnouncementTopic(topics []string) []string {
	return append(append([]string(nil), topics...), announcementTopic)
}

// isAnnouncement tells whether a partition is there only for its owner to be seen.
func isAnnouncement(p platform.Partition) bool { return p.Topic == announcementTopic }
