// Package roster maintains the set of known instances from the lists that the
// platform publishes.
//
// A list may lack instances that are running: entries expire while the
// platform's store is unavailable and return shortly afterwards. Instances that
// are missing from the first list after a gap are therefore kept for a short
// time. All other changes take effect at once.
package roster
