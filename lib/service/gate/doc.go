// Package gate is the service that owns the slots of the backend servers on
// the node's VM. Every request to them passes through it.
//
// One duty holds the queues, slots and grants of all instances of the VM. Each
// request has a goroutine of its own, which serves its stream and calls the
// backend server.
package gate
