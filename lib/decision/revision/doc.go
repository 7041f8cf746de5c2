// Package revision decides which revision of the configuration may be put in
// force and when a node may serve.
//
// A revision that a node has read is held, but not yet in force. It is put in
// force when the node may serve, so that a node that starts with a stale source
// never applies a revision older than that of the fleet. Once a revision is in
// force, only one with a higher number replaces it.
//
// A node may serve after a serving peer has answered that it has the same
// revision; the node must have asked since its start or its last pause. When the
// whole fleet starts, no peer serves. A node may then serve after more than half
// of its neighbours, the VMs of its data centre, have answered that they do not
// serve either.
package revision
