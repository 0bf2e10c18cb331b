// Package entrypeerpb holds the generated messages and stubs by which
// entry VMs' processes ask each other about claims, leases and state.
package entrypeerpb
