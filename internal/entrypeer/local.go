package entrypeer

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// NewLocal returns the Claimer of a process without peers. It owns every key.
func NewLocal(self string, cfg claim.Config) *Node {
	n := NewNode(NodeConfig{Logger: hclog.NewNullLogger(), CallTimeout: time.Second})
	m := NewMember(MemberConfig{Name: self, Claim: cfg})
	m.Join(nil, ledger.MemberChange{Offset: 1, Joined: []ledger.MemberRef{{Name: self}}})
	m.SetElectorate([]string{self})
	n.Begin(m)
	return n
}
