// Package poll decides when a node reads the platform's store.
//
// Each call to the store has a price, and the store allows a rate of calls that
// grows more slowly than the fleet. The nodes of a data centre therefore share
// what they read: a node reads only if it has received no recent state from
// another. The delay grows with the rank of the node, so that the working node
// of the lowest rank reads for all, and the next one takes over when its
// announcements stop. The nodes need not agree on which of them reads.
package poll
