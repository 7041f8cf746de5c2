// Package wire holds the messages and drpc stubs that nodes exchange. All
// files but this one are generated from the .proto files beside them.
//
// Integers that stand for a time are in nanoseconds; the services convert
// them to time.Duration at the edge.
package wire
