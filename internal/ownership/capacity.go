package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// The members keep one small record on the store: the capacity of the owners. After a loss of all nodes no
// partition has an owner, and a VM that reads the owners learns nothing. From the record, weak VMs know that
// stronger ones are about to start. The record is only a hint: the owners that are listed take precedence, so
// a stale record delays a VM's first join by strongerStartTimeout at most.
const (
	capacityTopic = "keyed.members"
	capacityKey   = "strength"
	// capacityDecreaseDelay is how long the owners must have had less capacity than is stored before the
	// lower value is stored. Strong owners that are replaced or cut off are back sooner.
	capacityDecreaseDelay = 10 * time.Second
)

// capacityRecord is the stored record.
type capacityRecord struct {
	// MilliCores is the processor time, in millicores, that at least minStrongerMembers of the owners
	// have.
	MilliCores int `json:"milli_cores"`
}

// capacityHint is what this node knows of the stored record. It is not safe for concurrent use.
type capacityHint struct {
	isRead           bool
	storedMilliCores int // 0 if there is no record
	// weakerSince is since when the owners have had less capacity than is stored; zero if they have not.
	weakerSince time.Time
}

// isStoreDue reports whether the capacity of the owners, as seen now, must be stored.
func (h *capacityHint) isStoreDue(milliCores int, now time.Time) bool {
	h.weakerSince = conditionSince(milliCores < h.storedMilliCores, h.weakerSince, now)
	return h.isRead && (milliCores > h.storedMilliCores || milliCores < h.storedMilliCores && now.Sub(h.weakerSince) >= capacityDecreaseDelay)
}

var capacityPartition = platform.Partition{Topic: capacityTopic, Part: 0}

// readCapacityHint reads the record unless it has been read.
func (m *Manager) readCapacityHint(ctx context.Context) {
	m.mu.Lock()
	isRead := m.capacityHint.isRead
	m.mu.Unlock()
	if isRead || m.milliCores == 0 {
		return
	}
	batch, status, err := m.store.Newest(ctx, capacityPartition)
	if status != platform.StoreOK {
		m.logger.Debug("failed to read the capacity of the previous owners, retrying", "status", status.String(), "error", err)
		return
	}
	milliCores, err := decodeCapacity(batch)
	if err != nil {
		m.logger.Error("failed to decode the capacity of the previous owners, ignoring it", "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacityHint.isRead = true
	m.capacityHint.storedMilliCores = milliCores
	m.yieldPolicy.applyCapacityHint(m.milliCores, milliCores)
}

func decodeCapacity(batch platform.Batch) (milliCores int, err error) {
	for _, r := range batch.Records {
		if r.Key != capacityKey || len(r.Value) == 0 {
			continue
		}
		var record capacityRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			return 0, errors.Wrap(err, "capacity of the owners")
		}
		milliCores = record.MilliCores
	}
	return milliCores, nil
}

// storeCapacityHint stores the capacity of the owners if it has changed and this node owns the first
// partition of the first topic.
func (m *Manager) storeCapacityHint(ctx context.Context, now time.Time) {
	m.mu.Lock()
	milliCores := m.ownersCapacity()
	isStoreDue := m.owned[platform.Partition{Topic: m.joinTopics[0], Part: 0}] != nil && m.capacityHint.isStoreDue(milliCores, now)
	m.mu.Unlock()
	if !isStoreDue {
		return
	}
	value, err := json.Marshal(capacityRecord{MilliCores: milliCores})
	if err != nil {
		m.logger.Error("failed to encode the capacity of the owners", "error", err)
		return
	}
	status, err := m.store.Append(ctx, capacityPartition, nil, platform.KeyedRecord{Key: capacityKey, Value: value})
	if status != platform.StoreOK {
		m.logger.Debug("failed to store the capacity of the owners, retrying", "status", status.String(), "error", err)
		return
	}
	m.logger.Info("capacity of the owners stored", "milli_cores", milliCores)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacityHint.storedMilliCores = milliCores
}

// ownersCapacity returns the processor time, in millicores, that at least minStrongerMembers of the members
// with a partition have, 0 if there are fewer members. It must be called with mu held.
func (m *Manager) ownersCapacity() int {
	var milliCores []int
	for _, o := range m.owningMembers() {
		milliCores = append(milliCores, o.milliCores)
	}
	if len(milliCores) < minStrongerMembers {
		return 0
	}
	slices.Sort(milliCores)
	return milliCores[len(milliCores)-minStrongerMembers]
}
