package ownership

import (
	"strconv"
	"strings"
)

// nameSeparator joins the parts of a member's name: node, address for other
// nodes, what makes it unique to this process, and its processor time in
// thousandths of a core. Who reads the owners learns all of it with no call more.
const nameSeparator = "|"

const nameParts = 4

// peer is what a member's name tells.
type peer struct {
	name       string
	address    string
	milliCores int
}

func nameOf(c Config) string {
	return strings.Join([]string{c.Node, c.Address, c.Unique(), strconv.Itoa(c.MilliCores)}, nameSeparator)
}

// parseName reads a name. ok is false for one that no node of this version gives,
// and for "", where nobody owns the partition.
func parseName(name string) (p peer, ok bool) {
	parts := strings.Split(name, nameSeparator)
	if len(parts) != nameParts {
		return peer{}, false
	}
	milliCores, err := strconv.Atoi(parts[3])
	if err != nil {
		return peer{}, false
	}
	return peer{name: name, address: parts[1], milliCores: milliCores}, true
}
