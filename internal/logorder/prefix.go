// Package logorder tracks how far the records of a partition are known without a gap. An owner learns
// of records in two ways: it reads the partition in order, and the store's answers to its node's own
// appends state their offsets, which is earlier. A record beyond a gap may have a later owner's
// takeover before it.
package logorder

import "slices"

// span is a range of offsets, without to.
type span struct{ from, to int64 }

// Prefix is the known beginning of a partition, and the known ranges beyond the first gap. The zero
// value knows nothing.
type Prefix struct {
	end    int64
	beyond []span // sorted, not adjacent to each other
}

// End returns the offset of the first record that is not known, or not known to have no gap before it.
func (p *Prefix) End() int64 { return p.end }

// Add records that the records from offset from on, up to but without to, are known.
func (p *Prefix) Add(from, to int64) {
	if to <= max(from, p.end) {
		return
	}
	first, _ := slices.BinarySearchFunc(p.beyond, from, func(s span, from int64) int { return int(s.to - from) })
	last := first
	for last < len(p.beyond) && p.beyond[last].from <= to {
		from, to = min(from, p.beyond[last].from), max(to, p.beyond[last].to)
		last++
	}
	p.beyond = slices.Replace(p.beyond, first, last, span{from, to})
	if p.beyond[0].from <= p.end {
		p.end = p.beyond[0].to
		p.beyond = slices.Delete(p.beyond, 0, 1)
	}
	p.beyond = slices.DeleteFunc(p.beyond, func(s span) bool { return s.to <= p.end })
}
