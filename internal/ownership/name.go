package ownership

import (
	"strconv"
	"strings"
)

// memberNameSeparator joins the parts of a member's name: the node, its address for other nodes, a part that
// makes the name unique to one membership of the node, and the VM's processor time in millicores. A node that
// reads the owners learns all of these without another call.
const memberNameSeparator = "|"

const memberNameParts = 4

// memberInfo is what a member's name states.
type memberInfo struct {
	name       string
	address    string
	milliCores int
}

func encodeMemberName(c Config) string {
	return strings.Join([]string{c.Node, c.Address, c.UniqueID(), strconv.Itoa(c.MilliCores)}, memberNameSeparator)
}

// parseMemberName parses a member's name. ok is false for "", the owner of a partition without one, and for a
// name that a node of this version doesn't use.
func parseMemberName(name string) (p memberInfo, ok bool) {
	parts := strings.Split(name, memberNameSeparator)
	if len(parts) != memberNameParts {
		return memberInfo{}, false
	}
	milliCores, err := strconv.Atoi(parts[3])
	if err != nil {
		return memberInfo{}, false
	}
	return memberInfo{name: name, address: parts[1], milliCores: milliCores}, true
}
