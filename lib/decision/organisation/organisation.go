// Package organisation holds the organisations that share a fleet and finds the one
// that a key belongs to.
package organisation

import "crypto/sha256"

// Key identifies a key of an organisation by the SHA-256 of its text, so that the text
// is not kept and cannot be printed.
type Key [sha256.Size]byte

// NewKey returns the key with the given text.
func NewKey(text string) Key { return sha256.Sum256([]byte(text)) }

// String implements fmt.Stringer. It shows nothing of the key.
func (Key) String() string { return "key" }

// Organisation is a group of callers with common keys and a common limit.
type Organisation struct {
	Name string
	// Priority ranks organisations; zero is the most urgent. It goes before the
	// priority of a route.
	Priority int
	// Rate is the limit over all nodes in requests a second, and Burst the number of
	// requests beyond it that may come at once. If both are zero, there is no limit.
	Rate, Burst float64
	Keys        []Key
}

// Limited reports whether the organisation has a limit.
func (o *Organisation) Limited() bool { return o.Rate > 0 || o.Burst > 0 }
