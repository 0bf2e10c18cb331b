// Package figure holds the results of measurements, as tables of samples over
// several seeds or runs, and writes them as Markdown, JSON or CSV.
package figure

import (
	"fmt"
	"math"
	"slices"
)

// Sample holds the values of one quantity, one for each seed or run.
type Sample []float64

// Median returns the middle value, or the upper one of the two middle values. It
// returns NaN for an empty sample.
func (s Sample) Median() float64 { return s.orderStatistic(func(n int) int { return n / 2 }) }

// Min returns the smallest value, or NaN for an empty sample.
func (s Sample) Min() float64 { return s.orderStatistic(func(int) int { return 0 }) }

// Max returns the greatest value, or NaN for an empty sample.
func (s Sample) Max() float64 { return s.orderStatistic(func(n int) int { return n - 1 }) }

func (s Sample) orderStatistic(index func(n int) int) float64 {
	if len(s) == 0 {
		return math.NaN()
	}
	return slices.Sorted(slices.Values(s))[index(len(s))]
}

// String returns the median and, if there are several values, the range.
func (s Sample) String() string {
	decimals := s.decimals()
	if len(s) == 1 {
		return fmt.Sprintf("%.*f", decimals, s[0])
	}
	return fmt.Sprintf("%.*f (%.*f-%.*f)", decimals, s.Median(), decimals, s.Min(), decimals, s.Max())
}

// decimals returns the number of decimals to print.
func (s Sample) decimals() int {
	whole := !slices.ContainsFunc(s, func(v float64) bool { return v != math.Trunc(v) })
	switch maxValue := s.Max(); {
	case whole || maxValue >= 100:
		return 0
	case maxValue > 0 && maxValue < 1:
		return 2
	}
	return 1
}

// Table holds the results of a measurement. Each row is identified by its labels
// and has a sample for each quantity.
type Table struct {
	Title      string
	Labels     []string // headings of the labels, such as "policy"
	Quantities []string // headings of the samples, with units
	Rows       []Row
}

// Row is one line of a table.
type Row struct {
	Labels  []string
	Samples []Sample
}

// Add appends a row. The samples must be in the order of the table's quantities.
func (t *Table) Add(samples []Sample, labels ...string) {
	t.Rows = append(t.Rows, Row{Labels: labels, Samples: samples})
}

// Collect calls measure with each seed from 0 to seeds-1 and returns a sample for
// each quantity that measure returns. It stops at the first error.
func Collect(seeds int, measure func(seed uint64) ([]float64, error)) ([]Sample, error) {
	var samples []Sample
	for seed := range uint64(seeds) {
		values, err := measure(seed)
		if err != nil {
			return nil, err
		}
		if samples == nil {
			samples = make([]Sample, len(values))
		}
		for i, v := range values {
			samples[i] = append(samples[i], v)
		}
	}
	return samples, nil
}
