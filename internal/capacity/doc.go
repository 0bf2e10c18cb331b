// Package capacity measures what real processes cost as the fleet grows. All of
// it is benchmarks: docs/MEASUREMENTS.md keeps their figures with the commands.
package capacity
