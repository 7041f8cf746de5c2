// Package roster decides which instances exist, from lists that the platform
// publishes.
//
// A list may lack instances that live: entries lapse while the platform's store
// is away and return shortly after it. Instances that are missing from the first
// list after a gap are therefore kept for a short time. All other changes take
// effect at once.
package roster
