// Package wire defines the messages and drpc stubs of the protocols between nodes.
// The files *.pb.go are generated from the .proto files in the same folder.
//
// Integers that represent a time are in nanoseconds unless the field says
// otherwise; the services convert them to time.Duration where they receive or send
// a message.
package wire
