package ownership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// The members keep one small record on the store: how strong the owners are. After a
// loss of all nodes nobody owns anything, and a VM that looks at the owners learns
// nothing; with the record, weak VMs know that stronger ones are about to come. It is
// a hint: what is seen of the owners counts for more, so an old one costs a VM that
// starts strongComeWithin at most.
const (
	capacityTopic = "keyed.members"
	capacityKey   = "strength"
	// capacityDecreaseDelay is how long the owners must have been weaker than stored before
	// that is stored: strong ones that are replaced or cut off are back sooner.
	capacityDecreaseDelay = 10 * time.Second
)

// capacityRecord is the stored record.
type capacityRecord struct {
	// MilliCores is the processor time, in thousandths of a core, that as many owners
	// have as make weaker VMs stand back.
	MilliCores int `json:"milli_cores"`
}

// capacityHint is what this process knows of the record. It is not safe for concurrent use.
type capacityHint struct {
	isRead           bool
	storedMilliCores int // thousandths of a core, 0 if there is no record
	// weakerSince is since when the owners have been weaker than stored, zero if not.
	weakerSince time.Time
}

// isStoreDue tells whether the owners' strength, as seen now, is to be stored.
func (h *capacityHint) isStoreDue(milliCores int, now time.Time) bool {
	h.weakerSince = conditionSince(milliCores < h.storedMilliCores, h.weakerSince, now)
	return h.isRead && (milliCores > h.storedMilliCores || milliCores < h.storedMilliCores && now.Sub(h.weakerSince) >= capacityDecreaseDelay)
}

var capacityPartition = platform.Partition{Topic: capacityTopic, Part: 0}

// readCapacityHint reads the record, once.
func (m *Manager) readCapacityHint(ctx context.Context) {
	m.mu.Lock()
	isRead := m.capacityHint.isRead
	m.mu.Unlock()
	if isRead || m.milliCores == 0 {
		return
	}
	batch, status, err := m.store.Newest(ctx, capacityPartition)
	if status != platform.StoreOK {
		m.logger.Debug("how strong the last owners were can't be read yet", "status", status.String(), "error", err)
		return
	}
	milliCores, err := decodeCapacity(batch)
	if err != nil {
		m.logger.Error("record of how strong the last owners were can't be read and is left out", "error", err)
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
			return 0, errors.Wrap(err, "strength of the owners")
		}
		milliCores = record.MilliCores
	}
	return milliCores, nil
}

// storeCapacityHint stores how strong the owners are if that has changed. One member does it:
// the owner of the first partition.
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
		m.logger.Error("strength of the owners can't be encoded", "error", err)
		return
	}
	status, err := m.store.Append(ctx, capacityPartition, nil, platform.KeyedRecord{Key: capacityKey, Value: value})
	if status != platform.StoreOK {
		m.logger.Debug("strength of the owners can't be stored yet", "status", status.String(), "error", err)
		return
	}
	m.logger.Info("strength of the owners stored", "milli_cores", milliCores)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacityHint.storedMilliCores = milliCores
}

// ownersCapacity is the processor time that enoughStrong owners have, 0 where there are fewer
// owners. The lock is held.
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
