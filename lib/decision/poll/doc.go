// Package poll decides when a node reads the platform's store.
//
// Each call to the store has a price, and its rates grow more slowly than the
// fleet. The nodes of a data centre share what they read: a node reads only when
// nobody told it anything recent. The delays differ by rank, so that the node of
// the lowest rank that works reads for all, and the next one takes over when its
// announcements cease. No node needs to know which one that is.
package poll
