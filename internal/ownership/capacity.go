package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// The members keep one small record on the store: the capacity of the owners. After a loss of all nodes
// nobody owns anything, and a VM that reads the owners learns nothing; from the record, weak VMs know that
// stronger ones are about to start. The record is only a hint. Owners that are seen count for more, so a
// stale record costs a VM that starts strongerStartTimeout at most.
const (
	capacityTopic = "keyed.members"
	capacityKey   = "strength"
	// capacityDecreaseDelay is how long the owners must have had less capacity than is stored before the
	// lower value is stored: strong owners that are replaced or cut off are back sooner.
	capacityDecreaseDelay = 10 * time.Second
)

// capacityRecord is the stored record.
type capacityRecord struct {
	// MilliCores is the processor time, in millicores, that minStrongerMembers of the owners have at
	// least.
	MilliCores int `json:"milli_cores"`
}

// capacityHint is what this process knows of the stored record. It is not safe for concurrent use.
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
		m.logger.Debug("capacity of the last owners can't be read yet", "status", status.String(), "error", err)
		return
	}
	milliCores, err := decodeCapacity(batch)
	if err != nil {
		m.logger.Error("record of the last owners' capacity can't be decoded and is ignored", "error", err)
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

// storeCapacityHint stores the capacity of the owners if it has changed. Only the owner of the first
// partition does so.
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
		m.logger.Error("capacity of the owners can't be encoded", "error", err)
		return
	}
	status, err := m.store.Append(ctx, capacityPartition, nil, platform.KeyedRecord{Key: capacityKey, Value: value})
	if status != platform.StoreOK {
		m.logger.Debug("capacity of the owners can't be stored yet", "status", status.String(), "error", err)
		return
	}
	m.logger.Info("capacity of the owners stored", "milli_cores", milliCores)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacityHint.storedMilliCores = milliCores
}

// ownersCapacity returns the processor time, in millicores, that minStrongerMembers of the owning members
// have at least, 0 if there are fewer members. It must be called with mu held.
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
