// Package operator implements the gRPC service through which the operators'
// command line reads the status of both daemons, and its client.
package operator

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/yuccadrift/yuccadrift/internal/operator/operatorpb"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Role is the kind of daemon.
type Role string

// Roles of the daemons.
const (
	RoleEntry   Role = "entry"
	RoleSteward Role = "steward"
)

// Status is what one process reports about itself.
type Status struct {
	Node string `json:"node"`
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// Offset is the last log offset that the process applied to its state.
	// ActingOffset is the offset up to which it also acts on that state.
	Offset       uint64 `json:"offset"`
	ActingOffset uint64 `json:"acting_offset"`
	// Digest is the digest of the state at Offset. It is equal on all nodes at
	// the same offset.
	Digest uint64 `json:"digest"`
	// Fresh is when the latest read that reached the end of the log was sent; zero
	// before the first such read. Now is the time of this status. Both are times of
	// the node's clock.
	Fresh time.Time `json:"fresh"`
	Now   time.Time `json:"now"`
	// Unready lists the reasons why the process is not ready; empty if it is.
	Unready   []string   `json:"unready"`
	Documents []Document `json:"documents"`
	Members   []string   `json:"members"`
}

// Document identifies a service's document in force on the node.
type Document struct {
	Service  string          `json:"service"`
	Revision record.Revision `json:"revision"`
}

// Lag returns the age of the latest read that reached the end of the log. known
// is false before the first such read.
func (s Status) Lag() (lag time.Duration, known bool) {
	if s.Fresh.IsZero() {
		return 0, false
	}
	return s.Now.Sub(s.Fresh), true
}

// Revision returns the revision of the service's document in force, or 0 if there
// is none.
func (s Status) Revision(service string) record.Revision {
	for _, d := range s.Documents {
		if d.Service == service {
			return d.Revision
		}
	}
	return 0
}

func (s Status) toProto() *operatorpb.StatusReply {
	reply := &operatorpb.StatusReply{
		Node:         s.Node,
		Role:         string(s.Role),
		Zone:         s.Zone,
		Offset:       s.Offset,
		ActingOffset: s.ActingOffset,
		Digest:       s.Digest,
		Now:          timestamppb.New(s.Now),
		Unready:      s.Unready,
		Members:      s.Members,
	}
	if !s.Fresh.IsZero() {
		reply.Fresh = timestamppb.New(s.Fresh)
	}
	for _, d := range s.Documents {
		doc := &operatorpb.DocumentInForce{Service: d.Service, Revision: uint64(d.Revision)}
		reply.Documents = append(reply.Documents, doc)
	}
	return reply
}

func statusFromProto(reply *operatorpb.StatusReply) Status {
	s := Status{
		Node:         reply.GetNode(),
		Role:         Role(reply.GetRole()),
		Zone:         reply.GetZone(),
		Offset:       reply.GetOffset(),
		ActingOffset: reply.GetActingOffset(),
		Digest:       reply.GetDigest(),
		Now:          reply.GetNow().AsTime(),
		Unready:      reply.GetUnready(),
		Members:      reply.GetMembers(),
	}
	if reply.GetFresh() != nil {
		s.Fresh = reply.GetFresh().AsTime()
	}
	for _, d := range reply.GetDocuments() {
		s.Documents = append(s.Documents, Document{Service: d.GetService(), Revision: record.Revision(d.GetRevision())})
	}
	return s
}
