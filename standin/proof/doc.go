// Package proof tests the properties that must always hold, with real node
// processes and stand-ins for the platform and the backend servers. It has no
// code outside its tests.
package proof
