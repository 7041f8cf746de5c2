// Package fairness records how much of a shared resource each holder used recently,
// and which part of its requests was granted.
//
// All values decay with a half-life, so that a holder that used much is equal to the
// others again a few half-lives later. The number of holders that are kept is
// bounded; those of least weight are dropped first.
package fairness
