package joblog

import "github.com/yuccadrift/yuccadrift/platform"

// recordOverhead is what a record takes in a call beside its key and value: both lengths.
const recordOverhead = 5

// Limits are the store's limits of appends, in bytes; 0 is no limit.
type Limits struct {
	Record int // of one record
	Call   int // of all records of an append
}

// LimitsOf returns the limits that a store's settings state.
func LimitsOf(s platform.StoreSettings) Limits {
	return Limits{Record: s.MaxRecordBytes, Call: s.MaxCallBytes}
}

// sizeOf returns how many bytes a record takes in a call.
func sizeOf(r platform.KeyedRecord) int { return recordOverhead + len(r.Key) + len(r.Value) }

// IsTooLarge reports whether the store refuses a record.
func (l Limits) IsTooLarge(r platform.KeyedRecord) bool {
	return l.Record > 0 && sizeOf(r) > l.Record || l.Call > 0 && sizeOf(r) > l.Call
}

// Split divides records into appends that the store accepts, in the same order. It leaves out records that the
// store refuses and returns them apart.
func (l Limits) Split(records []platform.KeyedRecord) (appends [][]platform.KeyedRecord, tooLarge []platform.KeyedRecord) {
	var next []platform.KeyedRecord
	size := 0
	for _, r := range records {
		if l.IsTooLarge(r) {
			tooLarge = append(tooLarge, r)
			continue
		}
		if l.Call > 0 && len(next) > 0 && size+sizeOf(r) > l.Call {
			appends, next, size = append(appends, next), nil, 0
		}
		next = append(next, r)
		size += sizeOf(r)
	}
	if len(next) > 0 {
		appends = append(appends, next)
	}
	return appends, tooLarge
}
