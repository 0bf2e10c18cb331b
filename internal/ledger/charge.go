package ledger

import (
	"math/bits"
	"time"
)

// maxCharges limits an account's charges. Beyond it neighbors are merged, which
// keeps every sum and only blurs the times. Without a limit a VM that goes up
// and down every few seconds would grow the state.
const maxCharges = 512

// minChargeRetention is the minimum time that charges are kept, for reports.
const minChargeRetention = 30 * 24 * time.Hour

// Charge is the unavailability and spare time between two times, in
// VM-milliseconds. Amounts are integers so that all processors compute the same
// sums.
type Charge struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// By is the unavailability charged, by cause.
	By [causeCount]int64 `json:"by"`
	// Spare is the time of VMs that served beyond the declared size.
	Spare int64 `json:"spare,omitempty"`
}

// charge returns the charge of a segment that ends at to.
func (s Segment) charge(to time.Time) Charge {
	ms := to.Sub(s.From).Milliseconds()
	c := Charge{From: s.From, To: to, Spare: int64(s.Spare) * ms}
	c.By = s.splitByCause(int64(s.Short) * ms)
	return c
}

// splitByCause divides an amount among the causes in proportion to the VMs that
// each has out of service. The remainder goes to the first cause.
func (s Segment) splitByCause(amount int64) [causeCount]int64 {
	var by [causeCount]int64
	total, rest, first := 0, amount, -1
	for cause, n := range s.Out {
		total += n
		if n > 0 && first < 0 {
			first = cause
		}
	}
	if first < 0 {
		by[CauseMissing] = amount
		return by
	}
	for cause, n := range s.Out {
		by[cause] = scale(amount, int64(n), int64(total))
		rest -= by[cause]
	}
	by[first] += rest
	return by
}

// scale returns amount * num / den without overflow, for num <= den.
func scale(amount, num, den int64) int64 {
	hi, lo := bits.Mul64(uint64(amount), uint64(num))
	quotient, _ := bits.Div64(hi, lo, uint64(den))
	return int64(quotient)
}

// within returns the part of the charge that falls between two times.
func (c Charge) within(from, to time.Time) Charge {
	if !from.After(c.From) && !to.Before(c.To) {
		return c
	}
	den := c.To.Sub(c.From).Milliseconds()
	part := Charge{From: later(c.From, from), To: earlier(c.To, to)}
	num := part.To.Sub(part.From).Milliseconds()
	if num <= 0 || den <= 0 {
		return Charge{From: part.From, To: part.From}
	}
	for cause, amount := range c.By {
		part.By[cause] = scale(amount, num, den)
	}
	part.Spare = scale(c.Spare, num, den)
	return part
}

// add returns the sum of c and a later charge.
func (c Charge) add(o Charge) Charge {
	sum := Charge{From: c.From, To: o.To, By: c.By, Spare: c.Spare + o.Spare}
	for cause, amount := range o.By {
		sum.By[cause] += amount
	}
	return sum
}

func (c Charge) total() int64 {
	var sum int64
	for _, amount := range c.By {
		sum += amount
	}
	return sum
}

// openSegment closes the open segment at now and opens next.
func (a *Account) openSegment(next Segment, now time.Time) {
	if !a.Open.From.IsZero() && now.After(a.Open.From) && (a.Open.Short > 0 || a.Open.Spare > 0) {
		c := a.Open.charge(now)
		a.SpareTotal += c.Spare
		a.Closed = append(a.Closed, c)
	}
	if len(a.Closed) > maxCharges {
		a.mergeCharges()
	}
	a.Open = next
}

// mergeCharges merges pairs of neighbors, which halves the number of charges.
func (a *Account) mergeCharges() {
	merged := make([]Charge, 0, maxCharges)
	for i := 0; i+1 < len(a.Closed); i += 2 {
		merged = append(merged, a.Closed[i].add(a.Closed[i+1]))
	}
	if len(a.Closed)%2 == 1 {
		merged = append(merged, a.Closed[len(a.Closed)-1])
	}
	a.Closed = merged
}

func (a *Account) prune(before time.Time) {
	n := 0
	for n < len(a.Closed) && !a.Closed[n].To.After(before) {
		n++
	}
	a.Closed = a.Closed[n:]
}

// truncateAt removes what was charged after now.
func (a *Account) truncateAt(now time.Time) {
	kept := a.Closed[:0]
	for _, c := range a.Closed {
		part := c.within(c.From, now)
		a.SpareTotal -= c.Spare - part.Spare
		if part.To.After(part.From) {
			kept = append(kept, part)
		}
	}
	a.Closed = kept
	a.Open.From = earlier(a.Open.From, now)
	a.Since = earlier(a.Since, now)
}

// chargeBetween returns the sum of the charges between two times. The open
// segment counts as lasting until to.
func (a *Account) chargeBetween(from, to time.Time) Charge {
	sum := Charge{From: from, To: to}
	for _, c := range a.Closed {
		sum = sum.add(c.within(from, to))
	}
	if a.Open.From.IsZero() || !to.After(a.Open.From) {
		return sum
	}
	return sum.add(a.Open.charge(to).within(from, to))
}

// Spent returns the VM-seconds of unavailability charged between two times.
func (a *Account) Spent(from, to time.Time) float64 {
	return seconds(a.chargeBetween(from, to).total())
}

// SpentBy returns the VM-seconds charged between two times by cause.
func (a *Account) SpentBy(from, to time.Time) [causeCount]float64 {
	var by [causeCount]float64
	for cause, amount := range a.chargeBetween(from, to).By {
		by[cause] = seconds(amount)
	}
	return by
}

// SpareSeconds returns the VM-seconds served beyond the declared size between
// two times, as far back as charges are kept.
func (a *Account) SpareSeconds(from, to time.Time) float64 {
	return seconds(a.chargeBetween(from, to).Spare)
}

func seconds(ms int64) float64 { return float64(ms) / 1000 }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
