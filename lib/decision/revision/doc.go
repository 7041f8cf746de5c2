// Package revision decides which revision of the configuration may be put in
// force and when a node may serve.
//
// A revision that a node has read is first held. It is put in force when the
// node may serve, so that a node which starts beside a stale source shows
// nothing older than the fleet. Once a revision is in force, only one with a
// higher number replaces it.
//
// A node may serve after a serving peer answered, to a question asked since
// the start or the last pause, that it has the same revision. When the whole
// fleet starts, it may serve after more than half of its neighbours, the VMs of its
// data centre, answered that they do not serve either.
package revision
