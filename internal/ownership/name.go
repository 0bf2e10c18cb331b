package ownership

import (
	"strconv"
	"strings"
)

// memberNameSeparator joins the parts of a member's name: node, address for other
// nodes, what makes it unique to this process, and its processor time in
// thousandths of a core. Who reads the owners learns all of it with no call more.
const memberNameSeparator = "|"

const memberNameParts = 4

// memberInfo is what a member's name tells.
type memberInfo struct {
	name       string
	address    string
	milliCores int
}

func encodeMemberName(c Config) string {
	return strings.Join([]string{c.Node, c.Address, c.UniqueID(), strconv.Itoa(c.MilliCores)}, memberNameSeparator)
}

// parseMemberName reads a name. ok is false for one that no node of this version gives,
// and for "", where nobody owns the partition.
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
