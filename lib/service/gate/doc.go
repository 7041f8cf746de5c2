// Package gate is the service that controls the slots of the backend servers on
// the node's VM. Every request to these servers passes through it.
//
// One duty owns the queues, slots and grants of all instances of the VM. Each
// request is handled by its own goroutine, which serves the stream to the entry
// and calls the backend server.
package gate
