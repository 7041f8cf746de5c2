// Package mesh runs sidecars as real processes on loopback addresses, with
// stand-ins for the platform's store and for the instances, and checks the
// promises of the fleet while faults are injected from outside.
//
// Each VM has a loopback address of its own. Between a sidecar and its instance,
// and between a sidecar and the store, stands a proxy that can delay, cut or reset
// connections.
package mesh
