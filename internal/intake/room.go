package intake

import (
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// LimitJobs sets admit, which returns why this node, as the owner of the record's partition, has no room for a
// record. It must be called before the router is used.
func (r *Router) LimitJobs(admit func(workload.Record) error) { r.admit = admit }

// checkRoom returns why this node has no room for a record. The owner of another node decides for itself.
func (r *Router) checkRoom(partition int, record workload.Record) error {
	if r.admit == nil || r.peers.Owner(partition) != "" {
		return nil
	}
	return r.admit(record)
}

// noRoom is the response to a record for which the owner's node has no room.
func noRoom(err error) StoreResponse {
	return StoreResponse{Status: platform.StoreRefused, NoRoom: true, Reason: err.Error()}
}
