// Package ledger is the service that keeps the claims on the idempotency keys
// that this node's VM owns, and that claims keys from their owners for the
// requests of this node.
package ledger
