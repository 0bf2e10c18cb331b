// Package stewardpeerpb holds the generated messages and stubs by which
// stewards tell each other who lives and what they see of a VM's health.
package stewardpeerpb
