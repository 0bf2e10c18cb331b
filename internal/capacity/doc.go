// Package capacity measures what real processes cost as the fleet grows. All of
// it is benchmarks: docs/CAPACITY.md works out the size to design for from their
// figures, and docs/MEASUREMENTS.md keeps these with the commands.
package capacity
