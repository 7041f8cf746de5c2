// Package mesh runs sidecars as real processes on loopback addresses, with
// stand-ins for the platform's store and for the instances. It injects faults from
// outside and checks that the guarantees of the fleet hold.
//
// Each VM has its own loopback address. The connections between a sidecar and its
// instance, and between a sidecar and the store, go through proxies that can delay
// them, stop the data in one direction or reset them.
package mesh
