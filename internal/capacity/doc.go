// Package capacity contains benchmarks of the resource use of real processes at
// several fleet sizes. docs/MEASUREMENTS.md lists their figures and commands.
package capacity
