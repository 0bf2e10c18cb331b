// Package operatorpb holds the generated messages and stubs by which
// the command line asks a node for its status.
package operatorpb
